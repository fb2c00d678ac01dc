//! Reads the body of a request within the memory for all bodies.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::memory::{ByteBuffer, HeldMemory};
use crate::prelude::*;
use crate::router::Router;
use crate::router::http_server::RequestOrigin;

/// The retry delay for callers whose body finds no memory, in ms; about the time that a few
/// requests take.
const RETRY_AFTER_MS: u64 = 500;
/// The largest share by which it is raised at random, so that large bodies do not all return at
/// once.
const RETRY_JITTER: f64 = 1.0;

/// Says whose body is read, and how large it may be.
#[derive(Debug)]
pub(super) struct BodyTerms {
    /// The connection on which the request came.
    pub(super) origin: RequestOrigin,
    /// The largest size of the body, in bytes.
    pub(super) max_bytes: usize,
    /// When the request's deadline passes.
    pub(super) deadline: Instant,
}

/// The status of a request whose body did not arrive before its deadline. On this platform 504 does
/// not tell a caller that nothing ran.
const LATE_BODY_STATUS: u16 = 408;

/// Reads a body whole before the deadline. The bytes hold their memory until the last copy is dropped.
pub(super) async fn read_body(
    router: &Router,
    mut body: Incoming,
    terms: BodyTerms,
) -> Result<Bytes, Problem> {
    let held = HeldMemory::new(router.memory.bodies.clone(), terms.origin.address);
    let mut buf = ByteBuffer::new(held);
    let deadline = tokio::time::Instant::from(terms.deadline);
    loop {
        let frame = tokio::time::timeout_at(deadline, body.frame()).await;
        let Some(frame) = frame.map_err(|_| late(buf.len()))? else {
            return Ok(buf.freeze());
        };
        let frame = frame.map_err(|e| {
            let detail = format!("cannot read the body: {e}");
            Problem::new(ProblemKind::BadRequest, Outcome::NotRun, detail)
        })?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if buf.len() + data.len() > terms.max_bytes {
            return Err(too_large(terms.max_bytes));
        }
        if !buf.push(data) {
            let read_bytes = buf.len() + data.len();
            drop(buf);
            tokio::spawn(discard(body, terms, read_bytes));
            return Err(no_memory(read_bytes));
        }
    }
}

/// Reads the rest of a body that is refused. A caller that still sends it would lose the answer
/// with its connection. The request stays in progress there, so that its body is no head.
async fn discard(mut body: Incoming, terms: BodyTerms, mut read_bytes: usize) {
    let reading = async {
        while let Some(Ok(frame)) = body.frame().await {
            read_bytes += frame.data_ref().map_or(0, Bytes::len);
            if read_bytes > terms.max_bytes {
                return;
            }
        }
    };
    // The connection of a caller that does not end its body in time is closed.
    let _ = tokio::time::timeout_at(terms.deadline.into(), reading).await;
    drop(terms.origin.in_progress);
}

fn late(read_bytes: usize) -> Problem {
    let detail = format!(
        "only {read_bytes} bytes of the body arrived before the deadline; the request was not run"
    );
    let mut problem = Problem::new(ProblemKind::DeadlinePassed, Outcome::NotRun, detail);
    problem.status = LATE_BODY_STATUS;
    problem
}

fn too_large(limit: usize) -> Problem {
    let detail = format!("the body exceeds the limit of {limit} bytes");
    Problem::new(ProblemKind::BodyTooLarge, Outcome::NotRun, detail)
}

fn no_memory(read_bytes: usize) -> Problem {
    let detail = format!(
        "the requests in progress leave no memory for more than {read_bytes} bytes of a body; the \
         request was not run, retry later or use another entry"
    );
    let jitter = 1.0 + RETRY_JITTER * rand::random::<f64>();
    Problem::new(ProblemKind::NoMemory, Outcome::NotRun, detail)
        .with_retry_after_ms((RETRY_AFTER_MS as f64 * jitter) as u64)
}
