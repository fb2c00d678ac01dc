//! Tests of the fleet view on stale and conflicting sources.

use std::collections::BTreeMap;
use std::time::Instant;

use pistachioyard_policy::FleetView;
use pistachioyard_wire::{EndpointMark, EndpointMarkKind, EntryId, HostState};

use crate::fixture::{boot, data_centre, endpoint, host, layers, millis, report, stage, view_of};

fn mark(kind: EndpointMarkKind, run: Option<u128>, age_ms: u64) -> EndpointMark {
    EndpointMark {
        endpoint: endpoint("a"),
        boot: run.map(boot),
        kind,
        age_ms,
    }
}

fn usable(view: &FleetView, now: Instant) -> bool {
    view.is_usable(&endpoint("a"), now)
}

#[test]
fn late_reports_change_nothing() {
    let start = Instant::now();
    let mut view = view_of(&[report("a", layers(0, 4))], start);
    let mut second_run = report("a", layers(4, 8));
    second_run.boot = boot(2);
    view.apply_report(second_run.clone(), start + millis(500));
    let mut earlier = report("a", layers(0, 4));
    earlier.draining = true;
    view.apply_report(earlier.clone(), start + millis(400));
    // A report of the first run that a peer passes on with too late a measurement time.
    view.apply_report(earlier, start + millis(600));
    let known = view.get(&endpoint("a")).unwrap();
    assert_eq!(known.report(), Some(&second_run));
    assert!(usable(&view, start + millis(600)));
}

#[test]
fn an_unreachable_endpoint_is_dead_until_it_reports_later() {
    let start = Instant::now();
    let mut view = view_of(&[report("a", layers(0, 4))], start);
    view.note_unreachable(&endpoint("a"), start + millis(500));
    view.apply_report(report("a", layers(0, 4)), start + millis(400));
    assert!(!usable(&view, start + millis(60_000)));
    view.apply_report(report("a", layers(0, 4)), start + millis(600));
    assert!(usable(&view, start + millis(600)));
}

#[test]
fn a_peers_dead_mark_expires_and_yields_to_a_newer_report() {
    let start = Instant::now();
    let mut view = view_of(&[report("a", layers(0, 4))], start);
    let now = start + millis(1_000);
    view.apply_mark(&mark(EndpointMarkKind::Dead, Some(1), 200), now);
    assert!(!usable(&view, now));
    assert!(!usable(&view, start + millis(3_799)));
    assert!(usable(&view, start + millis(3_800)));

    let mut view = view_of(&[report("a", layers(0, 4))], start + millis(900));
    view.apply_mark(&mark(EndpointMarkKind::Dead, Some(1), 200), now);
    assert!(usable(&view, now));
}

#[test]
fn marks_of_another_run_do_not_affect_this_one() {
    let start = Instant::now();
    let mut view = view_of(&[report("a", layers(0, 4))], start);
    let now = start + millis(1_000);
    view.apply_mark(&mark(EndpointMarkKind::Leaving, Some(9), 500), now);
    assert!(
        usable(&view, now),
        "the mark is about a run that is not known yet"
    );
    let mut next_run = report("a", layers(0, 4));
    next_run.boot = boot(9);
    view.apply_report(next_run, now + millis(100));
    assert!(!usable(&view, now + millis(100)));
    let mut third_run = report("a", layers(0, 4));
    third_run.boot = boot(10);
    view.apply_report(third_run, now + millis(200));
    view.apply_mark(
        &mark(EndpointMarkKind::Leaving, Some(9), 500),
        now + millis(300),
    );
    view.apply_mark(
        &mark(EndpointMarkKind::Dead, Some(9), 500),
        now + millis(300),
    );
    assert!(usable(&view, now + millis(300)));
}

#[test]
fn leaving_lasts_for_the_run_whatever_its_source() {
    let start = Instant::now();
    let mut leaving = host("a", "split-a");
    leaving.state = HostState::Leaving;
    let live = [host("a", "split-a")];
    let mut view = view_of(&[report("a", layers(0, 4))], start);
    view.apply_hosts(&[leaving], start + millis(100));
    assert!(!usable(&view, start + millis(100)));
    // A stale list shows the host as live again; the run stays leaving.
    view.apply_hosts(&live, start + millis(200));
    view.apply_report(report("a", layers(0, 4)), start + millis(300));
    assert!(!usable(&view, start + millis(300)));
    let gossiped = view.marks(start + millis(300));
    assert_eq!(gossiped, [mark(EndpointMarkKind::Leaving, Some(1), 200)]);
    let mut next_run = report("a", layers(0, 4));
    next_run.boot = boot(2);
    view.apply_report(next_run.clone(), start + millis(400));
    assert!(usable(&view, start + millis(400)));

    next_run.draining = true;
    view.apply_report(next_run.clone(), start + millis(500));
    next_run.draining = false;
    view.apply_report(next_run, start + millis(600));
    assert!(!usable(&view, start + millis(600)));
}

#[test]
fn an_unlisted_endpoint_stays_usable_for_a_while_if_it_reports() {
    let start = Instant::now();
    let mut view = view_of(&[report("a", layers(0, 4))], start);
    for second in 1..=29 {
        let now = start + millis(1_000 * second);
        view.apply_report(report("a", layers(0, 4)), now);
        view.apply_hosts(&[], now);
        assert!(usable(&view, now), "after {second} s");
    }
    let now = start + millis(31_000);
    view.apply_report(report("a", layers(0, 4)), now);
    assert!(!usable(&view, now));
    view.apply_hosts(&[], now);
    assert!(view.get(&endpoint("a")).is_none());

    let mut silent = view_of(&[report("a", layers(0, 4))], start);
    silent.apply_hosts(&[], start + millis(6_000));
    assert!(silent.get(&endpoint("a")).is_none());
}

#[test]
fn estimated_streams_count_no_stream_twice() {
    let start = Instant::now();
    let chain = [stage("a", layers(0, 4))];
    let peer: EntryId = "entry-2".parse().unwrap();
    let in_flight = |count| BTreeMap::from([(endpoint("a"), count)]);
    let streams = |view: &FleetView| view.get(&endpoint("a")).unwrap().estimated_streams();

    let mut view = view_of(&[report("a", layers(0, 4))], start);
    for _ in 0..3 {
        view.begin_stream(&chain, start + millis(100));
    }
    view.set_peer_in_flight(&peer, &in_flight(2), start + millis(100));
    assert_eq!(streams(&view), 5);
    let mut loaded = report("a", layers(0, 4));
    loaded.running = 5;
    view.apply_report(loaded, start + millis(1_000));
    assert_eq!(streams(&view), 5, "the report counts all five streams");
    view.begin_stream(&chain, start + millis(1_100));
    view.set_peer_in_flight(&peer, &in_flight(4), start + millis(1_100));
    assert_eq!(
        streams(&view),
        8,
        "one own stream and two of the peer started after the report"
    );
    view.end_stream(&chain, start + millis(1_200));
    assert_eq!(streams(&view), 7);
    view.forget_peer(&peer);
    assert_eq!(streams(&view), 5);
    assert_eq!(view.own_in_flight(), in_flight(3));
}

#[test]
fn ended_streams_of_a_peer_free_slots_before_the_next_report() {
    let start = Instant::now();
    let peer: EntryId = "entry-2".parse().unwrap();
    let in_flight = |count| BTreeMap::from([(endpoint("a"), count)]);
    let mut view = view_of(&[report("a", layers(0, 4))], start);
    view.set_peer_in_flight(&peer, &in_flight(5), start);
    let mut loaded = report("a", layers(0, 4));
    loaded.running = 5;
    view.apply_report(loaded, start + millis(1_000));
    view.set_peer_in_flight(&peer, &in_flight(2), start + millis(1_200));
    assert_eq!(view.get(&endpoint("a")).unwrap().estimated_streams(), 2);
}

#[test]
fn peers_are_assumed_to_start_as_many_streams_until_they_report() {
    let start = Instant::now();
    let chain = [stage("a", layers(0, 4))];
    let mut view = view_of(&[report("a", layers(0, 4))], start);
    for name in ["entry-2", "entry-3"] {
        let peer: EntryId = name.parse().unwrap();
        view.set_peer_in_flight(&peer, &BTreeMap::new(), start);
    }
    let streams = |view: &FleetView, ms| {
        let endpoint = view.get(&endpoint("a")).unwrap();
        endpoint.contended_streams(view.peer_count(), start + millis(ms))
    };
    view.begin_stream(&chain, start + millis(10));
    view.begin_stream(&chain, start + millis(10));
    assert_eq!(streams(&view, 20), 6);
    assert_eq!(streams(&view, 400), 2);
    view.end_stream(&chain, start + millis(500));
    view.begin_stream(&chain, start + millis(510));
    assert_eq!(
        streams(&view, 520),
        2,
        "a slot that this entry has freed is not contended"
    );
}

#[test]
fn link_times_move_towards_what_is_observed() {
    let (a, b) = (data_centre("split-a"), data_centre("split-b"));
    let mut view = FleetView::new();
    view.observe_link(&a, &b, 2.0);
    view.observe_link(&a, &b, f64::NAN);
    view.observe_link(&a, &b, 7.0);
    assert!((view.link_ms(&a, &b) - 3.0).abs() < 1e-9);
    assert!(view.link_ms(&b, &a) < 2.0);
}

#[test]
fn a_moving_endpoint_serves_again_once_its_marks_stop() {
    let start = Instant::now();
    let mut view = view_of(&[report("a", layers(0, 4))], start);
    let mut peer = view_of(&[report("a", layers(0, 4))], start);
    view.note_moving(&endpoint("a"), start + millis(100));
    let gossiped = view.marks(start + millis(300));
    assert_eq!(gossiped, [mark(EndpointMarkKind::Moving, Some(1), 200)]);
    peer.apply_mark(&gossiped[0], start + millis(300));
    for (marked_ms, entry) in [(200, &view), (300, &peer)] {
        assert!(!usable(entry, start + millis(marked_ms)));
        assert!(!usable(entry, start + millis(1_500)));
        assert!(usable(entry, start + millis(2_000)));
    }
    assert_eq!(peer.marks(start + millis(400)), []);
}

#[test]
fn a_load_record_counts_only_where_the_rest_of_the_report_is_known() {
    let start = Instant::now();
    let known = report("a", layers(0, 4));
    let mut view = view_of(std::slice::from_ref(&known), start);
    let mut newer = known.clone();
    newer.running = 3;
    view.apply_load(&newer.load(0), start + millis(1_000));
    assert_eq!(view.get(&endpoint("a")).unwrap().report(), Some(&newer));
    let mut other_run = newer.clone();
    other_run.boot = boot(2);
    other_run.running = 5;
    view.apply_load(&other_run.load(0), start + millis(2_000));
    assert_eq!(view.get(&endpoint("a")).unwrap().report(), Some(&newer));
}
