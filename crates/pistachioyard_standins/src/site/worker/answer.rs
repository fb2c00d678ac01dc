//! The form of a worker's answers, which a request may select.

use ::http::{HeaderMap, HeaderValue, Response, StatusCode, Version, header::CONNECTION};
use http_body_util::BodyExt;

use super::header;
use crate::site::http::Body;

/// Says how an answer ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Ending {
    /// By its length or its last chunk.
    Framed,
    /// By its length or its last chunk, after an announcement that its connection ends too.
    Leaving,
    /// With its connection, without a length or chunks.
    Connection,
    /// With its connection in the middle of an event, unless the stream is resumed.
    InsideEvent,
    /// Never: from the middle on single bytes arrive now and then, unless the stream is resumed.
    Drip,
}

impl Ending {
    /// Returns the ending that the headers of a request select.
    pub(super) fn of(headers: &HeaderMap) -> Self {
        match header(headers, "x-answer-end") {
            Some("leaving") => Self::Leaving,
            Some("connection") => Self::Connection,
            Some("inside-event") => Self::InsideEvent,
            Some("drip") => Self::Drip,
            Some(_) | None => Self::Framed,
        }
    }
}

/// Returns an answer with the worker's signature.
pub(super) fn signed(id: &str, body: Body, ending: Ending) -> Response<Body> {
    let mut answer = match ending {
        Ending::Framed | Ending::Leaving | Ending::Drip => Response::new(body),
        Ending::Connection | Ending::InsideEvent => {
            // hyper delimits a body of unknown length by its connection in HTTP/1.0 only.
            let mut answer = Response::new(without_length(body));
            *answer.version_mut() = Version::HTTP_10;
            answer
        }
    };
    let headers = answer.headers_mut();
    if ending == Ending::Leaving {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert("x-attempt-id", id);
    }
    headers.insert("x-response-signature", HeaderValue::from_static("stand-in"));
    answer
}

/// Returns the header that selects the status of the answer to a stream, if there is one.
pub(super) fn status_header(requested: &HeaderMap) -> Option<&'static str> {
    let is_resumed = requested.contains_key("last-event-id");
    let names = [("x-answer-status", true), ("x-resume-status", is_resumed)];
    let mut selected = names.into_iter().filter(|(_, applies)| *applies);
    selected.find_map(|(name, _)| requested.contains_key(name).then_some(name))
}

/// Gives an answer the status that a request selects with the header `name`.
pub(super) fn set_status(requested: &HeaderMap, name: &str, answer: &mut Response<Body>) {
    let status = header(requested, name).and_then(|status| status.parse().ok());
    if let Some(status) = status.and_then(|status| StatusCode::from_u16(status).ok()) {
        *answer.status_mut() = status;
    }
}

fn without_length(body: Body) -> Body {
    let frames = body.into_data_stream();
    let frames = futures_util::StreamExt::map(frames, |data| data.map(hyper::body::Frame::data));
    http_body_util::StreamBody::new(frames).boxed_unsync()
}

/// Returns the length to which a request wants its answer, or each event of it, to be padded.
pub(super) fn padded_len(headers: &HeaderMap) -> usize {
    let asked = header(headers, "x-answer-bytes").and_then(|len| len.parse().ok());
    asked.unwrap_or_default()
}

/// Returns a line with padding up to a length.
pub(super) fn padded(mut line: String, len: usize) -> String {
    line.push_str(&".".repeat(len.saturating_sub(line.len())));
    line
}
