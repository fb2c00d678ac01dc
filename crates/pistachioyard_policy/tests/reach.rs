//! Tests that an entry tells the loss of its own links from the loss of endpoints.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pistachioyard_policy::{Reach, ReachTracker};

const STEP: Duration = Duration::from_millis(10);

fn addresses(count: u16) -> Vec<SocketAddr> {
    let address = |n| SocketAddr::from(([10, 0, 0, 1], 8_000 + n));
    (0..count).map(address).collect()
}

/// Returns a tracker to which each of the endpoints has accepted a connection.
fn connected(endpoints: &[SocketAddr], now: Instant) -> ReachTracker {
    let mut tracker = ReachTracker::default();
    for address in endpoints {
        tracker.record_accepted(*address, now);
    }
    tracker
}

#[test]
fn links_are_lost_when_no_endpoint_that_is_tried_accepts() {
    let start = Instant::now();
    let endpoints = addresses(38);
    let mut tracker = connected(&endpoints, start);
    let mut seen = Vec::new();
    for address in &endpoints[..5] {
        tracker.record_failed(*address, start + STEP);
        seen.push(tracker.assess(&endpoints));
    }
    use Reach::{Doubtful, Lost, Sound};
    assert_eq!(seen, [Sound, Doubtful, Doubtful, Doubtful, Lost]);
    tracker.record_accepted(endpoints[9], start + STEP * 2);
    assert_eq!(tracker.assess(&endpoints), Sound, "one accepts again");
}

#[test]
fn a_rack_of_endpoints_that_fails_is_not_a_loss_of_links() {
    let start = Instant::now();
    let endpoints = addresses(99);
    let mut tracker = connected(&endpoints, start);
    for (n, address) in endpoints[..9].iter().enumerate() {
        tracker.record_failed(*address, start + STEP * n as u32);
        // The others go on accepting connections.
        tracker.record_accepted(endpoints[20 + n], start + STEP * n as u32 + STEP / 2);
        assert_eq!(tracker.assess(&endpoints), Reach::Sound, "{n}");
    }
    // They fail again and again, and no other connection is opened meanwhile.
    for address in &endpoints[..9] {
        tracker.record_failed(*address, start + STEP * 100);
    }
    assert_eq!(tracker.assess(&endpoints), Reach::Sound);
}

#[test]
fn endpoints_that_were_down_before_do_not_hide_a_loss_of_links() {
    let start = Instant::now();
    let endpoints = addresses(6);
    let mut tracker = connected(&endpoints, start);
    for address in &endpoints[..3] {
        tracker.record_failed(*address, start + STEP);
    }
    tracker.record_accepted(endpoints[5], start + STEP * 2);
    let mut seen = Vec::new();
    for address in &endpoints[3..] {
        tracker.record_failed(*address, start + STEP * 3);
        seen.push(tracker.assess(&endpoints));
    }
    assert_eq!(seen, [Reach::Sound, Reach::Doubtful, Reach::Lost]);
}

#[test]
fn a_service_of_few_endpoints_is_out_of_reach_when_all_of_them_fail() {
    let start = Instant::now();
    let endpoints = addresses(3);
    let mut tracker = connected(&endpoints, start);
    let mut seen = Vec::new();
    for address in &endpoints {
        tracker.record_failed(*address, start + STEP);
        seen.push(tracker.assess(&endpoints));
    }
    assert_eq!(seen, [Reach::Sound, Reach::Doubtful, Reach::Lost]);
    assert_eq!(
        tracker.assess(&[]),
        Reach::Sound,
        "there is nothing to reach"
    );
}

#[test]
fn an_entry_that_starts_behind_a_cut_knows_it_too() {
    let start = Instant::now();
    let endpoints = addresses(38);
    let mut tracker = ReachTracker::default();
    assert_eq!(tracker.assess(&endpoints), Reach::Sound);
    for address in &endpoints[..5] {
        tracker.record_failed(*address, start);
    }
    assert_eq!(tracker.assess(&endpoints), Reach::Lost);
}

/// Guards against accepted connections that hide a loss of links, since each is reset on use.
#[test]
fn links_are_lost_when_connections_are_accepted_and_break_before_an_answer() {
    let start = Instant::now();
    let endpoints = addresses(4);
    let mut tracker = connected(&endpoints, start);
    let mut seen = Vec::new();
    for address in &endpoints {
        tracker.record_accepted(*address, start + STEP);
        tracker.record_broken(*address, start + STEP);
        seen.push(tracker.assess(&endpoints));
    }
    use Reach::{Doubtful, Lost, Sound};
    assert_eq!(seen, [Sound, Doubtful, Doubtful, Lost]);
    tracker.record_accepted(endpoints[0], start + STEP * 2);
    assert_eq!(tracker.assess(&endpoints), Lost, "it may be reset too");
    tracker.record_answered(endpoints[0], start + STEP * 3);
    assert_eq!(tracker.assess(&endpoints), Sound, "one answers again");
}

/// Guards against requests that all go to one endpoint which breaks their connections.
#[test]
fn one_endpoint_that_breaks_connections_in_a_row_makes_the_links_doubtful() {
    let start = Instant::now();
    let endpoints = addresses(4);
    let mut tracker = connected(&endpoints, start);
    tracker.record_broken(endpoints[0], start + STEP);
    assert_eq!(tracker.assess(&endpoints), Reach::Sound);
    tracker.record_broken(endpoints[0], start + STEP * 2);
    assert_eq!(tracker.assess(&endpoints), Reach::Doubtful);
    // Another one that answers on a new connection shows that the links are sound.
    tracker.record_answered(endpoints[1], start + STEP * 3);
    tracker.record_broken(endpoints[0], start + STEP * 4);
    assert_eq!(tracker.assess(&endpoints), Reach::Sound);
}
