//! More connections to endpoints within the time for which a closed one holds its port than the
//! machine has ports.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

use futures_util::future::join_all;

use super::caller::new_request_id;
use super::layout::Layout;
use super::raw::{Exchange, RawConnection};
use super::support::Site;

/// The number of requests; an address has 28,232 ports by default.
const REQUESTS: usize = 30_000;
/// The number of callers that each wait for their answers.
const CALLERS: usize = 36;

/// Sends requests one after the other until enough were sent, and returns how many were answered
/// with another status than 200, or not at all.
async fn send_each(to: SocketAddr, sent: &AtomicUsize) -> usize {
    let mut connection = RawConnection::open(to).await;
    let mut unserved = 0;
    while sent.fetch_add(1, Ordering::Relaxed) < REQUESTS {
        connection.write("/record/a", &new_request_id(), &[]).await;
        let answer = connection.read().await;
        unserved += usize::from(!matches!(answer, Exchange::Complete(200, _)));
        if matches!(answer, Exchange::Cut(_)) {
            connection = RawConnection::open(to).await;
        }
    }
    unserved
}

/// Guards against an entry that runs out of ports, blames its endpoints, and refuses all requests
/// for a minute.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_run_at_most_once_are_served_beyond_the_number_of_ports() {
    let site = Site::start_with(Layout {
        plain_endpoints: 2,
        is_proxied: false,
        ..Layout::default()
    })
    .await;
    let (to, sent) = (site.entries[0].caller_address(), AtomicUsize::new(0));
    let unserved = join_all((0..CALLERS).map(|_| send_each(to, &sent))).await;
    assert_eq!(unserved.iter().sum::<usize>(), 0);
}
