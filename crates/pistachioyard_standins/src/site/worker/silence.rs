//! Silence of a worker that stays sound.

use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::site::http::BACKLOG;

/// The time for the answer to the call that asks for the silence.
const ANSWER_TIME: Duration = Duration::from_millis(10);
/// How long a connection may take while there is room in the accept queue.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(20);

/// Blocks the only thread of the process, so that nothing is accepted or answered.
pub(super) async fn fall_silent(listen: SocketAddr, duration: Duration) {
    tokio::time::sleep(ANSWER_TIME).await;
    let until = Instant::now() + duration;
    // While its accept queue is full, the kernel ignores attempts to connect.
    let queued: Vec<TcpStream> = (0..=BACKLOG)
        .map_while(|_| TcpStream::connect_timeout(&listen, CONNECT_TIMEOUT).ok())
        .collect();
    std::thread::sleep(until.saturating_duration_since(Instant::now()));
    drop(queued);
}
