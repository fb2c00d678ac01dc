//! Reads request bodies.

use dropshot::StreamingBody;
use futures_util::StreamExt;

use crate::prelude::*;

/// The maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 1_500_000;

/// Reads a whole body; fails if it is too large.
pub(crate) async fn read_body(body: StreamingBody) -> Result<Vec<u8>, Problem> {
    let stream = body.into_stream();
    futures_util::pin_mut!(stream);
    let mut buf = Vec::new();
    while let Some(chunk) = stream.next().await {
        let chunk = chunk.map_err(|e| crate::filter::bad_request(e.external_message))?;
        buf.extend_from_slice(&chunk);
        if buf.len() > MAX_BODY_BYTES {
            return Err(too_large());
        }
    }
    Ok(buf)
}

fn too_large() -> Problem {
    let detail = format!("the body is larger than the limit of {MAX_BODY_BYTES} bytes");
    Problem::new(ProblemKind::BodyTooLarge, Outcome::NotRun, detail)
}
