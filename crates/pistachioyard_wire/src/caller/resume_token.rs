//! What an entry needs to go on with a stream that another entry began.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::{Deserialize, Serialize};

use crate::{Attempt, EndpointId, LayerRange, RequestDigest, StreamId, VersionName};

/// Names the stream, attempt and chain of an answer (CBOR, then base64url).
///
/// It lets any entry raise the attempt and keep the stages that hold KV cache.
/// It grants nothing: an entry checks all of it against its own view.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResumeToken {
    /// The stream.
    pub stream: StreamId,
    /// The newest attempt when the token was made.
    pub attempt: Attempt,
    /// The version that the answer is generated with.
    pub version: VersionName,
    /// The stages of that attempt.
    pub stages: Vec<(EndpointId, LayerRange)>,
    /// Identifies the request that the answer is for.
    pub digest: RequestDigest,
}

/// Why a text is not a resume token.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ResumeTokenFault {
    /// It is not base64url.
    #[error("the resume token is not base64url; send it back unchanged")]
    NotBase64,
    /// It does not hold what a resume token holds.
    #[error("the resume token cannot be read; send it back unchanged")]
    NotCbor,
}

impl ResumeToken {
    /// Returns the text form that callers keep and send back.
    pub fn to_text(&self) -> String {
        let mut buf = Vec::new();
        ciborium::into_writer(self, &mut buf).expect("writing to memory does not fail");
        URL_SAFE_NO_PAD.encode(buf)
    }
}

impl TryFrom<&str> for ResumeToken {
    type Error = ResumeTokenFault;

    fn try_from(raw: &str) -> Result<Self, ResumeTokenFault> {
        let buf = URL_SAFE_NO_PAD
            .decode(raw)
            .map_err(|_| ResumeTokenFault::NotBase64)?;
        ciborium::from_reader(buf.as_slice()).map_err(|_| ResumeTokenFault::NotCbor)
    }
}
