//! Tests the endpoint registry: what it applies, and when it ejects endpoints.

use std::time::{Duration, Instant};

use pistachioyard_policy::{
    EndpointChange, EndpointRegistry, EndpointReport, GossipReport, PipelineSpec, ProbeResult,
    SuspectReason, plan_moves,
};

use super::fixture::{LAYERS, id, range, record, registry, spec};

const MS: Duration = Duration::from_millis(1);
/// Until when a system serves again; `recovery_s` of the operators.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);

#[test]
fn a_suspect_is_ejected_until_it_answers_a_probe() {
    let now = Instant::now();
    let mut registry = registry(now);
    assert!(registry.mark_suspect(&id("one"), SuspectReason::NoAnswer, now));
    assert!(!registry.is_usable(&id("one"), now));
    assert_eq!(registry.due_probes(now).len(), 1);
    registry.note_probe(&id("one"), ProbeResult::Silent, now);
    assert!(registry.due_probes(now).is_empty(), "probes are spaced out");
    let later = now + 300 * MS;
    assert_eq!(registry.due_probes(later).len(), 1);
    registry.note_probe(&id("one"), ProbeResult::Answered, later);
    assert!(registry.is_usable(&id("one"), later));
}

/// Guards against placing the layers of an endpoint anew that is merely silent for a second.
#[test]
fn layers_of_a_silent_endpoint_are_kept_for_a_second() {
    let now = Instant::now();
    let is_lost = |result: ProbeResult, silence: Duration| {
        let mut registry = registry(now);
        registry.mark_suspect(&id("one"), SuspectReason::NoAnswer, now);
        for _ in 0..2 {
            registry.note_probe(&id("one"), result, now + silence);
        }
        let cards = registry.cards(&"model".try_into().expect("a name"), &spec(), now + silence);
        cards.is_empty()
    };
    assert!(!is_lost(ProbeResult::Silent, 1_200 * MS));
    assert!(is_lost(ProbeResult::Silent, 1_600 * MS));
    assert!(
        is_lost(ProbeResult::Refused, 500 * MS),
        "no process is left"
    );
}

/// Guards against a placement over layers that the model no longer has.
#[test]
fn an_endpoint_with_layers_beyond_those_of_the_model_holds_none_of_it() {
    let now = Instant::now();
    let registry = registry(now);
    let service = "model".try_into().expect("the name is valid");
    let held = |layers: u32| {
        let spec = PipelineSpec { layers, ..spec() };
        let cards = registry.cards(&service, &spec, now);
        plan_moves(&spec, &cards, 1_000.0);
        cards.first().map(|card| card.held)
    };
    let whole = held(LAYERS).flatten().expect("it holds layers");
    assert_eq!(held(whole.end()), Some(Some(whole)));
    assert_eq!(held(whole.end() - 1), Some(None));
}

/// Guards against a cut link between endpoints: the endpoint answers the router's probes, but
/// other endpoints cannot reach it.
#[test]
fn repeated_stalls_eject_an_endpoint_for_longer_each_time() {
    let mut now = Instant::now();
    let mut registry = registry(now);
    let mut ejections = Vec::new();
    for _ in 0..3 {
        registry.mark_suspect(&id("one"), SuspectReason::RequestsStall, now);
        registry.note_probe(&id("one"), ProbeResult::Answered, now);
        let began_at = now;
        while !registry.is_usable(&id("one"), now) {
            now += 50 * MS;
        }
        ejections.push(now - began_at);
    }
    assert!(
        ejections[0] < ejections[1] && ejections[1] < ejections[2],
        "{ejections:?}"
    );
}

/// Guards against endpoints that drain while the store is down. The only sign of it is
/// refusals that a lack of memory does not explain.
#[test]
fn an_endpoint_that_keeps_refusing_with_memory_to_spare_counts_as_leaving() {
    let now = Instant::now();
    let mut registry = registry(now);
    let counted = |registry: &EndpointRegistry, at| {
        registry
            .cards(&"model".try_into().expect("the name is valid"), &spec(), at)
            .len()
    };
    let mut at = now;
    for _ in 0..3 {
        assert_eq!(counted(&registry, at), 1);
        registry.note_refusal(&id("one"), true, at);
        assert!(!registry.is_usable(&id("one"), at));
        at += 700 * MS;
    }
    assert_eq!(counted(&registry, at), 0);
    assert_eq!(
        counted(&registry, at + Duration::from_secs(10)),
        1,
        "it is tried again after the refusal window"
    );
}

#[test]
fn refusals_for_lack_of_memory_do_not_count_as_leaving() {
    let now = Instant::now();
    let mut registry = registry(now);
    for n in 0..6 {
        registry.note_refusal(&id("one"), false, now + n * 900 * MS);
    }
    let cards = registry.cards(
        &"model".try_into().expect("the name is valid"),
        &spec(),
        now + 5_500 * MS,
    );
    assert_eq!(cards.len(), 1);
}

/// Guards against dropping a live endpoint whose record expired during an outage of the store.
#[test]
fn an_endpoint_whose_record_lapsed_in_an_outage_is_usable_until_its_grace_period_ends() {
    let now = Instant::now();
    let mut registry = registry(now);
    assert!(!registry.remove(&id("one"), None, Some(now + 2_000 * MS), now));
    assert!(registry.is_usable(&id("one"), now));
    assert!(registry.drop_lapsed(now + 1_900 * MS).is_empty());
    registry.apply(record("one", 1, Some(range(0, 8))), now + 1_950 * MS);
    assert!(
        registry.drop_lapsed(now + 4_000 * MS).is_empty(),
        "it is back"
    );
    registry.remove(&id("one"), None, Some(now + 7_000 * MS), now);
    assert_eq!(registry.drop_lapsed(now + 7_000 * MS), [id("one")]);
}

/// Guards against a grace period that starts too late: an endpoint that left a second after
/// an outage was kept for as long as if its record had been missing at the end of the outage.
#[test]
fn an_endpoint_that_leaves_late_in_the_grace_period_is_kept_only_until_it_ends() {
    let outage_end = Instant::now();
    let kept_until = outage_end + 2_200 * MS;
    let mut registry = registry(outage_end);
    let removed_at = outage_end + 1_700 * MS;
    assert!(!registry.remove(&id("one"), None, Some(kept_until), removed_at));
    assert!(registry.is_usable(&id("one"), removed_at));
    assert_eq!(registry.drop_lapsed(removed_at + 500 * MS), [id("one")]);
}

/// Guards against stale addresses: a router entry that the network had cut off sent requests to
/// an address that another endpoint had taken over in the meantime.
#[test]
fn reusing_an_address_removes_the_previous_endpoint() {
    let now = Instant::now();
    let mut registry = registry(now);
    assert_eq!(
        registry.apply(record("two", 1, None), now),
        EndpointChange::Joined
    );
    assert!(registry.get(&id("one")).is_none());
}

fn gossip(layers: Option<(u32, u32)>, is_moving: bool, heard_at: Instant) -> GossipReport {
    GossipReport {
        endpoint: id("one"),
        layers: layers.map(|(first, end)| range(first, end)),
        is_moving,
        orders_begun: 1,
        started_unix_ms: Some(1),
        slowdown: 1.0,
        heard_at,
    }
}

/// Guards against late gossip: a peer's report that an endpoint was still loading arrived after
/// the store's record of the loaded layers, and these layers were never used.
#[test]
fn gossip_does_not_override_a_newer_record() {
    let now = Instant::now();
    let mut registry = registry(now);
    assert!(!registry.apply_gossip(&gossip(None, true, now - 180 * MS)));
    assert_eq!(
        registry.get(&id("one")).and_then(|r| r.state.layers),
        Some(range(0, 8))
    );
    assert!(registry.apply_gossip(&gossip(Some((8, 16)), false, now + 100 * MS)));
    assert_eq!(
        registry.get(&id("one")).and_then(|r| r.state.layers),
        Some(range(8, 16))
    );
}

#[test]
fn a_stale_record_does_not_override_a_newer_report() {
    let now = Instant::now();
    let mut registry = registry(now);
    registry.note_order(&id("one"), range(4, 12), now + 2_000 * MS, now);
    let remaining = registry.get(&id("one")).and_then(|r| r.state.layers);
    assert_eq!(
        remaining,
        Some(range(4, 8)),
        "only the layers in both ranges stay usable"
    );
    let report = EndpointReport {
        layers: Some(range(4, 12)),
        orders_begun: 1,
        started_unix_ms: Some(1),
        slowdown: 1.0,
        ..EndpointReport::default()
    };
    registry.apply_report(&id("one"), report, now + 500 * MS);
    registry.apply(record("one", 1, None), now + 600 * MS);
    let layers = registry.get(&id("one")).and_then(|r| r.state.layers);
    assert_eq!(layers, Some(range(4, 12)));
}

#[test]
fn endpoints_that_start_together_are_waited_for() {
    let now = Instant::now();
    let service = "model".try_into().expect("the name is valid");
    let mut registry = EndpointRegistry::default();
    registry.apply(record("one", 1, None), now);
    assert!(registry.is_starting_up(&service, 1_900 * MS, now + 1_000 * MS));
    registry.apply(record("two", 2, None), now + 1_500 * MS);
    assert!(registry.is_starting_up(&service, 1_900 * MS, now + 2_500 * MS));
    assert!(!registry.is_starting_up(&service, 1_900 * MS, now + 3_500 * MS));
}

/// Guards against a service that is never placed since endpoints keep joining or starting again.
#[test]
fn endpoints_that_keep_joining_are_not_waited_for_without_end() {
    let start = Instant::now();
    let service = "model".try_into().expect("the name is valid");
    let mut registry = EndpointRegistry::default();
    let mut waited = 0;
    for n in 0..100_u16 {
        let now = start + 400 * MS * u32::from(n);
        registry.apply(record(&format!("e{n}"), 1 + n, None), now);
        waited += u32::from(registry.is_starting_up(&service, 480 * MS, now));
    }
    // They join for 40 s.
    assert!(400 * MS * waited < RECOVERY_LIMIT / 2, "{waited}");
}

/// An older copy of the store brings back records of runs that have ended, of endpoints that
/// another one has replaced at its address, and from before an endpoint was leaving.
#[test]
fn a_record_from_an_older_copy_is_outdated() {
    let run = |name: &str, port, started, is_leaving| {
        let mut record = record(name, port, Some(range(0, 8)));
        record.state.started_unix_ms = started;
        record.is_leaving = is_leaving;
        record
    };
    let known = run("one", 1, Some(5), true);
    assert!(run("one", 1, Some(4), false).is_outdated_by(&known));
    assert!(run("one", 2, Some(4), false).is_outdated_by(&known));
    assert!(run("two", 1, Some(4), false).is_outdated_by(&known));
    assert!(run("one", 1, Some(5), false).is_outdated_by(&known));

    assert!(!run("one", 1, Some(5), true).is_outdated_by(&known));
    assert!(!run("one", 1, Some(6), false).is_outdated_by(&known));
    assert!(!run("two", 1, Some(6), false).is_outdated_by(&known));
    assert!(!run("two", 2, Some(4), false).is_outdated_by(&known));
    assert!(!run("two", 1, Some(5), false).is_outdated_by(&known));
    assert!(!run("one", 1, None, false).is_outdated_by(&known));
}
