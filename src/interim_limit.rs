//! Bounds the interim responses (1xx) that come before the one that counts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use http::Request;
use hyper::ext::on_informational;
use tokio::sync::Notify;

use crate::error::CallError;

/// The maximum number of interim responses to a request. A sound process sends a few, for instance
/// one `103 Early Hints`.
const MAX_INTERIM: usize = 64;

/// Ends a call whose response does not begin, since interim responses go on.
pub(crate) struct InterimLimit {
    exceeded: Arc<Notify>,
}

impl InterimLimit {
    /// Counts the interim responses to a request.
    pub(crate) fn of<B>(req: &mut Request<B>) -> Self {
        let exceeded = Arc::new(Notify::new());
        let (notify, seen) = (exceeded.clone(), AtomicUsize::new(0));
        on_informational(req, move |_| {
            if seen.fetch_add(1, Ordering::Relaxed) == MAX_INTERIM {
                notify.notify_one();
            }
        });
        Self { exceeded }
    }

    /// Waits for what a call returns; one with too many interim responses counts as lost, and its
    /// connection is closed.
    pub(crate) async fn bound<T>(
        &self,
        to: SocketAddr,
        sent: impl Future<Output = T>,
    ) -> Result<T, CallError> {
        tokio::select! {
            biased;
            sent = sent => Ok(sent),
            () = self.exceeded.notified() => {
                let address = to.to_string();
                spdlog::warn!("http: interim answers without end, connection closed", kv: {
                    address = address.as_str(), max = MAX_INTERIM
                });
                Err(CallError::AnswerLost { to })
            }
        }
    }
}
