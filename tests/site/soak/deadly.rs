//! Requests that crash endpoints.

use http::Method;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::caller::new_request_id;
use crate::support::{KEY, Site};

/// Sends a request that crashes the endpoints that run it.
pub(super) async fn send_deadly(site: &Site, entry: usize, rng: &mut ChaCha8Rng) {
    let path = ["/lookup/deadly", "/record/deadly", "/draft/deadly"][rng.random_range(0..3)];
    let id = new_request_id();
    let key = format!("Bearer {KEY}");
    let headers = [
        ("x-attempt-id", id.as_str()),
        ("x-deadline-ms", "800"),
        ("authorization", key.as_str()),
        ("x-token-usage", "100,20"),
    ];
    let to = site.entries[entry].caller_address();
    // Its caller gets no answer worth checking.
    let sent = site
        .client
        .send(Method::POST, to, path, &headers, "poison".into());
    let _ = sent.await;
}
