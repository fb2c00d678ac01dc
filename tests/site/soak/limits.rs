//! Endpoints that name a limit during a soak.

use std::collections::BTreeSet;
use std::net::IpAddr;

use pistachioyard_standins::FaultRule;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::limited::{SETTLE_TIME, now_ms};
use crate::support::Site;

/// Makes some endpoints name a limit from the start; returns it, and when they named it first.
pub(super) async fn limit_endpoints(site: &Site, rng: &mut ChaCha8Rng) -> Limited {
    let rate = [0.5, 2.0, 5.0][rng.random_range(0..3)];
    let count = rng.random_range(0..=site.endpoints.len());
    let endpoints: Vec<usize> = (0..count).collect();
    site.set_limits(&endpoints, &[&rate.to_string()]).await;
    Limited {
        endpoints,
        rate,
        since_ms: now_ms(),
        excused: BTreeSet::new(),
        rules: Vec::new(),
    }
}

/// Checks that the limited endpoints which have run all the time got no more than their limit, and
/// ends the limits.
pub(super) async fn check_limits(site: &mut Site, mut limited: Limited) {
    let endpoints = site.endpoints.iter_mut().enumerate();
    let ended: Vec<usize> = endpoints
        .filter_map(|(index, endpoint)| (!endpoint.process.is_running()).then_some(index))
        .collect();
    limited.endpoints.retain(|index| !ended.contains(index));
    let from_ms = limited.since_ms + SETTLE_TIME.as_millis() as u64;
    let Limited {
        endpoints,
        rate,
        excused,
        ..
    } = &limited;
    site.check_windows_without(endpoints, *rate, from_ms, excused)
        .await;
    site.set_limits(&limited.endpoints, &[]).await;
}

/// Holds the endpoints that name a limit and have not been killed since.
pub(super) struct Limited {
    pub(super) endpoints: Vec<usize>,
    rate: f64,
    since_ms: u64,
    /// The entries that were restarted, paused or cut off, which the rule excuses.
    pub(super) excused: BTreeSet<IpAddr>,
    /// The rules of the proxy in force, since each new list replaces the last one.
    pub(super) rules: Vec<FaultRule>,
}

impl Limited {
    /// Adds rules of the proxy to those in force.
    pub(super) async fn add_rules(&mut self, site: &Site, rules: Vec<FaultRule>) {
        self.rules.extend(rules);
        site.set_proxy_faults(&self.rules).await;
    }
}
