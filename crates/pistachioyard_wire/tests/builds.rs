//! Tests that what entries tell each other is read by builds before and after a change.

use pistachioyard_wire::{BootId, QuarantineMark, RequestDigest};
use serde::{Deserialize, Serialize};

/// A mark as builds without undecided losses know it.
#[derive(Debug, Deserialize, Serialize)]
struct EarlierMark {
    digest: RequestDigest,
    crashed: Vec<BootId>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    cleared: Vec<BootId>,
    convicted: bool,
    #[serde(default)]
    has_relapsed: bool,
    age_ms: u64,
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut buf = Vec::new();
    ciborium::into_writer(value, &mut buf).expect("the value can be encoded");
    buf
}

#[test]
fn marks_are_read_by_earlier_and_later_builds() {
    let mark = QuarantineMark {
        digest: RequestDigest(7),
        crashed: vec![BootId::generate()],
        cleared: Vec::new(),
        undecided: vec![(BootId::generate(), 40)],
        convicted: true,
        has_relapsed: false,
        age_ms: 3,
    };
    let earlier: EarlierMark =
        ciborium::from_reader(encode(&mark).as_slice()).expect("an earlier build reads it");
    assert_eq!(
        (earlier.digest, &earlier.crashed),
        (mark.digest, &mark.crashed)
    );
    let later: QuarantineMark =
        ciborium::from_reader(encode(&earlier).as_slice()).expect("a later build reads it");
    let expected = QuarantineMark {
        undecided: Vec::new(),
        ..mark
    };
    assert_eq!(later, expected);
    assert_eq!(
        encode(&expected),
        encode(&earlier),
        "nothing new is sent without need"
    );
}
