//! Tests the prefix index, including gaps in the cache events.

use pistachioyard_policy::PrefixIndex;
use pistachioyard_wire::{CacheEvent, CacheEventKind, CacheEventPage};

use crate::fixture::{boot, endpoint};

fn page(events: &[(u64, u64, CacheEventKind)]) -> CacheEventPage {
    let events = events
        .iter()
        .map(|&(seq, prefix_digest, kind)| CacheEvent {
            seq,
            prefix_digest,
            kind,
        })
        .collect();
    CacheEventPage { events }
}

#[test]
fn a_gap_or_a_new_run_clears_that_endpoint_only() {
    use CacheEventKind::{Evicted, Stored};
    let (a, b) = (endpoint("a"), endpoint("b"));
    let mut index = PrefixIndex::new();
    index.apply(
        &a,
        boot(1),
        &page(&[(1, 10, Stored), (2, 20, Stored), (3, 10, Evicted)]),
    );
    index.apply(&b, boot(1), &page(&[(7, 20, Stored)]));
    assert!(!index.holds(&a, 10));
    assert!(index.holds(&a, 20));
    // A page that overlaps events already applied is not a gap.
    index.apply(
        &a,
        boot(1),
        &page(&[(2, 20, Stored), (3, 10, Evicted), (4, 40, Stored)]),
    );
    assert!(index.holds(&a, 20) && index.holds(&a, 40));
    index.apply(&a, boot(1), &page(&[(6, 60, Stored)]));
    assert!(!index.holds(&a, 20) && !index.holds(&a, 40));
    assert!(index.holds(&a, 60) && index.holds(&b, 20));
    assert_eq!(index.last_seq(&a, boot(1)), 6);
    index.apply(&a, boot(2), &page(&[]));
    assert!(!index.holds(&a, 60));
    assert_eq!(index.last_seq(&a, boot(2)), 0);
}

#[test]
fn the_prefixes_kept_for_an_endpoint_are_bounded() {
    let a = endpoint("a");
    let mut index = PrefixIndex::new();
    let events: Vec<_> = (1..=10_000)
        .map(|seq| (seq, seq, CacheEventKind::Stored))
        .collect();
    index.apply(&a, boot(1), &page(&events));
    let held = (1..=10_000)
        .filter(|digest| index.holds(&a, *digest))
        .count();
    assert!(held <= 4_096, "the index holds {held} prefixes");
    assert!(index.holds(&a, 10_000));
}
