//! Finds out whether this entry has lost its links to endpoints, and when they are back.

use crate::prelude::*;
use crate::router::Router;

/// How often endpoints are tried while a service is out of reach.
const RETRY_PERIOD: Duration = Duration::from_millis(250);
/// The pause after a failure, so that failures at the same moment are looked at together.
const DEBOUNCE: Duration = Duration::from_millis(5);

/// Assesses the reach whenever an endpoint fails, and at intervals while one is out of reach.
pub(super) async fn run(router: Arc<Router>) {
    loop {
        let doubtful = router.client.reach_doubtful.notified();
        if router.count_out_of_reach() > 0 {
            tokio::time::sleep(RETRY_PERIOD).await;
        } else {
            doubtful.await;
            tokio::time::sleep(DEBOUNCE).await;
        }
        router.review_reach().await;
    }
}
