//! Reads a streamed answer line by line.

use ::http::{HeaderMap, Response, StatusCode};
use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::client::{HttpAnswer, broken_body};
use super::error::HttpClientError;

/// Reads a streamed answer line by line; dropping it closes the connection.
#[derive(Debug)]
pub struct BodyLines {
    status: StatusCode,
    headers: HeaderMap,
    body: Incoming,
    buf: BytesMut,
}

impl BodyLines {
    pub(crate) fn new(response: Response<Incoming>) -> Self {
        let (head, body) = response.into_parts();
        Self {
            status: head.status,
            headers: head.headers,
            body,
            buf: BytesMut::new(),
        }
    }

    /// Returns the status code of the answer.
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// Returns the headers of the answer.
    pub fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// Reads the next line without its line ending; returns `None` at the end of the body.
    ///
    /// This method is cancel safe: dropping the future loses no bytes.
    ///
    /// # Errors
    ///
    /// Fails when the body is cut off.
    pub async fn next_line(&mut self) -> Result<Option<String>, HttpClientError> {
        loop {
            if let Some(end) = self.buf.iter().position(|byte| *byte == b'\n') {
                let line = self.buf.split_to(end);
                self.buf.advance(1);
                return Ok(Some(to_text(&line)));
            }
            match self.next_chunk().await? {
                Some(chunk) => self.buf.extend_from_slice(&chunk),
                None if self.buf.is_empty() => return Ok(None),
                None => {
                    let line = self.buf.split();
                    return Ok(Some(to_text(&line)));
                }
            }
        }
    }

    /// Reads the rest of the body, such as that of an error answer.
    ///
    /// # Errors
    ///
    /// Fails when the body is cut off.
    pub async fn into_answer(mut self) -> Result<HttpAnswer, HttpClientError> {
        while let Some(chunk) = self.next_chunk().await? {
            self.buf.extend_from_slice(&chunk);
        }
        Ok(HttpAnswer {
            status: self.status,
            headers: self.headers,
            body: self.buf.freeze(),
        })
    }

    async fn next_chunk(&mut self) -> Result<Option<Bytes>, HttpClientError> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|e| broken_body(&e))?;
            if let Ok(chunk) = frame.into_data() {
                return Ok(Some(chunk));
            }
        }
        Ok(None)
    }
}

fn to_text(line: &[u8]) -> String {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    String::from_utf8_lossy(line).into_owned()
}
