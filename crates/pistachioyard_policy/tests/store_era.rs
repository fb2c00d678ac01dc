//! Tests which era of the store is believed.

use std::time::{Duration, Instant};

use pistachioyard_policy::{EraNews, EraTracker, StoreEra};

const SECOND: Duration = Duration::from_secs(1);

fn era(number: u64) -> Option<StoreEra> {
    Some(StoreEra(number))
}

/// An answer from before a return must not look like one of a store that has begun anew.
#[test]
fn an_answer_of_an_earlier_era_is_outdated_while_others_name_the_known_one() {
    let start = Instant::now();
    let mut eras = EraTracker::default();
    assert_eq!(eras.note(era(1), start, start), EraNews::Same);
    assert_eq!(eras.note(era(2), start, start), EraNews::Later);
    // It was sent before the return and is answered long after.
    assert_eq!(
        eras.note(era(1), start, start + 60 * SECOND),
        EraNews::Outdated
    );
    for n in 1..60 {
        let now = start + n * SECOND;
        assert_eq!(eras.note(era(2), now, now), EraNews::Same);
        assert_eq!(eras.note(era(1), now, now), EraNews::Outdated);
        assert_eq!(eras.note(None, now, now), EraNews::Same);
    }
    assert_eq!(eras.known(), era(2));
}

/// Otherwise all answers of a store that has begun anew are refused without an end.
#[test]
fn an_earlier_era_is_believed_once_no_answer_names_the_known_one() {
    let start = Instant::now();
    let mut eras = EraTracker::default();
    eras.note(era(2), start, start);
    let (soon, later) = (start + SECOND, start + 4 * SECOND);
    assert_eq!(eras.note(era(0), soon, soon), EraNews::Outdated);
    assert_eq!(eras.note(era(0), later, later), EraNews::WentBack);
    assert_eq!(eras.note(era(0), later, later), EraNews::Same);
    assert_eq!(eras.known(), era(0));
}
