//! Reads request bodies within the memory for all of them.

use bytes::Bytes;
use dropshot::{RequestContext, StreamingBody};
use futures_util::{Stream, StreamExt};
use tokio::sync::Semaphore;

use super::ApiContext;
use crate::memory::{ByteBuffer, HeldMemory};
use crate::prelude::*;

/// The maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 1_500_000;
/// The memory of all request bodies at the same time, in bytes.
pub(super) const BODY_MEMORY_BYTES: usize = 32_000_000;
/// The retry delay for callers whose body finds no memory, in ms; about the time that a few
/// requests take.
const RETRY_AFTER_MS: u64 = 1_000;
/// The number of refused bodies whose rest is read at the same time. The server's buffer of a
/// connection grows to some hundred KB while a body is read fast.
pub(super) const MAX_DISCARDS: usize = 8;
/// How long the rest of a refused body may take to arrive.
const DISCARD_LIMIT: Duration = Duration::from_secs(5);

/// Reads a whole body; fails if it is too large. The bytes hold their memory until the last copy is
/// dropped.
pub(crate) async fn read_body(
    rqctx: &RequestContext<ApiContext>,
    body: StreamingBody,
) -> Result<Bytes, Problem> {
    let memory = rqctx.context().bodies.clone();
    let mut buf = ByteBuffer::new(HeldMemory::new(memory, rqctx.request.remote_addr()));
    let mut stream = Box::pin(body.into_stream());
    while let Some(chunk) = stream.next().await {
        let chunk = chunk.map_err(|e| crate::filter::bad_request(e.external_message))?;
        if buf.len() + chunk.len() > MAX_BODY_BYTES {
            return Err(too_large());
        }
        if !buf.push(&chunk) {
            let left_bytes = MAX_BODY_BYTES - buf.len();
            let permits = rqctx.context().discards.clone();
            tokio::spawn(discard(permits, stream, left_bytes));
            return Err(no_memory());
        }
    }
    Ok(buf.freeze())
}

/// Reads the rest of a body that is refused. A caller that still sends it would lose the answer
/// with its connection.
async fn discard<E>(
    permits: Arc<Semaphore>,
    mut stream: impl Stream<Item = Result<Bytes, E>> + Unpin,
    mut left_bytes: usize,
) {
    let reading = async {
        let Ok(_permit) = permits.acquire().await else {
            return;
        };
        while let Some(Ok(chunk)) = stream.next().await
            && chunk.len() <= left_bytes
        {
            left_bytes -= chunk.len();
        }
    };
    // The connection of a caller that does not end its body in time is closed.
    let _ = tokio::time::timeout(DISCARD_LIMIT, reading).await;
}

fn too_large() -> Problem {
    let detail = format!("the body is larger than the limit of {MAX_BODY_BYTES} bytes");
    Problem::new(ProblemKind::BodyTooLarge, Outcome::NotRun, detail)
}

fn no_memory() -> Problem {
    let detail = "the requests in progress leave no memory for the body; the request was not run, \
                  retry later or use another entry";
    Problem::new(ProblemKind::NoMemory, Outcome::NotRun, detail).with_retry_after_ms(RETRY_AFTER_MS)
}
