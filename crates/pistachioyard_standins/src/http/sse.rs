//! Reads server-sent events from a streamed answer.

use pistachioyard_wire::StreamEvent;

use super::error::HttpClientError;
use super::lines::BodyLines;

/// Reads the events of a `generate` answer.
///
/// The `data:` line holds the complete [`StreamEvent`], including its type; `event:`,
/// `id:` and comment lines are ignored.
#[derive(Debug)]
pub struct SseReader {
    lines: BodyLines,
    data: String,
}

impl SseReader {
    /// Creates a reader of the events in a streamed answer.
    pub fn new(lines: BodyLines) -> Self {
        Self {
            lines,
            data: String::new(),
        }
    }

    /// Reads the next event; returns `None` at the end of the stream.
    ///
    /// An event without a terminating blank line is dropped, since it may be truncated.
    ///
    /// # Errors
    ///
    /// Fails when the stream is cut off or an event cannot be decoded.
    pub async fn next_event(&mut self) -> Result<Option<StreamEvent>, HttpClientError> {
        while let Some(line) = self.lines.next_line().await? {
            if let Some(data) = line.strip_prefix("data:") {
                self.push_data(data.strip_prefix(' ').unwrap_or(data));
            }
            if line.is_empty() && !self.data.is_empty() {
                return self.take_event().map(Some);
            }
        }
        Ok(None)
    }

    fn push_data(&mut self, data: &str) {
        if !self.data.is_empty() {
            self.data.push('\n');
        }
        self.data.push_str(data);
    }

    fn take_event(&mut self) -> Result<StreamEvent, HttpClientError> {
        let text = std::mem::take(&mut self.data);
        serde_json::from_str(&text).map_err(|source| HttpClientError::Decode { text, source })
    }
}
