//! Background tasks that keep the shared state up to date.

mod config;
mod convictions;
mod endpoints;
mod expiry;
mod peer_fallback;
mod peers;
mod placement;
mod reach;
mod record_news;
mod suspects;
mod watch_pace;

pub(crate) use peer_fallback::{STATE_PATH, encode_state};
pub(crate) use peers::{GOSSIP_PERIOD, ShortKeys, announce};
pub(crate) use placement::is_candidate as is_placement_candidate;

use std::collections::HashSet;
use std::net::SocketAddr;

use crate::prelude::*;
use crate::router::Router;

/// How often expired connections and the state of removed endpoints are dropped.
const HOUSEKEEPING_PERIOD: Duration = Duration::from_secs(1);

/// Starts all controllers; they run until the process ends.
pub(crate) fn start(router: &Arc<Router>, peers: tokio::net::UdpSocket) {
    let peers = Arc::new(peers);
    router.permits.set_socket(peers.clone());
    supervise(router, "config", config::run);
    supervise(router, "convictions", convictions::run);
    supervise(router, "endpoints", endpoints::run);
    let socket = peers.clone();
    supervise(router, "gossip_receiver", move |router| {
        peers::listen(router, socket.clone())
    });
    supervise(router, "gossip_sender", move |router| {
        peers::gossip(router, peers.clone())
    });
    supervise(router, "housekeeping", run_housekeeping);
    supervise(router, "peer_fallback", peer_fallback::run);
    supervise(router, "placement", placement::run);
    supervise(router, "reach", reach::run);
    supervise(router, "registration", peers::register);
    supervise(router, "suspects", suspects::run);
}

/// Starts a task of this entry, which is started again if it ends.
pub(crate) fn supervise<F>(
    router: &Arc<Router>,
    task: &'static str,
    run: impl Fn(Arc<Router>) -> F + Send + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let state = router.clone();
    router.tasks.spawn(task, move || run(state.clone()));
}

async fn run_housekeeping(router: Arc<Router>) {
    loop {
        tokio::time::sleep(HOUSEKEEPING_PERIOD).await;
        router.client.expire();
        let addresses: HashSet<SocketAddr> = {
            let endpoints = router.endpoints.lock();
            endpoints.records().map(|record| record.address).collect()
        };
        router
            .client
            .retain_addresses(|address| addresses.contains(&address));
        let endpoints = router.endpoints.lock();
        let mut latency = router.plain_latency.lock();
        latency.retain(|endpoint| endpoints.get(endpoint).is_some());
        let mut activity = router.activity.lock();
        activity.retain(|endpoint| endpoints.get(endpoint).is_some());
    }
}

/// Returns `base` with up to 20 % of jitter, so that processes do not act in lockstep.
fn jittered(base: Duration) -> Duration {
    base.mul_f64(0.8 + 0.4 * rand::random::<f64>())
}
