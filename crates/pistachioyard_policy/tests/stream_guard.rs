//! Tests that a caller gets each token of its own answer once and in order.

use pistachioyard_policy::{DropReason, GuardFault, GuardVerdict, StreamGuard};
use pistachioyard_wire::{Attempt, FrameBody, StreamFrame, StreamId, TokenDigest};
use rand::{Rng, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

const OWN: StreamId = StreamId(Uuid::from_u128(1));
const OTHER: StreamId = StreamId(Uuid::from_u128(2));

fn frame(stream: StreamId, attempt: u64, body: FrameBody) -> StreamFrame {
    StreamFrame {
        stream,
        attempt: Attempt(attempt),
        body,
    }
}

fn token(attempt: u64, index: u32) -> StreamFrame {
    let token = 100 + u64::from(index);
    frame(OWN, attempt, FrameBody::Token { index, token })
}

fn end(attempt: u64, count: u32) -> StreamFrame {
    frame(OWN, attempt, FrameBody::End { count })
}

#[test]
fn late_and_duplicate_frames_and_frames_of_other_streams_are_dropped() {
    let mut guard = StreamGuard::new(OWN, 3, &[100]);
    assert_eq!(guard.start_attempt(), Attempt(1));
    let of_other_stream = frame(OTHER, 1, FrameBody::Token { index: 1, token: 7 });
    assert_eq!(
        guard.accept(&of_other_stream),
        GuardVerdict::Drop(DropReason::OtherStream)
    );
    assert_eq!(
        guard.accept(&token(1, 1)),
        GuardVerdict::Pass {
            index: 1,
            token: 101
        }
    );
    assert_eq!(
        guard.accept(&token(1, 1)),
        GuardVerdict::Drop(DropReason::DuplicateIndex)
    );
    guard.start_attempt();
    assert_eq!(
        guard.accept(&token(1, 2)),
        GuardVerdict::Drop(DropReason::OlderAttempt)
    );
    assert_eq!(
        guard.accept(&token(2, 2)),
        GuardVerdict::Pass {
            index: 2,
            token: 102
        }
    );
    let mut digest = TokenDigest::default();
    [100, 101, 102].into_iter().for_each(|t| digest.push(t));
    let digest = digest.to_hex();
    assert_eq!(
        guard.accept(&end(2, 3)),
        GuardVerdict::Complete { count: 3, digest }
    );
    assert_eq!(
        guard.accept(&end(2, 3)),
        GuardVerdict::Drop(DropReason::AfterEnd)
    );
}

#[test]
fn an_attempt_that_cannot_be_completed_is_broken() {
    let mut guard = StreamGuard::new(OWN, 2, &[]).after_attempt(Attempt(4));
    assert_eq!(guard.start_attempt(), Attempt(5));
    let broken = |guard: &mut StreamGuard, frame| match guard.accept(&frame) {
        GuardVerdict::Broken(fault) => fault,
        other => panic!("{frame:?} gave {other:?}"),
    };
    let gap = GuardFault::Gap {
        expected: 0,
        found: 1,
    };
    assert_eq!(broken(&mut guard, token(5, 1)), gap);
    assert!(matches!(
        broken(&mut guard, token(6, 0)),
        GuardFault::NewerAttempt { .. }
    ));
    assert!(matches!(
        broken(&mut guard, token(5, 2)),
        GuardFault::TooManyTokens { .. }
    ));
    assert!(matches!(
        broken(&mut guard, end(5, 0)),
        GuardFault::WrongCount { .. }
    ));
    guard.accept(&token(5, 0));
    assert!(matches!(
        broken(&mut guard, end(5, 1)),
        GuardFault::WrongCount { .. }
    ));
    let changed = frame(OWN, 5, FrameBody::Token { index: 0, token: 9 });
    assert_eq!(
        broken(&mut guard, changed),
        GuardFault::TokenChanged { index: 0 }
    );
}

#[test]
fn no_order_of_frames_gives_a_wrong_answer() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut frames: Vec<StreamFrame> = (0..4)
            .flat_map(|attempt| (0..6).map(move |index| token(attempt, index)))
            .chain((0..4).map(|attempt| end(attempt, 6)))
            .chain((0..6).map(|i| frame(OTHER, 1, FrameBody::Token { index: i, token: 1 })))
            .collect();
        frames.extend(frames.clone());
        frames.shuffle(&mut rng);
        let mut guard = StreamGuard::new(OWN, 6, &[]);
        let mut passed = Vec::new();
        for frame in &frames {
            if rng.random_bool(0.03) {
                guard.start_attempt();
            }
            match guard.accept(frame) {
                GuardVerdict::Pass { token, .. } => passed.push(token),
                GuardVerdict::Complete { count, .. } => assert_eq!(count as usize, passed.len()),
                _ => {}
            }
        }
        let expected: Vec<u64> = (100..106).take(passed.len()).collect();
        assert_eq!(passed, expected, "seed {seed}");
    }
}
