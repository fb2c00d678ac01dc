//! Tests that the claim ledger lets at most one nonce send an operation.

use std::collections::{BTreeMap, BTreeSet};

use pistachioyard_policy::{
    ChangeAnswer, ClaimState, KeyAgeError, LedgerChange, LedgerLayout, LedgerPage, LedgerPageError,
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
        entry: entry(),
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
    let layout = LedgerLayout::default();
    let mut page = LedgerPage::default();
    let key = key(1);
    let first = page.apply(
        &[claim(key, 1), claim(key, 2), settle(key, 2, "no")],
        &layout,
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
        &layout,
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
    let layout = LedgerLayout::default();
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
        &layout,
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
        page.apply(&[claim(key, 3)], &layout),
        [ChangeAnswer::Claimed]
    );
}

#[test]
fn a_key_reused_for_another_request_is_detected() {
    let layout = LedgerLayout::default();
    let mut page = LedgerPage::default();
    page.apply(&[claim(key(1), 1)], &layout);
    let other = LedgerChange::Claim {
        key: key(1),
        nonce: nonce(2),
        digest: RequestDigest(8),
        entry: entry(),
    };
    assert_eq!(page.apply(&[other], &layout), [ChangeAnswer::KeyReused]);
}

#[test]
fn a_page_stays_below_a_megabyte_and_can_always_be_settled() {
    let layout = LedgerLayout::default();
    let mut page = LedgerPage::default();
    let claims: Vec<_> = (0..5_000)
        .map(|number| claim(key(number), number))
        .collect();
    let answers = page.apply(&claims, &layout);
    let claimed = answers
        .iter()
        .filter(|a| **a == ChangeAnswer::Claimed)
        .count();
    assert!((2_000..4_000).contains(&claimed), "{claimed}");
    let answer = "\"\n".repeat(2_000);
    let settles: Vec<_> = (0..claimed as u128)
        .map(|number| settle(key(number), number, &answer))
        .collect();
    let answers = page.apply(&settles, &layout);
    assert!(answers.iter().all(|a| *a == ChangeAnswer::Recorded));
    assert!(page.to_text().len() < 1_000_000);
}

#[test]
fn keys_are_refused_before_their_page_expires() {
    let layout = LedgerLayout::default();
    let key = key(1);
    let page = layout.page_key(key);
    let last = CREATED_MS + layout.retention_ms;
    assert_eq!(layout.check_age(key, last), Ok(()));
    assert!(!layout.is_expired(&page, last + 300_000));
    assert!(matches!(
        layout.check_age(key, last + 1),
        Err(KeyAgeError::TooOld { .. })
    ));
    assert!(layout.is_expired(&page, last + 300_000 + layout.bucket_ms + 1));
    let early = CREATED_MS - 300_001;
    assert!(matches!(
        layout.check_age(key, early),
        Err(KeyAgeError::InFuture { .. })
    ));
}

#[test]
fn a_damaged_page_is_refused() {
    let mut page = LedgerPage::default();
    page.apply(&[claim(key(1), 1)], &LedgerLayout::default());
    let text = page.to_text();
    let claim_json = text.trim_start_matches("{\"c\":[").trim_end_matches("]}");
    let duplicated = format!("{{\"c\":[{claim_json},{claim_json}]}}");
    assert_eq!(
        LedgerPage::parse(&duplicated),
        Err(LedgerPageError::DoubledKey { key: key(1) })
    );
    assert!(matches!(
        LedgerPage::parse(""),
        Err(LedgerPageError::Malformed { .. })
    ));
}

/// A conditional write in flight, which may be lost, delayed or duplicated.
#[derive(Clone)]
struct Write {
    version: u64,
    text: String,
}

#[derive(Default)]
struct Store {
    version: u64,
    text: Option<String>,
    delayed: Vec<Write>,
}

impl Store {
    fn page(&self) -> LedgerPage {
        let text = self.text.as_deref();
        text.map_or_else(LedgerPage::default, |t| {
            LedgerPage::parse(t).expect("the store contains a valid page")
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
fn writers_with_lost_delayed_or_duplicated_writes_send_each_key_at_most_once() {
    for seed in 0..60 {
        run_model(seed);
    }
}

fn run_model(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let layout = LedgerLayout::default();
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
    let mut released: BTreeSet<u128> = BTreeSet::new();
    let mut claims = 0;
    for _ in 0..1_500 {
        if !store.delayed.is_empty() && rng.random_bool(0.2) {
            let index = rng.random_range(0..store.delayed.len());
            let write = store.delayed.swap_remove(index);
            store.write(write);
        }
        let index = rng.random_range(0..senders.len());
        let sender = &mut senders[index];
        let Some((version, page)) = sender.seen.take() else {
            sender.seen = Some((store.version, store.page()));
            continue;
        };
        let mut changed = page.clone();
        let answer = changed
            .apply(std::slice::from_ref(&sender.change), &layout)
            .remove(0);
        let mut again = changed.clone();
        let repeated = again
            .apply(std::slice::from_ref(&sender.change), &layout)
            .remove(0);
        assert_eq!((&answer, &changed), (&repeated, &again), "seed {seed}");
        if changed != page {
            let write = Write {
                version,
                text: changed.to_text(),
            };
            match rng.random_range(0..4) {
                0 => store.delayed.push(write),
                1 => {
                    store.delayed.push(write.clone());
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
                !released.contains(&sender.number),
                "seed {seed}: a released nonce claimed its key"
            );
            if rng.random_bool(0.5) {
                sent.entry(sender.key).or_default().push(sender.number);
                sender.sent = true;
                sender.change = settle(sender.key, sender.number, "sent");
            } else {
                released.insert(sender.number);
                sender.change = release(sender.key, sender.number);
            }
        } else if !sender.claimed && rng.random_bool(0.3) {
            released.insert(sender.number);
            sender.change = release(sender.key, sender.number);
        } else if released.contains(&sender.number) && rng.random_bool(0.5) {
            sender.change = claim(sender.key, sender.number);
        }
    }
    assert!(claims > 0, "seed {seed}: no key was claimed");
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
fn the_newest_expired_bucket_is_the_last_one_whose_pages_have_expired() {
    let layout = LedgerLayout::default();
    for now in (CREATED_MS - 1..CREATED_MS + 3 * layout.bucket_ms).step_by(7_919) {
        let newest = layout
            .newest_expired_bucket(now)
            .expect("the time is later than the retention period");
        assert!(
            layout
                .bucket_pages(newest)
                .all(|page| layout.is_expired(&page, now))
        );
        assert!(
            layout
                .bucket_pages(newest + 1)
                .all(|page| !layout.is_expired(&page, now))
        );
    }
    assert_eq!(layout.newest_expired_bucket(layout.retention_ms), None);
}
