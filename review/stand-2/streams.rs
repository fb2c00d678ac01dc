//! What the cases with streams have in common: the configuration of an engine service, and a client
//! that asks for a stream.

use std::time::Duration;

use crate::http::Client;
use crate::worker::LAYERS;

/// What a client asks for.
pub struct Ask<'a> {
    pub id: &'a str,
    pub key: &'a str,
    /// The shared parts of the prompt, without the request's own.
    pub parts: &'a [&'a str],
}

/// Asks for a stream; returns the status, the number of events and what broke the answer.
pub fn ask(client: &mut Client, ask: &Ask<'_>) -> String {
    let Ask { id, key, parts } = ask;
    let body = format!("draft {id}");
    let own = id.bytes().fold(7u32, |sum, b| {
        sum.wrapping_mul(31).wrapping_add(u32::from(b))
    });
    let shared: String = parts.iter().map(|part| format!("{part}:40,")).collect();
    let text = format!(
        "POST /narrativ/1 HTTP/1.1\r\nhost: desk.example\r\nx-attempt-id: {id}\r\n\
         x-deadline-ms: 20000\r\nauthorization: Bearer {key}\r\nx-model: m0\r\n\
         x-token-usage: {},40\r\nx-prompt-prefix: {shared}{own:x}:60\r\n\
         content-length: {}\r\n\r\n",
        parts.len() * 40 + 60,
        body.len()
    );
    let answer = client.send(&text, body.as_bytes(), Duration::from_secs(20));
    let events = String::from_utf8_lossy(&answer.body)
        .matches("\n\n")
        .count();
    let retry_after = match answer.retry_after.as_str() {
        "" => String::new(),
        seconds => format!("retry after {seconds} s"),
    };
    format!(
        "{} {events} events {}{retry_after}",
        answer.status, answer.broken
    )
}

/// Returns whether what came is a whole stream.
pub fn is_whole(came: &str, events: u64) -> bool {
    came == format!("200 {events} events ")
}

/// The configuration: one route for streams, an engine service and two tenants.
pub fn config() -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"narrativ\",\"host\":\"desk.example\",\
         \"path_prefix\":\"/narrativ/\",\"kind\":\"streaming\",\"timeout_ms\":20000,\
         \"target_latency_ms\":500,\"priority\":1,\"service\":\"pisar\",\
         \"max_attempts\":2,\"anonymous\":false,\"resumable\":true,\"sticky\":true,\
         \"gap_target_ms\":200}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":10000}},\
         \"tenants\":[{{\"name\":\"one\",\"api_keys\":[\"key-one\"],\"priority\":1}},\
         {{\"name\":\"two\",\"api_keys\":[\"key-two\"],\"priority\":1}}],\
         \"services\":[{{\"name\":\"pisar\",\"max_connections\":1058,\"engine\":{{\"slots\":192,\
         \"kv_token_bytes\":8000,\"step_ms\":1.0,\"per_seq_ms\":0.001,\"context_per_k\":0.001,\
         \"read_per_s\":100000.0,\"report_lag_ms\":200.0,\"loads_at_once\":4,\
         \"usual\":{{\"prompt\":140,\"answer\":40}},\"models\":[{{\"name\":\"m0\",\"load_s\":0.1}}],\
         \"layers\":{LAYERS},\"layer_mb\":1000.0,\"activation_bytes\":1000,\"pipe_mbps\":7900.0,\
         \"kinds\":[{{\"name\":\"big\",\"size_mb\":20000.0,\"pace\":1.0,\"read_factor\":1.0}}]}}}}]}}"
    )
}
