//! An accepted configuration never reverts, and an entry cut off notices.

use std::time::{Duration, Instant};

use pistachioyard_policy::{
    Adoption, ApplyDecision, ConfigRejected, Standing, decide_apply, next_accepted,
};
use pistachioyard_wire::{AcceptedConfig, ApplyId, ApplyRequest, Revision};
use uuid::Uuid;

const IN_FORCE: Duration = Duration::from_secs(30);

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
fn only_higher_and_whole_revisions_are_adopted() {
    let first = accepted(None, 1);
    let second = accepted(Some(&first), 2);
    let mut adoption = Adoption::new(IN_FORCE);
    assert_eq!(adoption.offer(second.clone()), Ok(true));
    assert_eq!(adoption.offer(first.clone()), Ok(false));
    assert_eq!(adoption.offer(second.clone()), Ok(false));

    let racing = accepted(Some(&first), 3);
    let damaged = AcceptedConfig {
        revision: Revision(9),
        digest: second.digest.clone(),
        ..racing.clone()
    };
    let unreadable = next_accepted(Some(&second), apply_id(4), "weight = ".into());
    assert!(matches!(
        adoption.offer(racing),
        Err(ConfigRejected::Diverged { .. })
    ));
    assert!(matches!(
        adoption.offer(damaged),
        Err(ConfigRejected::WrongDigest { .. })
    ));
    assert!(matches!(
        adoption.offer(unreadable),
        Err(ConfigRejected::Unreadable { .. })
    ));
    assert_eq!(adoption.current().unwrap().accepted, second);
}

#[test]
fn a_paused_or_cut_off_process_is_stale_when_it_wakes() {
    let start = Instant::now();
    let mut adoption = Adoption::new(IN_FORCE);
    assert_eq!(adoption.standing(start), Standing::NoConfig);
    adoption.offer(accepted(None, 1)).unwrap();
    assert!(matches!(adoption.standing(start), Standing::Stale { .. }));
    adoption.confirm(Revision(1), start);
    adoption.confirm(Revision(2), start + IN_FORCE);
    assert_eq!(adoption.standing(start + IN_FORCE), Standing::InForce);
    let woken = start + Duration::from_secs(31);
    let since = Duration::from_secs(31);
    assert_eq!(adoption.standing(woken), Standing::Stale { since });
    adoption.confirm(Revision(1), woken);
    assert_eq!(adoption.standing(woken), Standing::InForce);
}

#[test]
fn racing_operators_get_one_acceptance_and_one_conflict() {
    let ApplyDecision::Write(first) = decide_apply(None, &request(1, 0, 1)) else {
        panic!("the first apply was not written");
    };
    let conflict = decide_apply(Some(&first), &request(2, 0, 2));
    assert_eq!(conflict, ApplyDecision::Conflict(Revision(1)));
    let other_text = decide_apply(Some(&first), &request(1, 0, 5));
    assert_eq!(other_text, ApplyDecision::Conflict(Revision(1)));
}

#[test]
fn a_lost_answer_is_settled_by_the_newest_sixteen_applies() {
    let mut head = accepted(None, 1);
    for number in 2..=17 {
        let revision = head.revision.0;
        let again = decide_apply(Some(&head), &request(1, 0, 1));
        assert_eq!(again, ApplyDecision::AlreadyAccepted(Revision(1)));
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
