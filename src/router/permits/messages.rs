//! The datagrams by which entries ask each other for permits.

use pistachioyard_policy::PermitAnswer;
use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::router::log::ms;
use crate::router::told_age::ToldAge;

/// The major type of a CBOR array, in the upper three bits of the first byte. Gossip is a map.
const CBOR_ARRAY: u8 = 4;

/// Holds a message and the number that connects an answer with its question.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct PermitMessage(pub(super) u64, pub(super) PermitBody);

/// Holds a question or its answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum PermitBody {
    /// Asks for a permit for one request.
    Ask {
        endpoint: EndpointId,
        started_unix_ms: Option<u64>,
        /// The limit that the sender knows of, and the age of that knowledge.
        per_second: f64,
        age_ms: ToldAge,
    },
    /// Grants a permit, or tells when there will be one.
    Answer { denied_ms: Option<u64> },
}

impl PermitMessage {
    /// Returns whether a datagram between entries is such a message.
    pub(crate) fn is_one(datagram: &[u8]) -> bool {
        datagram
            .first()
            .is_some_and(|first| first >> 5 == CBOR_ARRAY)
    }

    /// Encodes the message as a datagram.
    pub(super) fn encode(&self) -> Result<Vec<u8>, ciborium::ser::Error<std::io::Error>> {
        let mut datagram = Vec::new();
        ciborium::into_writer(self, &mut datagram)?;
        Ok(datagram)
    }
}

impl From<PermitAnswer> for PermitBody {
    fn from(answer: PermitAnswer) -> Self {
        let denied_ms = match answer {
            PermitAnswer::Granted => None,
            // Rounded up, since there is no permit before.
            PermitAnswer::Denied { retry } => Some(ms(retry) + 1),
        };
        Self::Answer { denied_ms }
    }
}
