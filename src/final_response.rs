//! Checks that a response ends its request.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use http::response::Parts;
use http::{HeaderMap, Response, StatusCode};
use hyper::body::Incoming;

use crate::error::CallError;

/// The status codes of responses that end a request; the HTTP library takes 100 to 999.
const FINAL_CODES: RangeInclusive<u16> = 200..=599;

/// Holds a response whose status is that of a final one. All clients return only such responses,
/// so that nothing else is taken for an answer.
#[derive(Debug)]
pub(crate) struct FinalResponse(Response<Incoming>);

/// Says that a status is none that ends a request.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("{0} is no status of an answer; expected 200 to 599")]
pub(crate) struct NoFinalStatus(u16);

impl TryFrom<Response<Incoming>> for FinalResponse {
    type Error = NoFinalStatus;

    fn try_from(response: Response<Incoming>) -> Result<Self, NoFinalStatus> {
        let code = response.status().as_u16();
        match FINAL_CODES.contains(&code) {
            true => Ok(Self(response)),
            false => Err(NoFinalStatus(code)),
        }
    }
}

impl FinalResponse {
    /// Checks the response of a process; one that is not final counts as lost.
    pub(crate) fn check(to: SocketAddr, response: Response<Incoming>) -> Result<Self, CallError> {
        Self::try_from(response).map_err(|e| status_lost(to, &e.to_string()))
    }

    pub(crate) fn status(&self) -> StatusCode {
        self.0.status()
    }

    pub(crate) fn headers(&self) -> &HeaderMap {
        self.0.headers()
    }

    pub(crate) fn into_body(self) -> Incoming {
        self.0.into_body()
    }

    pub(crate) fn into_parts(self) -> (Parts, Incoming) {
        self.0.into_parts()
    }
}

/// Logs that a response has no status that ends a request, and returns the error.
pub(crate) fn status_lost(to: SocketAddr, why: &str) -> CallError {
    let address = to.to_string();
    spdlog::warn!("http: answer without a status, connection closed", kv: {
        address = address.as_str(), why
    });
    CallError::AnswerLost { to }
}
