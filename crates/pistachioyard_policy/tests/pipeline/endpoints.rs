//! What is known of endpoints, and when they are left out.

use std::time::{Duration, Instant};

use pistachioyard_policy::{EndpointBook, EndpointNews, EndpointReport, Hearsay, Suspect};

use super::fixture::{id, range, record, spec};

const MS: Duration = Duration::from_millis(1);

fn book(now: Instant) -> EndpointBook {
    let mut book = EndpointBook::default();
    book.apply(record("one", 1, Some(range(0, 8))), now);
    book
}

#[test]
fn a_suspect_is_left_out_until_it_answers() {
    let now = Instant::now();
    let mut book = book(now);
    assert!(book.suspect(&id("one"), Suspect::NoAnswer, now));
    assert!(!book.is_usable(&id("one"), now));
    assert_eq!(book.due_checks(now).len(), 1);
    book.note_check(&id("one"), false, now);
    assert!(book.due_checks(now).is_empty(), "checks are spaced out");
    let later = now + 300 * MS;
    assert_eq!(book.due_checks(later).len(), 1);
    book.note_check(&id("one"), true, later);
    assert!(book.is_usable(&id("one"), later));
}

/// Replays a cut between endpoints: the one that others do not reach answers here.
#[test]
fn requests_that_stall_at_an_endpoint_leave_it_out_for_longer_each_time() {
    let mut now = Instant::now();
    let mut book = book(now);
    let mut holds = Vec::new();
    for _ in 0..3 {
        book.suspect(&id("one"), Suspect::RequestsStall, now);
        book.note_check(&id("one"), true, now);
        let began_at = now;
        while !book.is_usable(&id("one"), now) {
            now += 50 * MS;
        }
        holds.push(now - began_at);
    }
    assert!(holds[0] < holds[1] && holds[1] < holds[2], "{holds:?}");
}

/// Replays endpoints that drain while the store is down: nothing tells so but refusals
/// that want of memory does not explain.
#[test]
fn an_endpoint_that_keeps_refusing_with_memory_to_spare_counts_as_leaving() {
    let now = Instant::now();
    let mut book = book(now);
    let counted = |book: &EndpointBook, at| {
        book.cards(&"model".try_into().expect("a name"), &spec(), at)
            .len()
    };
    let mut at = now;
    for _ in 0..3 {
        assert_eq!(counted(&book, at), 1);
        book.note_refusal(&id("one"), true, at);
        assert!(!book.is_usable(&id("one"), at));
        at += 700 * MS;
    }
    assert_eq!(counted(&book, at), 0);
    assert_eq!(
        counted(&book, at + Duration::from_secs(10)),
        1,
        "it is given another chance"
    );
}

#[test]
fn refusals_for_want_of_memory_do_not_count_as_leaving() {
    let now = Instant::now();
    let mut book = book(now);
    for n in 0..6 {
        book.note_refusal(&id("one"), false, now + n * 900 * MS);
    }
    let cards = book.cards(
        &"model".try_into().expect("a name"),
        &spec(),
        now + 5_500 * MS,
    );
    assert_eq!(cards.len(), 1);
}

/// Replays an outage of the store in which entries lapsed.
#[test]
fn an_entry_that_lapsed_in_an_outage_is_usable_until_its_grace_is_over() {
    let now = Instant::now();
    let mut book = book(now);
    assert!(!book.remove(&id("one"), Some(now + 2_000 * MS)));
    assert!(book.is_usable(&id("one"), now));
    assert!(book.drop_lapsed(now + 1_900 * MS).is_empty());
    book.apply(record("one", 1, Some(range(0, 8))), now + 1_950 * MS);
    assert!(book.drop_lapsed(now + 4_000 * MS).is_empty(), "it is back");
    book.remove(&id("one"), Some(now + 7_000 * MS));
    assert_eq!(book.drop_lapsed(now + 7_000 * MS), [id("one")]);
}

/// Found on a hunted day: an endpoint left a second after an outage, and was kept for as
/// long as if it had been missed at the outage's end.
#[test]
fn an_entry_that_is_removed_late_in_the_grace_is_kept_for_its_rest_only() {
    let outage_end = Instant::now();
    let kept_until = outage_end + 2_200 * MS;
    let mut book = book(outage_end);
    let removed_at = outage_end + 1_700 * MS;
    assert!(!book.remove(&id("one"), Some(kept_until)));
    assert!(book.is_usable(&id("one"), removed_at));
    assert_eq!(book.drop_lapsed(removed_at + 500 * MS), [id("one")]);
}

/// Found on a day of hunting: an entry that was cut off sent requests to an address that
/// another endpoint had meanwhile.
#[test]
fn an_address_that_another_endpoint_has_says_that_the_old_one_is_gone() {
    let now = Instant::now();
    let mut book = book(now);
    assert_eq!(
        book.apply(record("two", 1, None), now),
        EndpointNews::Joined
    );
    assert!(book.get(&id("one")).is_none());
}

fn hearsay(layers: Option<(u32, u32)>, is_moving: bool, heard_at: Instant) -> Hearsay {
    Hearsay {
        endpoint: id("one"),
        layers: layers.map(|(first, end)| range(first, end)),
        is_moving,
        orders_begun: 1,
        started_unix_ms: Some(1),
        slowdown: 1.0,
        heard_at,
    }
}

/// Found on a standard day: gossip of an endpoint that was loading came after the
/// store's word that it had loaded, and put its layers out of use for good.
#[test]
fn hearsay_does_not_override_a_newer_entry() {
    let now = Instant::now();
    let mut book = book(now);
    assert!(!book.apply_hearsay(&hearsay(None, true, now - 180 * MS)));
    assert_eq!(
        book.get(&id("one")).and_then(|r| r.state.layers),
        Some(range(0, 8))
    );
    assert!(book.apply_hearsay(&hearsay(Some((8, 16)), false, now + 100 * MS)));
    assert_eq!(
        book.get(&id("one")).and_then(|r| r.state.layers),
        Some(range(8, 16))
    );
}

#[test]
fn an_entry_that_is_behind_does_not_override_what_the_endpoint_said() {
    let now = Instant::now();
    let mut book = book(now);
    book.note_order(&id("one"), range(4, 12), now + 2_000 * MS, now);
    let given_up = book.get(&id("one")).and_then(|r| r.state.layers);
    assert_eq!(
        given_up,
        Some(range(4, 8)),
        "only what both ranges have stays usable"
    );
    let report = EndpointReport {
        layers: Some(range(4, 12)),
        orders_begun: 1,
        started_unix_ms: Some(1),
        slowdown: 1.0,
        ..EndpointReport::default()
    };
    book.apply_report(&id("one"), report, now + 500 * MS);
    book.apply(record("one", 1, None), now + 600 * MS);
    let layers = book.get(&id("one")).and_then(|r| r.state.layers);
    assert_eq!(layers, Some(range(4, 12)));
}

#[test]
fn endpoints_that_start_together_are_waited_for() {
    let now = Instant::now();
    let service = "model".try_into().expect("a name");
    let mut book = EndpointBook::default();
    book.apply(record("one", 1, None), now);
    assert!(book.is_gathering(&service, 1_900 * MS, now + 1_000 * MS));
    book.apply(record("two", 2, None), now + 1_500 * MS);
    assert!(book.is_gathering(&service, 1_900 * MS, now + 2_500 * MS));
    assert!(!book.is_gathering(&service, 1_900 * MS, now + 3_500 * MS));
}
