//! Tests the selection of endpoints for plain services, and the limit on crossings.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pistachioyard_policy::{CrossingLimiter, LatencyEstimates, LoadTracker, choose_plain_endpoint};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::fixture::{data_centre, id, record, spec};

fn shares(latency: &LatencyEstimates, load: &LoadTracker, now: Instant) -> BTreeMap<String, u32> {
    let mut records = [
        record("one", 1, None),
        record("two", 2, None),
        record("three", 3, None),
    ];
    for record in &mut records {
        record.slots = 6;
    }
    let endpoints: Vec<_> = records.iter().collect();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut shares = BTreeMap::new();
    for _ in 0..300 {
        let chosen =
            choose_plain_endpoint(&endpoints, latency, load, &data_centre("a"), now, &mut rng);
        let name = chosen
            .expect("an endpoint is usable")
            .endpoint
            .as_str()
            .to_owned();
        *shares.entry(name).or_default() += 1;
    }
    shares
}

#[test]
fn healthy_endpoints_share_the_load() {
    let now = Instant::now();
    let shares = shares(&LatencyEstimates::default(), &LoadTracker::default(), now);
    assert!(
        shares.len() == 3 && shares.values().all(|n| *n > 60),
        "{shares:?}"
    );
}

#[test]
fn a_slow_endpoint_is_avoided_and_tried_again_with_time() {
    let now = Instant::now();
    let mut latency = LatencyEstimates::default();
    for _ in 0..5 {
        latency.record(&id("one"), Duration::from_millis(400), now);
    }
    assert_eq!(
        shares(&latency, &LoadTracker::default(), now).get("one"),
        None
    );
    let later = now + Duration::from_secs(30);
    assert!(shares(&latency, &LoadTracker::default(), later).contains_key("one"));
}

#[test]
fn requests_in_flight_add_to_the_expected_latency() {
    let now = Instant::now();
    let mut load = LoadTracker::default();
    for _ in 0..6 {
        load.begin_plain(&id("one"));
    }
    assert_eq!(
        shares(&LatencyEstimates::default(), &load, now).get("one"),
        None
    );
}

/// Guards the links between data centres when every data centre lacks some layers: far more
/// tokens would cross than the links can carry.
#[test]
fn crossings_stay_within_this_entry_s_share_of_the_links() {
    let spec = spec();
    let start = Instant::now();
    let mut limiter = CrossingLimiter::new(start);
    let mut tokens = 0.0;
    for ms in 1..=10_000 {
        limiter.refill(&spec, 4, start + Duration::from_millis(ms));
        if limiter.has_room() {
            limiter.take(2.0 * 924.0);
            tokens += 2.0 * 924.0;
        }
    }
    let carried = 7_900e6 / 8.0 / 22_900.0 * 10.0;
    assert!(tokens < carried / 4.0, "{tokens} of {carried}");
    assert!(tokens > carried / 4.0 * 0.6, "{tokens} of {carried}");
}
