//! Endpoints that die in the middle of paths: finding them, and doing without them.

use std::time::{Duration, Instant};

use pistachioyard_policy::{
    FlowBook, LoadBook, NoPath, Path, PathQuery, StageOffer, choose_path, crossing_ms, repair_path,
};
use pistachioyard_wire::{DataCentre, EndpointId};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::fixture::{LAYERS, SIZE, data_centre, placed_offers, spec};

const MS: Duration = Duration::from_millis(1);
fn query(home: &DataCentre) -> PathQuery<'_> {
    PathQuery {
        size: SIZE,
        home,
        crossing_ms: None,
        first: None,
    }
}

fn path(offers: &[StageOffer], seed: u64) -> Path {
    let home = data_centre("b");
    let rng = &mut ChaCha8Rng::seed_from_u64(seed);
    choose_path(&spec(), offers, &query(&home), rng).expect("there is a path")
}

fn repair(offers: &[StageOffer], path: &Path, lost: &EndpointId) -> Result<Path, NoPath> {
    let spec = spec();
    let home = data_centre("b");
    let live: Vec<StageOffer> = offers
        .iter()
        .filter(|offer| offer.endpoint != *lost)
        .cloned()
        .collect();
    let place = |endpoint: &EndpointId| {
        let offer = offers.iter().find(|offer| offer.endpoint == *endpoint)?;
        Some(offer.data_centre.clone())
    };
    let rng = &mut ChaCha8Rng::seed_from_u64(7);
    repair_path(&spec, &live, path, lost, place, &query(&home), rng)
}

fn check_layers(path: &Path) {
    let mut next = 0;
    for stage in &path.stages {
        assert_eq!(stage.layers.first(), next);
        next = stage.layers.end();
    }
    assert_eq!(next, LAYERS);
}

#[test]
fn only_the_lost_stage_is_replaced_and_no_endpoint_comes_twice() {
    let offers = placed_offers();
    let mut mended = 0;
    for seed in 0..30 {
        let path = path(&offers, seed);
        for lost in path.stages.iter().skip(1) {
            let Ok(repaired) = repair(&offers, &path, &lost.endpoint) else {
                continue;
            };
            mended += 1;
            check_layers(&repaired);
            assert_eq!(repaired.crossings, 0);
            for stage in path.stages.iter().filter(|stage| *stage != lost) {
                assert!(repaired.stages.contains(stage), "{stage:?} is kept");
            }
            for stage in &repaired.stages {
                let times = repaired
                    .stages
                    .iter()
                    .filter(|s| s.endpoint == stage.endpoint);
                assert_eq!(times.count(), 1);
                assert_ne!(stage.endpoint, lost.endpoint);
            }
        }
    }
    assert!(mended > 0);
}

#[test]
fn the_first_endpoint_cannot_be_replaced() {
    let offers = placed_offers();
    let path = path(&offers, 1);
    let lost = &path.stages[0].endpoint;
    assert_eq!(repair(&offers, &path, lost), Err(NoPath::NotReplaceable));
}

#[test]
fn without_another_holder_near_by_the_path_is_not_mended() {
    let offers = placed_offers();
    let path = path(&offers, 1);
    let lost = &path.stages[1];
    let mut others = offers.clone();
    others.retain(|o| {
        let holds = o.layers.first() < lost.layers.end() && lost.layers.first() < o.layers.end();
        !holds || o.endpoint == lost.endpoint || o.data_centre.as_str() != "b"
    });
    assert_eq!(
        repair(&others, &path, &lost.endpoint),
        Err(NoPath::NoCrossing)
    );
    // With room in the pipes the gap is crossed, out and back.
    let (spec, home) = (spec(), data_centre("b"));
    let crossing = PathQuery {
        crossing_ms: Some(crossing_ms(&spec)),
        ..query(&home)
    };
    let live: Vec<StageOffer> = others
        .iter()
        .filter(|o| o.endpoint != lost.endpoint)
        .cloned()
        .collect();
    let place = |_: &EndpointId| Some(home.clone());
    let rng = &mut ChaCha8Rng::seed_from_u64(7);
    let crossed = repair_path(&spec, &live, &path, &lost.endpoint, place, &crossing, rng);
    let crossed = crossed.expect("the pipes have room");
    check_layers(&crossed);
    assert_eq!(crossed.crossings, 2);
}

/// Replays forty streams that lose the same endpoint at once: they share out among
/// those that hold its layers, as far as there is room.
#[test]
fn many_paths_are_mended_at_once_within_the_memory_that_is_left() {
    let spec = spec();
    let mut offers = placed_offers();
    let mut load = LoadBook::default();
    let first = path(&offers, 1);
    let mendable = first.stages.iter().skip(1);
    let lost = mendable
        .map(|stage| stage.endpoint.clone())
        .find(|lost| repair(&offers, &first, lost).is_ok())
        .expect("a stage is backed up");
    let mut mended = 0;
    for seed in 0..40 {
        let path = path(&offers, seed);
        if !path.stages.iter().any(|stage| stage.endpoint == lost) {
            continue;
        }
        let Ok(repaired) = repair(&offers, &path, &lost) else {
            break;
        };
        load.begin(&repaired.stages, SIZE);
        for offer in &mut offers {
            offer.requests = load.requests(&offer.endpoint);
            offer.token_layers = load.token_layers(&offer.endpoint);
            let room = spec.token_layers_beside(&offer.card, offer.layers.len());
            assert!(offer.token_layers <= room, "{}", offer.endpoint);
        }
        mended += 1;
    }
    assert!(mended >= 10, "{mended}");
}

/// Lets events come through a path every `gap` for a while; returns when the last came.
fn flows(flow: &mut FlowBook, path: &Path, gap: Duration, mut now: Instant) -> Instant {
    for _ in 0..100 {
        now += gap;
        flow.note(&path.stages, now);
    }
    now
}

/// Replays an entry with many streams, of which those through one endpoint stop.
#[test]
fn of_a_silent_path_only_the_endpoints_without_other_streams_are_doubted() {
    let offers = placed_offers();
    let silent = path(&offers, 1);
    let dead = &silent.stages[2].endpoint;
    let mut flow = FlowBook::default();
    let since = flows(&mut flow, &silent, 3 * MS, Instant::now());
    let mut others = silent.clone();
    others.stages.retain(|stage| stage.endpoint != *dead);
    let now = since + 60 * MS;
    flow.note(&others.stages, now);
    let doubted = flow.doubted(&silent.stages, since, now);
    assert_eq!(doubted.len(), 1);
    assert_eq!(doubted[0].endpoint, *dead);
    // Nothing is doubted while events come, and never more than a few at once.
    assert_eq!(flow.doubted(&others.stages, since, now), Vec::new());
    assert!(flow.doubted(&silent.stages, since, now + 1_000 * MS).len() <= 4);
}

/// Replays one of many entries, which has a single stream: its pauses raise no doubt
/// until they are long for it.
#[test]
fn where_little_comes_through_a_pause_must_be_longer_to_raise_a_doubt() {
    let offers = placed_offers();
    let path = path(&offers, 1);
    let mut flow = FlowBook::default();
    let since = flows(&mut flow, &path, 35 * MS, Instant::now());
    assert_eq!(
        flow.doubted(&path.stages, since, since + 100 * MS),
        Vec::new()
    );
    assert!(
        !flow
            .doubted(&path.stages, since, since + 160 * MS)
            .is_empty()
    );
    // A stream that has just been sent is no reason to doubt endpoints without others.
    let later = since + 5_000 * MS;
    assert_eq!(
        flow.doubted(&path.stages, later, later + 100 * MS),
        Vec::new()
    );
}

#[test]
fn endpoints_that_are_gone_are_forgotten() {
    let offers = placed_offers();
    let path = path(&offers, 1);
    let mut flow = FlowBook::default();
    let since = flows(&mut flow, &path, 3 * MS, Instant::now());
    assert!(
        !flow
            .doubted(&path.stages, since, since + 60 * MS)
            .is_empty()
    );
    flow.retain(|_| false);
    assert_eq!(
        flow.doubted(&path.stages, since, since + 60 * MS),
        Vec::new()
    );
}
