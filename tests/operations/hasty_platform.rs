//! A platform that does not let watches wait.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use pistachioyard_standins::{AddressPool, Launcher};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// How long the entry may take to start and to use up the watches that it may begin at once.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// How long watches are counted.
const COUNT_TIME: Duration = Duration::from_secs(3);
/// The most watches in that time: eight at once and one each 100 ms.
const MAX_WATCHES: usize = 8 + 30;

/// Answers each watch at once and refuses all else.
async fn serve_connection(mut stream: TcpStream, watches: Arc<AtomicUsize>) {
    let mut unread = Vec::new();
    while let Ok(1..) = stream.read_buf(&mut unread).await {
        if !unread.ends_with(b"\r\n\r\n") {
            continue;
        }
        let is_watch = unread.starts_with(b"GET /watch");
        unread.clear();
        let answer = if is_watch {
            watches.fetch_add(1, Ordering::Relaxed);
            let page = r#"{"version":1,"changed":[]}"#;
            format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{page}",
                page.len()
            )
        } else {
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_owned()
        };
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Guards against an entry that watches as fast as the platform answers.
#[tokio::test(flavor = "multi_thread")]
async fn watches_that_are_answered_at_once_do_not_set_the_pace_of_an_entry() {
    let pool = AddressPool::new().expect("addresses are free");
    let next = || pool.next_address().expect("an address is free");
    let (callers, peers, platform) = (next(), next(), next());
    let listener = TcpListener::bind(platform).await.expect("it is free");
    let watches = Arc::new(AtomicUsize::new(0));
    let counted = watches.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_connection(stream, counted.clone()));
        }
    });
    let files = tempfile::tempdir().expect("a directory can be created");
    let file = files.path().join("entry.toml");
    let text = format!(
        "entry = \"one\"\ncaller_address = \"{callers}\"\npeer_address = \"{peers}\"\n\
         platform = \"{platform}\"\ndata_centre = \"east\"\n"
    );
    std::fs::write(&file, text).expect("the settings can be written");
    let launcher = Launcher::new().expect("the launcher can be set up");
    let args = ["entry", "--config", file.to_str().expect("it is UTF-8")];
    let program = env!("CARGO_BIN_EXE_pistachioyard");
    let _entry = launcher
        .spawn("entry", program.as_ref(), args)
        .expect("the entry starts");
    tokio::time::sleep(SETTLE_TIME).await;
    let earlier = watches.load(Ordering::Relaxed);
    assert!(earlier > 0, "the entry watches");
    tokio::time::sleep(COUNT_TIME).await;
    let count = watches.load(Ordering::Relaxed) - earlier;
    println!("{count} watches");
    assert!(count <= MAX_WATCHES, "{count} watches");
}
