//! Server-sent events out of a streamed answer.

use pistachioyard_wire::StreamEvent;

use super::error::HttpClientError;
use super::lines::BodyLines;

/// Reads the events of a generated answer.
///
/// The event's type is taken from its `data:` line, which holds the whole
/// [`StreamEvent`]; `event:`, `id:` and comment lines are passed over.
#[derive(Debug)]
pub struct SseReader {
    lines: BodyLines,
    data: String,
}

impl SseReader {
    /// Reads events from a streamed answer.
    pub fn new(lines: BodyLines) -> Self {
        Self {
            lines,
            data: String::new(),
        }
    }

    /// Reads the next event, or none at the end of the stream.
    ///
    /// An event that is not closed by a blank line is dropped, since it may be cut.
    ///
    /// # Errors
    ///
    /// Fails when the stream breaks off or an event cannot be read.
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
