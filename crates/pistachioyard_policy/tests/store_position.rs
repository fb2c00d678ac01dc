//! Tests that points in the store's history are ordered by era, and within one by revision.

use pistachioyard_policy::{StoreEra, is_later_era};

/// An answer without an era must not look like one after a return, nor like one before it.
#[test]
fn an_unknown_era_is_neither_later_nor_earlier() {
    let era = |number| Some(StoreEra(number));
    assert!(is_later_era(era(2), era(1)));
    assert!(!is_later_era(era(1), era(1)));
    assert!(!is_later_era(era(1), era(2)));
    assert!(!is_later_era(era(2), None));
    assert!(!is_later_era(None, era(1)));
}
