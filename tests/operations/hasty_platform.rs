//! A platform that does not let watches wait.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::starts::{EXEC, LoneEntry};

/// How long the entry may take to start and to use up the watches that it may begin at once.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// How long watches are counted.
const COUNT_TIME: Duration = Duration::from_secs(3);
/// The most watches in that time: eight at once and one each 100 ms.
const MAX_WATCHES: usize = 8 + 30;

/// An answer to a watch that tells of no change.
const PAGE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\n{\"version\":1,\"changed\":[]}";

/// Answers each watch at once and refuses all else.
async fn serve_connection(mut stream: TcpStream, watches: Arc<AtomicUsize>) {
    let mut unread = Vec::new();
    while let Ok(1..) = stream.read_buf(&mut unread).await {
        if !unread.ends_with(b"\r\n\r\n") {
            continue;
        }
        let is_watch = unread.starts_with(b"GET /watch");
        unread.clear();
        let answer = match is_watch {
            true => PAGE,
            false => "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
        };
        watches.fetch_add(is_watch.into(), Ordering::Relaxed);
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Guards against an entry that watches as fast as the platform answers.
#[tokio::test(flavor = "multi_thread")]
async fn watches_that_are_answered_at_once_do_not_set_the_pace_of_an_entry() {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port is free");
    let platform = listener.local_addr().expect("it is bound");
    let watches = Arc::new(AtomicUsize::new(0));
    let counted = watches.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_connection(stream, counted.clone()));
        }
    });
    let (_entry, ()) = LoneEntry::start_beside(Some(platform), EXEC, |_, _| {});
    tokio::time::sleep(SETTLE_TIME).await;
    let earlier = watches.load(Ordering::Relaxed);
    assert!(earlier > 0, "the entry watches");
    tokio::time::sleep(COUNT_TIME).await;
    let count = watches.load(Ordering::Relaxed) - earlier;
    assert!(count <= MAX_WATCHES, "{count} watches");
}
