//! Tests that entries hear from peers which endpoints are dead, and of no others.

use std::time::{Duration, Instant};

use pistachioyard_policy::{EndpointRegistry, EndpointRun, ProbeResult, SuspectReason, ToldProbe};

use crate::fixture::{id, record, registry};

const SOON: Duration = Duration::from_millis(100);

fn run(started_unix_ms: u64) -> EndpointRun {
    EndpointRun {
        endpoint: id("one"),
        started_unix_ms: Some(started_unix_ms),
    }
}

/// Returns a registry whose entry found the endpoint dead at `now`.
fn found_dead(now: Instant) -> EndpointRegistry {
    let mut registry = registry(now - SOON);
    registry.mark_suspect(&id("one"), SuspectReason::RefusedRequest, now);
    registry.note_probe(&id("one"), ProbeResult::Refused, now);
    registry
}

#[test]
fn a_refused_connection_is_told_for_a_while_and_silence_is_not() {
    let now = Instant::now();
    let refused = found_dead(now);
    let told: Vec<_> = refused.dead_runs(now + SOON).collect();
    assert_eq!(told, [(run(1), SOON)]);
    assert_eq!(refused.dead_runs(now + Duration::from_secs(3)).count(), 0);
    let mut silent = registry(now - SOON);
    silent.mark_suspect(&id("one"), SuspectReason::NoAnswer, now);
    silent.note_probe(&id("one"), ProbeResult::Silent, now);
    assert_eq!(silent.dead_runs(now).count(), 0);
}

#[test]
fn an_entry_that_hears_of_a_death_sends_nothing_there_and_passes_it_on() {
    let now = Instant::now();
    let mut peer = registry(now - SOON);
    assert!(peer.is_usable(&id("one"), now));
    assert!(peer.note_dead(&run(1), SOON / 2, ToldProbe::Later, now));
    assert!(!peer.is_usable(&id("one"), now));
    assert!(
        !peer.note_dead(&run(1), SOON / 2, ToldProbe::Later, now),
        "known by now"
    );
    let told: Vec<_> = peer.dead_runs(now).collect();
    assert_eq!(told, [(run(1), SOON / 2)]);
    // Many entries that probe at once would cost more than what they find out.
    assert_eq!(peer.due_probes(now + SOON).len(), 0);
    let mut placing = registry(now - SOON);
    placing.note_dead(&run(1), SOON / 2, ToldProbe::AtOnce, now);
    assert_eq!(placing.due_probes(now).len(), 1);
    let later = now + Duration::from_secs(3);
    assert_eq!(peer.due_probes(later).len(), 1);
    peer.note_probe(&id("one"), ProbeResult::Answered, later);
    assert!(peer.is_usable(&id("one"), later));
}

#[test]
fn a_death_of_an_earlier_run_or_before_an_answer_is_ignored() {
    let now = Instant::now();
    let mut peer = registry(now - SOON);
    assert!(
        !peer.note_dead(&run(7), SOON / 2, ToldProbe::Later, now),
        "another run"
    );
    assert!(
        !peer.note_dead(&run(1), SOON * 2, ToldProbe::Later, now),
        "before its record"
    );
    let mut renewed = record("one", 1, None);
    renewed.state.started_unix_ms = Some(2);
    peer.apply(renewed, now);
    assert!(!peer.note_dead(&run(1), Duration::ZERO, ToldProbe::Later, now));
    assert!(
        !peer.note_dead(&run(2), Duration::from_secs(5), ToldProbe::Later, now),
        "old"
    );
    assert!(peer.is_usable(&id("one"), now));
}

#[test]
fn an_endpoint_that_goes_on_refusing_connections_is_probed_less_often() {
    let now = Instant::now();
    let mut registry = found_dead(now);
    let mut at = now;
    let mut probes = 1;
    while at < now + Duration::from_secs(10) {
        at += Duration::from_millis(50);
        if !registry.due_probes(at).is_empty() {
            registry.note_probe(&id("one"), ProbeResult::Refused, at);
            probes += 1;
        }
    }
    // Once a second in the end; the first probes tell soon that its layers are lost.
    assert!((10..=14).contains(&probes), "{probes}");
}
