//! Tests that prompt parts that crash endpoints are convicted, and no others.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use pistachioyard_policy::{
    LossCheck, PROOF_WRITING_TIME, PartConviction, PartQuarantine, PartVerdict, WritingTime,
};
use pistachioyard_wire::{BootId, PromptPart};
use uuid::Uuid;

const BAD: PromptPart = PromptPart(666);
const POPULAR: PromptPart = PromptPart(1);
/// Longer than the span within which crashes count once.
const APART: Duration = Duration::from_secs(1);
/// Longer than the time for which crashes count, and shorter than the hold.
const AFTER_CRASHES: Duration = Duration::from_secs(200);
/// Longer than the hold, and shorter than the time that a conviction is remembered.
const AFTER_HOLD: Duration = Duration::from_secs(700);

fn run(number: u128) -> BootId {
    BootId(Uuid::from_u128(number))
}

fn crash(
    quarantine: &mut PartQuarantine,
    number: u128,
    lost: &[&[PromptPart]],
    now: Instant,
) -> Vec<PromptPart> {
    for parts in lost {
        quarantine.record_loss(run(number), parts, now);
    }
    let convictions = quarantine.confirm_crash(run(number), now).into_iter();
    convictions.map(|conviction| conviction.part).collect()
}

fn is_refused(quarantine: &PartQuarantine, part: PromptPart, now: Instant) -> bool {
    quarantine.verdict(&[part], now) != PartVerdict::Clear
}

#[test]
fn a_part_that_is_in_three_crashes_is_refused_whatever_else_the_requests_hold() {
    let mut quarantine = PartQuarantine::default();
    let mut now = Instant::now();
    quarantine.record_sound(&[POPULAR], now);
    for number in 0..3_u64 {
        now += APART;
        let (other, bystander) = (PromptPart(10 + number), PromptPart(20 + number));
        let lost: [&[PromptPart]; 2] = [&[POPULAR, BAD, other], &[POPULAR, bystander]];
        let convicted = crash(&mut quarantine, number.into(), &lost, now);
        assert_eq!(
            convicted,
            [BAD]
                .iter()
                .take((number / 2) as usize)
                .copied()
                .collect::<Vec<_>>()
        );
    }
    let verdict = quarantine.verdict(&[PromptPart(99), BAD], now);
    assert!(
        matches!(verdict, PartVerdict::Refused { part: BAD, .. }),
        "{verdict:?}"
    );
    assert_eq!(
        quarantine.verdict(&[POPULAR, PromptPart(10)], now),
        PartVerdict::Clear
    );
}

#[test]
fn endpoints_that_crash_together_convict_nothing_before_anything_has_completed() {
    let mut quarantine = PartQuarantine::default();
    let now = Instant::now();
    for number in 0..12 {
        let at = now + Duration::from_millis(10 * number);
        let convicted = crash(&mut quarantine, number.into(), &[&[POPULAR]], at);
        assert_eq!(convicted, []);
    }
}

#[test]
fn lost_answers_of_endpoints_that_live_convict_nothing() {
    let mut quarantine = PartQuarantine::default();
    let mut now = Instant::now();
    for number in 0..10 {
        now += APART;
        assert_eq!(
            quarantine.record_loss(run(number), &[BAD], now),
            LossCheck::Probe
        );
        quarantine.dismiss_loss(run(number));
        assert_eq!(quarantine.confirm_crash(run(number), now), []);
    }
}

#[test]
fn only_the_first_loss_of_a_run_with_a_suspect_calls_for_a_probe() {
    let mut quarantine = PartQuarantine::default();
    let now = Instant::now();
    quarantine.record_sound(&[POPULAR], now);
    let mut check = |number, parts: &[PromptPart]| quarantine.record_loss(run(number), parts, now);
    assert_eq!(check(1, &[POPULAR]), LossCheck::Known);
    assert_eq!(check(1, &[POPULAR, BAD]), LossCheck::Probe);
    assert_eq!(check(1, &[BAD]), LossCheck::Known);
    assert_eq!(check(2, &[BAD]), LossCheck::Probe);
    quarantine.confirm_crash(run(2), now);
    assert_eq!(
        quarantine.record_loss(run(2), &[BAD], now),
        LossCheck::Known
    );
    quarantine.dismiss_loss(run(1));
    assert_eq!(
        quarantine.record_loss(run(1), &[BAD], now),
        LossCheck::Probe
    );
}

#[test]
fn a_proof_excuses_a_part_from_crashes_before_and_after_it() {
    let mut quarantine = PartQuarantine::default();
    let mut now = Instant::now();
    for number in 0..10 {
        now += APART;
        assert_eq!(crash(&mut quarantine, number, &[&[POPULAR]], now), []);
        if number == 1 {
            quarantine.record_sound(&[POPULAR], now);
        }
    }
}

#[test]
fn parts_that_are_always_together_are_told_apart_by_a_further_crash_or_refused_together() {
    let together: [&[PromptPart]; 1] = [&[BAD, POPULAR]];
    let mut quarantine = PartQuarantine::default();
    let mut now = Instant::now();
    for number in 0..4 {
        now += APART;
        assert_eq!(crash(&mut quarantine, number, &together, now), []);
    }
    let mut told_apart = quarantine.clone();
    now += APART;
    assert_eq!(crash(&mut told_apart, 4, &[&[BAD]], now), [BAD]);
    assert_eq!(crash(&mut quarantine, 4, &together, now), []);
    let convicted = quarantine.review(now + 2 * APART).into_iter();
    let convicted: Vec<PromptPart> = convicted.map(|conviction| conviction.part).collect();
    assert_eq!(convicted, [POPULAR, BAD]);
}

#[test]
fn two_bad_parts_are_both_refused() {
    let mut quarantine = PartQuarantine::default();
    let mut now = Instant::now();
    let other = PromptPart(667);
    let mut convicted = BTreeSet::new();
    for number in 0..12 {
        now += APART;
        let part = [BAD, other][number % 2];
        if !is_refused(&quarantine, part, now) {
            let noise = PromptPart(100 + number as u64);
            convicted.extend(crash(
                &mut quarantine,
                number as u128,
                &[&[part, noise]],
                now,
            ));
        }
    }
    assert_eq!(convicted, BTreeSet::from([BAD, other]));
}

#[test]
fn a_completion_acquits_a_part_and_peers_hear_of_it() {
    let mut quarantine = PartQuarantine::default();
    let mut peer = PartQuarantine::default();
    let mut now = Instant::now();
    for number in 0..3 {
        now += APART;
        crash(&mut quarantine, number, &[&[POPULAR]], now);
    }
    let findings = peer.merge(&quarantine.report(now), now);
    let convicted = PartConviction {
        part: POPULAR,
        crashed: Vec::new(),
    };
    assert_eq!(findings.convicted, [convicted]);
    assert!(is_refused(&peer, POPULAR, now));
    now += APART;
    assert_eq!(quarantine.record_sound(&[POPULAR], now), [POPULAR]);
    let findings = peer.merge(&quarantine.report(now), now);
    assert_eq!(findings.acquitted, [POPULAR]);
    for known in [&quarantine, &peer] {
        assert!(!is_refused(known, POPULAR, now));
    }
    // An outdated report must not convict it again.
    let mut third = PartQuarantine::default();
    for number in 0..3 {
        crash(
            &mut third,
            number,
            &[&[POPULAR]],
            now - APART * (3 - number as u32),
        );
    }
    assert_eq!(peer.merge(&third.report(now), now).convicted, []);
}

#[test]
fn peers_hear_of_an_acquittal_after_the_crashes_are_forgotten() {
    let mut quarantine = PartQuarantine::default();
    let mut now = Instant::now();
    for number in 0..3 {
        now += APART;
        crash(&mut quarantine, number, &[&[POPULAR]], now);
    }
    let mut peer = quarantine.clone();
    now += AFTER_CRASHES;
    quarantine.review(now);
    quarantine.record_sound(&[POPULAR], now);
    let findings = peer.merge(&quarantine.report(now), now);
    assert_eq!(findings.acquitted, [POPULAR]);
    assert!(!is_refused(&peer, POPULAR, now));
}

#[test]
fn after_the_hold_one_crash_is_enough_to_refuse_a_part_again() {
    let mut quarantine = PartQuarantine::default();
    let mut now = Instant::now();
    for number in 0..3 {
        now += APART;
        crash(&mut quarantine, number, &[&[BAD]], now);
    }
    assert!(is_refused(&quarantine, BAD, now));
    now += AFTER_HOLD;
    assert!(!is_refused(&quarantine, BAD, now));
    assert_eq!(crash(&mut quarantine, 3, &[&[BAD]], now), [BAD]);
    assert!(is_refused(&quarantine, BAD, now));
}

#[test]
fn entries_that_saw_one_crash_each_convict_together() {
    let mut entries: Vec<PartQuarantine> = (0..4).map(|_| PartQuarantine::default()).collect();
    let mut now = Instant::now();
    for (index, entry) in entries.iter_mut().enumerate().take(3) {
        now += APART;
        let other = PromptPart(index as u64);
        crash(entry, index as u128, &[&[BAD, other]], now);
    }
    let reports: Vec<_> = entries.iter().map(|entry| entry.report(now)).collect();
    for entry in &mut entries {
        for report in &reports {
            entry.merge(report, now);
        }
        assert!(is_refused(entry, BAD, now));
    }
}

#[test]
fn pieces_that_a_paused_process_reads_late_prove_nothing() {
    let mut writing = WritingTime::default();
    let mut now = Instant::now();
    assert!(!writing.record_piece(now));
    now += 4 * PROOF_WRITING_TIME;
    for _ in 0..100 {
        assert!(!writing.record_piece(now));
    }
    let proofs = (0..100).filter(|_| {
        now += Duration::from_millis(20);
        writing.record_piece(now)
    });
    assert_eq!(proofs.count(), 1);
}

/// Guards against a bad part that is left out of a crash, since others take the room for it.
#[test]
fn a_bad_part_is_refused_though_many_others_are_in_doubt() {
    let mut quarantine = PartQuarantine::default();
    let start = Instant::now();
    let mut convicted = Vec::new();
    for number in 0..3_u32 {
        let own = |n: u64| PromptPart(1_000 + u64::from(number) * 20_000 + n);
        let bystanders: Vec<PromptPart> = (0..16_000).map(own).collect();
        let mut parts: Vec<PromptPart> = (16_000..18_000).map(own).collect();
        parts.push(BAD);
        let lost: [&[PromptPart]; 2] = [&bystanders, &parts];
        let at = start + APART * number;
        convicted = crash(&mut quarantine, number.into(), &lost, at);
    }
    assert_eq!(convicted, [BAD]);
}

/// Guards against entries that judge a part alone, since they tell peers of a few suspects only.
#[test]
fn entries_that_saw_one_crash_each_convict_one_of_many_suspects_together() {
    let mut entries: Vec<PartQuarantine> = (0..3).map(|_| PartQuarantine::default()).collect();
    let start = Instant::now();
    for (number, entry) in entries.iter_mut().enumerate() {
        let own = |n: u64| PromptPart(1_000 + number as u64 * 2_000 + n);
        let mut parts: Vec<PromptPart> = (0..600).map(own).collect();
        parts.push(PromptPart(u64::MAX));
        let at = start + APART * number as u32;
        crash(entry, number as u128, &[&parts], at);
    }
    // Reports come four times a second.
    let mut now = start + APART * 2;
    for _ in 0..12 {
        now += Duration::from_millis(250);
        let reports: Vec<_> = entries.iter().map(|entry| entry.report(now)).collect();
        for entry in &mut entries {
            for report in &reports {
                entry.merge(report, now);
            }
        }
    }
    for entry in &entries {
        assert!(is_refused(entry, PromptPart(u64::MAX), now));
        assert!(!is_refused(entry, PromptPart(1_000), now));
    }
}
