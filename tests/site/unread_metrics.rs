//! Metrics that nobody reads.

use futures_util::future::join_all;

use super::caller::new_request_id;
use super::raw::{Exchange, RawConnection};
use super::support::Site;

const CONNECTIONS: usize = 20;
/// The number of requests on each connection before memory is measured.
const WARM_UP: usize = 500;
/// The number of measurements. A queue of log lines that fills up once grows the memory in one of them.
const ROUNDS: usize = 4;
/// The number of requests on each connection in each of them.
const MEASURED: usize = 1_500;
/// The memory that a request may leave behind: that of the smallest machine, 260 MB, over the
/// requests of a month at the 12 a second of an entry in `docs/CAPACITY.md`.
const BYTES_PER_REQUEST: u64 = 8;

async fn send(connections: &mut [RawConnection], count: usize) {
    join_all(connections.iter_mut().map(|connection| async move {
        for _ in 0..count {
            assert!(connection.write("/nowhere/a", &new_request_id(), &[]).await);
            let answer = connection.read().await;
            assert!(matches!(answer, Exchange::Complete(404, _)), "{answer:?}");
        }
    }))
    .await;
}

/// Guards against an entry whose memory grows with each request until somebody reads its metrics.
#[tokio::test(flavor = "multi_thread")]
async fn requests_leave_no_memory_behind_while_nobody_reads_the_metrics() {
    let site = Site::start(1).await;
    let to = site.entries[0].caller_address();
    let peak = || site.entries[0].process.peak_memory_bytes();
    let opened = (0..CONNECTIONS).map(|_| RawConnection::open(to));
    let mut connections = join_all(opened).await;
    send(&mut connections, WARM_UP).await;
    let mut least_grown = u64::MAX;
    for _ in 0..ROUNDS {
        let before = peak().expect("the entry runs");
        send(&mut connections, MEASURED).await;
        // The system's figures are sums that it does not keep exact at each moment.
        let grown = peak().expect("the entry runs").saturating_sub(before);
        least_grown = least_grown.min(grown);
    }
    let requests = (CONNECTIONS * MEASURED) as u64;
    assert!(
        least_grown < requests * BYTES_PER_REQUEST,
        "{least_grown} bytes after {requests} requests"
    );
}
