//! Tests the endpoint registry: what it applies, and when it ejects endpoints.

use std::time::{Duration, Instant};

use pistachioyard_policy::{
    EndpointChange, EndpointRegistry, EndpointReport, GossipReport, ProbeResult, SuspectReason,
};

use super::fixture::{id, range, record, spec};

const MS: Duration = Duration::from_millis(1);

fn registry(now: Instant) -> EndpointRegistry {
    let mut registry = EndpointRegistry::default();
    registry.apply(record("one", 1, Some(range(0, 8))), now);
    registry
}

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
    assert!(!registry.remove(&id("one"), Some(now + 2_000 * MS)));
    assert!(registry.is_usable(&id("one"), now));
    assert!(registry.drop_lapsed(now + 1_900 * MS).is_empty());
    registry.apply(record("one", 1, Some(range(0, 8))), now + 1_950 * MS);
    assert!(
        registry.drop_lapsed(now + 4_000 * MS).is_empty(),
        "it is back"
    );
    registry.remove(&id("one"), Some(now + 7_000 * MS));
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
    assert!(!registry.remove(&id("one"), Some(kept_until)));
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

/// Guards against trusting a record over the endpoint: while the store was down, and after a
/// lapsed record came back, a leaving endpoint still counted as ready.
#[test]
fn a_run_that_said_it_leaves_is_not_used_again_whatever_its_record_says() {
    let now = Instant::now();
    let mut registry = registry(now);
    let run = registry.run_of(&id("one"));
    assert!(registry.note_leaving(&run, now));
    assert!(!registry.note_leaving(&run, now), "it is new only once");
    assert!(!registry.is_usable(&id("one"), now));
    let service = "model".try_into().expect("the name is valid");
    assert!(registry.usable(&service, now).is_empty());
    assert!(registry.cards(&service, &spec(), now).is_empty());
    assert_eq!(registry.counts(now), (1, 0));
    registry.apply(record("one", 1, Some(range(0, 8))), now + 100 * MS);
    assert!(!registry.is_usable(&id("one"), now + 100 * MS));
    registry.remove(&id("one"), None);
    assert_eq!(registry.leaving_runs().count(), 0);
    registry.apply(record("one", 1, Some(range(0, 8))), now + 900 * MS);
    assert!(!registry.is_usable(&id("one"), now + Duration::from_secs(3_600)));
    assert_eq!(registry.leaving_runs().collect::<Vec<_>>(), [&run]);
}

/// Guards against ejecting the next run of an endpoint for what the last one said, and against
/// forgetting what a run said before its record arrived.
#[test]
fn that_a_run_leaves_says_nothing_of_the_next_run() {
    let now = Instant::now();
    let mut registry = registry(now);
    let first = registry.run_of(&id("one"));
    registry.note_leaving(&first, now);
    let mut restarted = record("one", 1, Some(range(0, 8)));
    restarted.state.started_unix_ms = Some(2);
    assert_eq!(
        registry.apply(restarted.clone(), now + 100 * MS),
        EndpointChange::Restarted
    );
    assert!(registry.is_usable(&id("one"), now + 100 * MS));
    registry.note_leaving(&first, now + 200 * MS);
    assert!(
        registry.is_usable(&id("one"), now + 200 * MS),
        "an answer of the first run arrived late"
    );
    restarted.state.started_unix_ms = Some(3);
    registry.note_leaving(&restarted.run(), now + 300 * MS);
    registry.apply(restarted, now + 400 * MS);
    assert!(!registry.is_usable(&id("one"), now + 400 * MS));
}

/// Guards against requests during the pause that an endpoint asked for, also after its record
/// lapsed, and against placing its layers elsewhere for so short a time.
#[test]
fn an_endpoint_that_asked_for_a_pause_is_unused_until_the_last_one_ends() {
    let now = Instant::now();
    let mut registry = registry(now);
    let run = registry.run_of(&id("one"));
    assert!(registry.note_pause(&run, 2_000 * MS, now));
    assert!(
        !registry.note_pause(&run, 500 * MS, now + 100 * MS),
        "a shorter pause does not end the first one"
    );
    registry.note_refusal(&id("one"), true, now + 1_900 * MS);
    assert!(!registry.is_usable(&id("one"), now + 1_999 * MS));
    assert!(
        registry.is_usable(&id("one"), now + 2_000 * MS),
        "the pause replaces the backoff of a refusal"
    );
    let service = "model".try_into().expect("the name is valid");
    assert_eq!(registry.cards(&service, &spec(), now + 1_000 * MS).len(), 1);
    registry.remove(&id("one"), None);
    registry.apply(record("one", 1, Some(range(0, 8))), now + 1_000 * MS);
    assert!(!registry.is_usable(&id("one"), now + 1_999 * MS));
    let mut restarted = record("one", 1, Some(range(0, 8)));
    restarted.state.started_unix_ms = Some(2);
    registry.apply(restarted, now + 1_100 * MS);
    assert!(
        registry.is_usable(&id("one"), now + 1_100 * MS),
        "the next run asked for nothing"
    );
}

/// Guards against an endpoint that is never used again, and against a panic, for an absurd value.
#[test]
fn an_absurdly_long_pause_is_cut() {
    let now = Instant::now();
    let mut registry = registry(now);
    let run = registry.run_of(&id("one"));
    registry.note_pause(&run, Duration::MAX, now);
    assert!(!registry.is_usable(&id("one"), now + Duration::from_secs(599)));
    assert!(registry.is_usable(&id("one"), now + Duration::from_secs(600)));
}

/// Guards against requests during the pause of an endpoint that turned one away for another on
/// the path, and against giving that pause to the one it blamed.
#[test]
fn a_pause_applies_to_the_endpoint_that_answered_if_it_blames_another_one_too() {
    let now = Instant::now();
    let mut registry = registry(now);
    registry.apply(record("two", 2, Some(range(0, 8))), now);
    let run = registry.run_of(&id("one"));
    assert!(registry.note_pause(&run, 2_000 * MS, now));
    registry.note_refusal(&id("two"), true, now);
    assert!(!registry.is_usable(&id("one"), now) && !registry.is_usable(&id("two"), now));
    assert!(registry.is_paused(&id("one"), now + 1_999 * MS));
    assert!(!registry.is_usable(&id("one"), now + 1_999 * MS));
    assert!(registry.is_usable(&id("one"), now + 2_000 * MS));
    assert!(!registry.is_paused(&id("two"), now));
    assert!(
        registry.is_usable(&id("two"), now + 1_999 * MS),
        "the blamed endpoint has the backoff of a refusal"
    );
}

/// Guards against holding requests that no endpoint wants, and against refusing those that an
/// endpoint may soon take.
#[test]
fn a_service_is_paused_only_while_no_endpoint_may_become_usable() {
    let now = Instant::now();
    let service = "model".try_into().expect("the name is valid");
    let mut registry = EndpointRegistry::default();
    assert_eq!(registry.all_paused_for(&service, &[], now), None);
    for (port, name) in ["one", "two", "three"].into_iter().enumerate() {
        registry.apply(record(name, port as u16 + 1, Some(range(0, 8))), now);
    }
    registry.note_pause(&registry.run_of(&id("one")), 2_000 * MS, now);
    registry.note_pause(&registry.run_of(&id("two")), 1_000 * MS, now);
    registry.note_refusal(&id("three"), false, now);
    assert_eq!(
        registry.all_paused_for(&service, &[], now),
        None,
        "an endpoint that refused without a pause is soon asked again"
    );
    assert_eq!(
        registry.all_paused_for(&service, &[id("three")], now),
        Some(1_000 * MS)
    );
    let tried = [id("one"), id("two"), id("three")];
    assert_eq!(
        registry.all_paused_for(&service, &tried, now),
        Some(1_000 * MS),
        "the request itself was turned away with these pauses"
    );
    registry.note_leaving(&registry.run_of(&id("three")), now);
    assert_eq!(
        registry.all_paused_for(&service, &[], now + 400 * MS),
        Some(600 * MS)
    );
    assert_eq!(
        registry.all_paused_for(&service, &[], now + 1_000 * MS),
        None
    );
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
