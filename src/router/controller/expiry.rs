//! Notices copies of the store's objects that nothing has confirmed lately.

use parking_lot::Mutex;
use pistachioyard_platform::ObjectKind;
use pistachioyard_policy::Freshness;

use crate::prelude::*;
use crate::router::log::ms;
use crate::router::metric;

/// Waits until a copy has to be read again so that changes are known within `limit`.
pub(super) async fn expired(freshness: &Mutex<Freshness>, kind: ObjectKind, limit: Duration) {
    loop {
        let expires_at = freshness.lock().expires_at(limit);
        if Instant::now() >= expires_at {
            break;
        }
        tokio::time::sleep_until(expires_at.into()).await;
    }
    let age_ms = ms(freshness.lock().age(Instant::now()));
    metric::count_expired_copy(kind.0);
    spdlog::info!("store: nothing has confirmed a copy lately, reading it again", kv: {
        kind = kind.0, age_ms
    });
}
