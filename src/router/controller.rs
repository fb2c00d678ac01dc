//! Loops that keep state up to date.

mod config;
mod endpoints;
mod peers;
mod placement;
mod standby;
mod suspects;
mod watch_pace;

pub(crate) use peers::announce;
pub(crate) use standby::{STATE_PATH, encode_state};

use crate::prelude::*;
use crate::router::Router;

/// How often idle connections are looked through.
const HOUSEKEEPING_PERIOD: Duration = Duration::from_secs(1);

/// Starts all controllers; they run until the process ends.
pub(crate) fn start(router: &Arc<Router>, peers: tokio::net::UdpSocket) {
    let peers = Arc::new(peers);
    tokio::spawn(config::run(router.clone()));
    tokio::spawn(endpoints::run(router.clone()));
    tokio::spawn(peers::listen(router.clone(), peers.clone()));
    tokio::spawn(peers::gossip(router.clone(), peers));
    tokio::spawn(peers::register(router.clone()));
    tokio::spawn(placement::run(router.clone()));
    tokio::spawn(standby::run(router.clone()));
    tokio::spawn(suspects::run(router.clone()));
    tokio::spawn(keep_house(router.clone()));
}

async fn keep_house(router: Arc<Router>) {
    loop {
        tokio::time::sleep(HOUSEKEEPING_PERIOD).await;
        router.client.expire();
        let endpoints = router.endpoints.lock();
        let mut pace = router.plain_pace.lock();
        pace.retain(|endpoint| endpoints.get(endpoint).is_some());
        let mut flow = router.flow.lock();
        flow.retain(|endpoint| endpoints.get(endpoint).is_some());
    }
}

/// Returns a pause of about `base`, spread so that processes do not move in step.
fn spread(base: Duration) -> Duration {
    base.mul_f64(0.8 + 0.4 * rand::random::<f64>())
}
