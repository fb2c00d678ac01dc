//! A small HTTP client for JSON calls and streamed answers.

mod client;
mod error;
mod lines;
mod sse;

pub use client::{HttpAnswer, HttpClient, HttpClientConfig};
pub use error::HttpClientError;
pub use lines::BodyLines;
pub use sse::SseReader;
