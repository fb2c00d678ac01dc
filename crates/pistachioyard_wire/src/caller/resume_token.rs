//! The token with which any entry resumes a stream that another entry started.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::{Deserialize, Serialize};

use crate::{Attempt, EndpointId, LayerRange, RequestDigest, StreamId, VersionName};

/// Identifies the stream, attempt and chain of an answer (CBOR in base64url).
///
/// It lets any entry start the next attempt and reuse the stages that hold KV cache.
/// It grants no access: an entry validates every field against its own view.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResumeToken {
    /// The id of the stream.
    pub stream: StreamId,
    /// The newest attempt when the token was issued.
    pub attempt: Attempt,
    /// The model version that generates the answer.
    pub version: VersionName,
    /// The endpoints and layer ranges of that attempt's chain.
    pub stages: Vec<(EndpointId, LayerRange)>,
    /// The digest of the request that the answer is for.
    pub digest: RequestDigest,
}

/// Reports why a text is not a resume token.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ResumeTokenError {
    /// The text is not base64url.
    #[error("the resume token is not base64url; send it back unchanged")]
    NotBase64,
    /// The decoded bytes are not a resume token in CBOR.
    #[error("the resume token cannot be decoded; send it back unchanged")]
    NotCbor,
}

impl ResumeToken {
    /// Encodes the token as the text that callers store and send back.
    pub fn to_text(&self) -> String {
        let mut buf = Vec::new();
        ciborium::into_writer(self, &mut buf).expect("writing to a Vec does not fail");
        URL_SAFE_NO_PAD.encode(buf)
    }
}

impl TryFrom<&str> for ResumeToken {
    type Error = ResumeTokenError;

    fn try_from(raw: &str) -> Result<Self, ResumeTokenError> {
        let buf = URL_SAFE_NO_PAD
            .decode(raw)
            .map_err(|_| ResumeTokenError::NotBase64)?;
        ciborium::from_reader(buf.as_slice()).map_err(|_| ResumeTokenError::NotCbor)
    }
}
