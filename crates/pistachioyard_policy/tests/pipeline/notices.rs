//! Tests what endpoints say of themselves in answers: that they leave, or want a pause.

use std::time::{Duration, Instant};

use pistachioyard_policy::{EndpointChange, EndpointRegistry};

use super::fixture::{id, range, record, registry, spec};

const MS: Duration = Duration::from_millis(1);

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
    registry.remove(&id("one"), None, None, now);
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
    registry.remove(&id("one"), None, None, now);
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
