//! The claim ledger lets at most one nonce send an operation.

use std::collections::{BTreeMap, BTreeSet};

use pistachioyard_policy::{
    ChangeAnswer, ClaimState, KeyAgeFault, LedgerChange, LedgerFault, LedgerPage, LedgerShape,
};
use pistachioyard_wire::{EntryId, Nonce, OperationKey, OperationOutcome, Outcome, RequestDigest};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

const CREATED_MS: u64 = 1_760_000_000_000;

fn key(number: u128) -> OperationKey {
    let version_and_variant = 7 << 76 | 2 << 62;
    let uuid = u128::from(CREATED_MS) << 80 | version_and_variant | number;
    OperationKey::try_from(Uuid::from_u128(uuid)).expect("the key is a UUIDv7")
}

fn nonce(number: u128) -> Nonce {
    Nonce(Uuid::from_u128(number))
}

fn entry() -> EntryId {
    EntryId::try_from("entry-1").expect("the name is valid")
}

fn claim(key: OperationKey, number: u128) -> LedgerChange {
    LedgerChange::Claim {
        key,
        nonce: nonce(number),
        digest: RequestDigest(7),
        by: entry(),
    }
}

fn release(key: OperationKey, number: u128) -> LedgerChange {
    LedgerChange::Release {
        key,
        nonce: nonce(number),
    }
}

fn settle(key: OperationKey, number: u128, answer: &str) -> LedgerChange {
    LedgerChange::Settle {
        key,
        nonce: nonce(number),
        outcome: OperationOutcome {
            key: Some(key),
            outcome: Outcome::Done,
            status: Some(200),
            answer: Some(answer.to_owned()),
            repeated: false,
        },
    }
}

#[test]
fn a_claimed_or_settled_key_is_never_claimed_by_another() {
    let shape = LedgerShape::default();
    let mut page = LedgerPage::default();
    let key = key(1);
    let first = page.apply(
        &[claim(key, 1), claim(key, 2), settle(key, 2, "no")],
        &shape,
    );
    assert_eq!(first[0], ChangeAnswer::Claimed);
    assert!(matches!(&first[1], ChangeAnswer::Held(held) if held.nonce == nonce(1)));
    assert_eq!(first[2], ChangeAnswer::NotHolder);
    let second = page.apply(
        &[
            settle(key, 1, "yes"),
            settle(key, 1, "late"),
            release(key, 1),
            claim(key, 1),
        ],
        &shape,
    );
    assert_eq!(
        second[..2],
        [ChangeAnswer::Recorded, ChangeAnswer::Recorded]
    );
    assert_eq!(second[2], ChangeAnswer::NotHolder);
    let ChangeAnswer::Held(held) = &second[3] else {
        panic!("a settled key was claimed: {second:?}");
    };
    assert!(matches!(&held.state, ClaimState::Settled(o) if o.answer.as_deref() == Some("yes")));
}

#[test]
fn a_released_nonce_stays_released_even_when_its_claim_comes_late() {
    let shape = LedgerShape::default();
    let mut page = LedgerPage::default();
    let key = key(1);
    let answers = page.apply(
        &[
            release(key, 1),
            claim(key, 1),
            claim(key, 2),
            release(key, 2),
            claim(key, 2),
            claim(key, 3),
            claim(key, 1),
            settle(key, 2, "no"),
        ],
        &shape,
    );
    let mut page = LedgerPage::parse(&page.to_text()).unwrap();
    assert_eq!(answers[0], ChangeAnswer::Recorded);
    assert_eq!(answers[1], ChangeAnswer::NotHolder);
    assert_eq!(answers[2], ChangeAnswer::Claimed);
    assert_eq!(
        answers[3..5],
        [ChangeAnswer::Recorded, ChangeAnswer::NotHolder]
    );
    assert_eq!(answers[5], ChangeAnswer::Claimed);
    assert!(matches!(answers[6], ChangeAnswer::Held(_)));
    assert_eq!(answers[7], ChangeAnswer::NotHolder);
    assert_eq!(
        page.apply(&[claim(key, 3)], &shape),
        [ChangeAnswer::Claimed]
    );
}

#[test]
fn a_key_reused_for_another_request_is_seen() {
    let shape = LedgerShape::default();
    let mut page = LedgerPage::default();
    page.apply(&[claim(key(1), 1)], &shape);
    let other = LedgerChange::Claim {
        key: key(1),
        nonce: nonce(2),
        digest: RequestDigest(8),
        by: entry(),
    };
    assert_eq!(page.apply(&[other], &shape), [ChangeAnswer::KeyReused]);
}

#[test]
fn a_page_stays_below_a_megabyte_and_can_always_be_settled() {
    let shape = LedgerShape::default();
    let mut page = LedgerPage::default();
    let claims: Vec<_> = (0..5_000)
        .map(|number| claim(key(number), number))
        .collect();
    let answers = page.apply(&claims, &shape);
    let claimed = answers
        .iter()
        .filter(|a| **a == ChangeAnswer::Claimed)
        .count();
    assert!((2_000..4_000).contains(&claimed), "{claimed}");
    let answer = "\"\n".repeat(2_000);
    let settles: Vec<_> = (0..claimed as u128)
        .map(|number| settle(key(number), number, &answer))
        .collect();
    let answers = page.apply(&settles, &shape);
    assert!(answers.iter().all(|a| *a == ChangeAnswer::Recorded));
    assert!(page.to_text().len() < 1_000_000);
}

#[test]
fn keys_are_refused_before_their_page_may_go() {
    let shape = LedgerShape::default();
    let key = key(1);
    let page = shape.page_key(key);
    let last = CREATED_MS + shape.retention_ms;
    assert_eq!(shape.check_age(key, last), Ok(()));
    assert!(!shape.expired(&page, last + 300_000));
    assert!(matches!(
        shape.check_age(key, last + 1),
        Err(KeyAgeFault::TooOld { .. })
    ));
    assert!(shape.expired(&page, last + 300_000 + shape.bucket_ms + 1));
    let early = CREATED_MS - 300_001;
    assert!(matches!(
        shape.check_age(key, early),
        Err(KeyAgeFault::InFuture { .. })
    ));
}

#[test]
fn a_damaged_page_is_refused() {
    let mut page = LedgerPage::default();
    page.apply(&[claim(key(1), 1)], &LedgerShape::default());
    let text = page.to_text();
    let one = text.trim_start_matches("{\"c\":[").trim_end_matches("]}");
    let doubled = format!("{{\"c\":[{one},{one}]}}");
    assert_eq!(
        LedgerPage::parse(&doubled),
        Err(LedgerFault::DoubledKey { key: key(1) })
    );
    assert!(matches!(
        LedgerPage::parse(""),
        Err(LedgerFault::Malformed { .. })
    ));
}

/// A conditional write on its way, which may be lost, late or doubled.
#[derive(Clone)]
struct Write {
    version: u64,
    text: String,
}

#[derive(Default)]
struct Store {
    version: u64,
    text: Option<String>,
    late: Vec<Write>,
}

impl Store {
    fn page(&self) -> LedgerPage {
        let text = self.text.as_deref();
        text.map_or_else(LedgerPage::default, |t| {
            LedgerPage::parse(t).expect("the store holds pages")
        })
    }

    fn write(&mut self, write: Write) -> bool {
        if write.version != self.version {
            return false;
        }
        self.version += 1;
        self.text = Some(write.text);
        true
    }
}

/// One attempt at an operation by a writer that may be paused at any step.
struct Sender {
    key: OperationKey,
    number: u128,
    seen: Option<(u64, LedgerPage)>,
    change: LedgerChange,
    claimed: bool,
    sent: bool,
}

#[test]
fn many_writers_with_lost_late_and_doubled_writes_send_each_key_at_most_once() {
    for seed in 0..60 {
        run_model(seed);
    }
}

fn run_model(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let shape = LedgerShape::default();
    let mut store = Store::default();
    let mut senders: Vec<Sender> = (0..12)
        .map(|number| {
            let key = key(number % 3);
            let change = claim(key, number);
            Sender {
                key,
                number,
                seen: None,
                change,
                claimed: false,
                sent: false,
            }
        })
        .collect();
    let mut sent: BTreeMap<OperationKey, Vec<u128>> = BTreeMap::new();
    let mut gave_up: BTreeSet<u128> = BTreeSet::new();
    let mut claims = 0;
    for _ in 0..1_500 {
        if !store.late.is_empty() && rng.random_bool(0.2) {
            let place = rng.random_range(0..store.late.len());
            let write = store.late.swap_remove(place);
            store.write(write);
        }
        let place = rng.random_range(0..senders.len());
        let sender = &mut senders[place];
        let Some((version, page)) = sender.seen.take() else {
            sender.seen = Some((store.version, store.page()));
            continue;
        };
        let mut changed = page.clone();
        let answer = changed
            .apply(std::slice::from_ref(&sender.change), &shape)
            .remove(0);
        let mut again = changed.clone();
        let repeated = again
            .apply(std::slice::from_ref(&sender.change), &shape)
            .remove(0);
        assert_eq!((&answer, &changed), (&repeated, &again), "seed {seed}");
        if changed != page {
            let write = Write {
                version,
                text: changed.to_text(),
            };
            match rng.random_range(0..4) {
                0 => store.late.push(write),
                1 => {
                    store.late.push(write.clone());
                    store.write(write);
                }
                _ => {
                    store.write(write);
                }
            }
            continue;
        }
        if answer == ChangeAnswer::Claimed {
            claims += 1;
            sender.claimed = true;
            assert!(
                !gave_up.contains(&sender.number),
                "seed {seed}: a released nonce claimed"
            );
            if rng.random_bool(0.5) {
                sent.entry(sender.key).or_default().push(sender.number);
                sender.sent = true;
                sender.change = settle(sender.key, sender.number, "sent");
            } else {
                gave_up.insert(sender.number);
                sender.change = release(sender.key, sender.number);
            }
        } else if !sender.claimed && rng.random_bool(0.3) {
            gave_up.insert(sender.number);
            sender.change = release(sender.key, sender.number);
        } else if gave_up.contains(&sender.number) && rng.random_bool(0.5) {
            sender.change = claim(sender.key, sender.number);
        }
    }
    assert!(claims > 0, "seed {seed}: nobody claimed");
    for (key, senders) in &sent {
        assert_eq!(
            senders.len(),
            1,
            "seed {seed}: {key} was sent by {senders:?}"
        );
        let page = store.page();
        let held = page.find(*key).expect("a sent key is claimed");
        assert_eq!(held.nonce, nonce(senders[0]), "seed {seed}");
    }
}

#[test]
fn the_newest_expired_time_span_is_the_last_one_whose_pages_have_expired() {
    let shape = LedgerShape::default();
    for now in (CREATED_MS - 1..CREATED_MS + 3 * shape.bucket_ms).step_by(7_919) {
        let newest = shape.newest_expired_bucket(now).expect("the past is long");
        assert!(
            shape
                .bucket_pages(newest)
                .all(|page| shape.expired(&page, now))
        );
        assert!(
            shape
                .bucket_pages(newest + 1)
                .all(|page| !shape.expired(&page, now))
        );
    }
    assert_eq!(shape.newest_expired_bucket(shape.retention_ms), None);
}
