//! Endpoints that send interim answers (1xx) and never the one that counts.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use pistachioyard_standins::wait_until;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use super::caller::new_request_id;
use super::layout::Layout;
use super::odd_answers::{bind, read_request, register_as};
use super::raw::RawConnection;
use super::support::Site;

/// A report of an endpoint that has not restarted.
const REPORT: &str = r#"{"busy":false,"born":1,"sequence":0,"queued":0,"active":0}"#;
/// The number of callers that ask at the same time.
const CALLERS: usize = 4;
/// The time within which they have their answers; their deadline is in 8 s.
const ANSWER_TIME: Duration = Duration::from_secs(2);
/// How long an entry may take to use the endpoint.
const TIMEOUT: Duration = Duration::from_secs(10);

async fn serve_connection(mut stream: TcpStream) {
    while let Some((path, _)) = read_request(&mut stream).await {
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{REPORT}",
            REPORT.len()
        );
        let interim = "HTTP/1.1 102 Processing\r\n\r\n".repeat(1_000);
        while path != "/report" && stream.write_all(interim.as_bytes()).await.is_ok() {}
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn serve(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_connection(stream));
    }
}

/// Guards against a processor that reads interim answers until the deadline of each request.
#[tokio::test(flavor = "multi_thread")]
async fn interim_answers_without_end_do_not_hold_up_a_request() {
    let site = Site::start_with(Layout {
        plain_endpoints: 0,
        ..Layout::default()
    })
    .await;
    let (listener, address) = bind().await;
    tokio::spawn(serve(listener));
    register_as(&site, "interim", address).await;
    let process = &site.entries[0].process;
    wait_until(TIMEOUT, "the endpoint", || async {
        process.log().contains("interim")
    })
    .await
    .expect("the entry knows the endpoint");
    let to = site.entries[0].caller_address();
    let asked = (0..CALLERS).map(|_| async move {
        let mut caller = RawConnection::open(to).await;
        assert!(caller.write("/record/a", &new_request_id(), &[]).await);
        let began = Instant::now();
        let answer = caller.read().await;
        (answer, began.elapsed())
    });
    let answers = join_all(asked).await;
    println!("{answers:?}");
    let latest = answers.iter().map(|(_, took)| *took).max();
    assert!(latest < Some(ANSWER_TIME), "{latest:?}");
}
