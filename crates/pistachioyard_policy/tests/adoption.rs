//! Tests that the adopted revision never falls, and that an unconfirmed configuration goes stale.

use std::time::{Duration, Instant};

use pistachioyard_policy::{
    ApplyDecision, ConfigAdoption, ConfigRejected, ConfigStatus, decide_apply, next_accepted,
};
use pistachioyard_wire::{AcceptedConfig, ApplyId, ApplyRequest, Revision};
use uuid::Uuid;

const STALE_AFTER: Duration = Duration::from_secs(30);

fn apply_id(number: u128) -> ApplyId {
    ApplyId(Uuid::from_u128(number))
}

fn text(weight: u32) -> String {
    format!("[workspaces.alpha]\nweight = {weight}\nmax_in_flight = 4\n")
}

fn accepted(current: Option<&AcceptedConfig>, number: u32) -> AcceptedConfig {
    next_accepted(current, apply_id(number.into()), text(number).into())
}

fn request(apply: u128, base: u64, weight: u32) -> ApplyRequest {
    ApplyRequest {
        apply: apply_id(apply),
        base: Revision(base),
        text: text(weight),
    }
}

#[test]
fn only_valid_higher_revisions_are_adopted() {
    let first = accepted(None, 1);
    let second = accepted(Some(&first), 2);
    let mut adoption = ConfigAdoption::new(STALE_AFTER);
    assert_eq!(adoption.offer(second.clone()), Ok(true));
    assert_eq!(adoption.offer(first.clone()), Ok(false));
    assert_eq!(adoption.offer(second.clone()), Ok(false));

    let conflicting = accepted(Some(&first), 3);
    let corrupt = AcceptedConfig {
        revision: Revision(9),
        digest: second.digest.clone(),
        ..conflicting.clone()
    };
    let unreadable = next_accepted(Some(&second), apply_id(4), "weight = ".into());
    assert!(matches!(
        adoption.offer(conflicting),
        Err(ConfigRejected::Diverged { .. })
    ));
    assert!(matches!(
        adoption.offer(corrupt),
        Err(ConfigRejected::WrongDigest { .. })
    ));
    assert!(matches!(
        adoption.offer(unreadable),
        Err(ConfigRejected::Unreadable { .. })
    ));
    assert_eq!(adoption.current().unwrap().accepted, second);
}

#[test]
fn a_paused_or_isolated_process_is_stale_when_it_resumes() {
    let start = Instant::now();
    let mut adoption = ConfigAdoption::new(STALE_AFTER);
    assert_eq!(adoption.status(start), ConfigStatus::NoConfig);
    adoption.offer(accepted(None, 1)).unwrap();
    assert!(matches!(adoption.status(start), ConfigStatus::Stale { .. }));
    adoption.confirm(Revision(1), start);
    adoption.confirm(Revision(2), start + STALE_AFTER);
    assert_eq!(adoption.status(start + STALE_AFTER), ConfigStatus::InForce);
    let resumed = start + Duration::from_secs(31);
    let age = Duration::from_secs(31);
    assert_eq!(adoption.status(resumed), ConfigStatus::Stale { age });
    adoption.confirm(Revision(1), resumed);
    assert_eq!(adoption.status(resumed), ConfigStatus::InForce);
}

#[test]
fn concurrent_applies_get_one_acceptance_and_one_conflict() {
    let ApplyDecision::Write(first) = decide_apply(None, &request(1, 0, 1)) else {
        panic!("the first apply was not written");
    };
    let conflict = decide_apply(Some(&first), &request(2, 0, 2));
    assert_eq!(conflict, ApplyDecision::Conflict(Revision(1)));
    let other_text = decide_apply(Some(&first), &request(1, 0, 5));
    assert_eq!(other_text, ApplyDecision::Conflict(Revision(1)));
}

#[test]
fn a_repeated_apply_is_recognised_among_the_newest_sixteen() {
    let mut head = accepted(None, 1);
    for number in 2..=17 {
        let revision = head.revision.0;
        let repeated = decide_apply(Some(&head), &request(1, 0, 1));
        assert_eq!(repeated, ApplyDecision::AlreadyAccepted(Revision(1)));
        let wanted = request(u128::from(number), revision, number);
        let ApplyDecision::Write(next) = decide_apply(Some(&head), &wanted) else {
            panic!("apply {number} was not written");
        };
        head = next;
    }
    assert_eq!((head.revision, head.applies.len()), (Revision(17), 16));
    let forgotten = decide_apply(Some(&head), &request(1, 0, 1));
    assert_eq!(forgotten, ApplyDecision::Conflict(Revision(17)));
}
