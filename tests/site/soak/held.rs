//! Callers that hold large parts of requests open.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::KEY;

/// The largest body in the configuration of the deployments, in bytes.
pub(super) const MAX_BODY_BYTES: usize = 4_194_304;
/// The number of callers whose bodies together are larger than the memory of the machine.
const BODIES: usize = 100;
/// The number of bytes of each body that are sent; one is missing.
const BODY_BYTES: usize = 4_000_000;
/// The number of callers with endless heads, within the descriptors of the smallest machine.
const HEADS: usize = 3_500;
/// The number of bytes of each head that are sent.
const HEAD_BYTES: usize = 60_000;
/// How long the callers hold on.
const HOLD_TIME: Duration = Duration::from_secs(1);

/// Sends bodies that lack one byte, and closes the connections later.
pub(super) async fn hold_bodies(to: SocketAddr) {
    let length = BODY_BYTES + 1;
    let head = format!("Content-Length: {length}\r\n\r\n");
    hold(to, BODIES, &head, &vec![b'x'; BODY_BYTES]).await;
}

/// Sends heads that do not end, and closes the connections later.
pub(super) async fn hold_heads(to: SocketAddr) {
    hold(to, HEADS, "X-Long: ", &vec![b'x'; HEAD_BYTES]).await;
}

async fn hold(to: SocketAddr, callers: usize, head_end: &str, rest: &[u8]) {
    let head = format!(
        "POST /lookup/a HTTP/1.1\r\nHost: {to}\r\nX-Attempt-Id: held\r\n\
         Authorization: Bearer {KEY}\r\nX-Deadline-Ms: 8000\r\n{head_end}"
    );
    let caller = || async {
        // An entry may refuse the connection or close it at any time.
        let mut stream = TcpStream::connect(to).await.ok()?;
        stream.write_all(head.as_bytes()).await.ok()?;
        stream.write_all(rest).await.ok()?;
        std::future::pending::<Option<()>>().await
    };
    let callers = join_all((0..callers).map(|_| caller()));
    let _ = tokio::time::timeout(HOLD_TIME, callers).await;
}
