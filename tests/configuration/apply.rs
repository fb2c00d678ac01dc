//! Tests applying configuration files: concurrent applies, lost responses and outages.

use std::time::Instant;

use pistachioyard_standins::{PlatformFaults, wait_until};
use pistachioyard_wire::{ApplyAnswer, ObjectRecord, Revision};

use crate::support::{
    Fixture, IN_FORCE_LIMIT, TIMEOUT, accepted, apply_request, config_text_with_weight,
};

#[tokio::test(flavor = "multi_thread")]
async fn a_file_is_in_force_on_every_entry_within_the_limit() {
    let fixture = Fixture::start(4, false).await;
    for revision in 2..=6 {
        let entry = revision as usize % 4;
        let req = apply_request(revision - 1, revision as u32);
        assert_eq!(fixture.apply(entry, &req).await, accepted(revision));
        let accepted_at = Instant::now();
        for entry in 0..4 {
            fixture
                .wait_for_revision(entry, revision, IN_FORCE_LIMIT)
                .await;
            assert_eq!(*fixture.config(entry).await.text, *req.text);
        }
        assert!(accepted_at.elapsed() < IN_FORCE_LIMIT);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_concurrent_applies_one_is_accepted_and_one_conflicts() {
    let fixture = Fixture::start(2, false).await;
    for round in 1..=8 {
        let (one, two) = (apply_request(round, 3), apply_request(round, 4));
        let (first, second) = tokio::join!(fixture.apply(0, &one), fixture.apply(1, &two));
        let conflict = ApplyAnswer::Conflict {
            revision: Revision(round + 1),
        };
        let (won, text) = match (&first, &second) {
            (ApplyAnswer::Accepted { .. }, lost) if *lost == conflict => (&first, &one.text),
            (lost, ApplyAnswer::Accepted { .. }) if *lost == conflict => (&second, &two.text),
            other => panic!("round {round}: {other:?}"),
        };
        assert_eq!(*won, accepted(round + 1));
        for entry in [0, 1] {
            fixture
                .wait_for_revision(entry, round + 1, IN_FORCE_LIMIT)
                .await;
            assert_eq!(*fixture.config(entry).await.text, **text);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_apply_whose_answer_was_lost_is_accepted_once() {
    let fixture = Fixture::start(2, false).await;
    for lost in 1..=2 {
        let base = u64::from(lost);
        let faults = PlatformFaults {
            lose_answers: lost,
            ..PlatformFaults::default()
        };
        let set = fixture.cluster.set_platform_faults(&faults).await;
        set.expect("the platform rejected the faults");
        let req = apply_request(base, 10 + lost);
        assert_eq!(fixture.apply(0, &req).await, accepted(base + 1));
        // The operator's client repeats the same apply, at this entry or at another one.
        assert_eq!(fixture.apply(0, &req).await, accepted(base + 1));
        assert_eq!(fixture.apply(1, &req).await, accepted(base + 1));
        fixture.set_platform_down(false).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_file_accepted_right_before_an_outage_reaches_all_entries_and_a_restarted_one() {
    let mut fixture = Fixture::start(3, false).await;
    assert_eq!(fixture.apply(0, &apply_request(1, 3)).await, accepted(2));
    fixture.set_platform_down(true).await;
    for entry in 0..3 {
        fixture.wait_for_revision(entry, 2, IN_FORCE_LIMIT).await;
    }
    let undecided = fixture.apply(1, &apply_request(2, 4)).await;
    assert!(matches!(undecided, ApplyAnswer::Undecided { .. }));
    fixture.cluster.entries[2]
        .child
        .kill()
        .expect("failed to kill the process");
    fixture
        .cluster
        .restart_entry(2)
        .await
        .expect("failed to restart the process");
    // The restarted entry must not be ready before it has the newest revision.
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let status = fixture.cluster.status(fixture.caller(2)).await;
        let status = status.expect("failed to read the status");
        assert!(!status.ready || status.revision == Revision(2));
        if status.ready {
            break;
        }
        assert!(Instant::now() < deadline, "{status:?}");
    }
    fixture.set_platform_down(false).await;
    fixture.wait_for_readiness(2, true, TIMEOUT).await;
    assert_eq!(fixture.apply(2, &apply_request(2, 5)).await, accepted(3));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_platform_that_lost_its_objects_does_not_revert_a_revision() {
    let mut fixture = Fixture::start(2, false).await;
    for revision in 2..=4 {
        let req = apply_request(revision - 1, revision as u32);
        assert_eq!(fixture.apply(0, &req).await, accepted(revision));
    }
    fixture.wait_for_revision(1, 4, IN_FORCE_LIMIT).await;
    fixture
        .cluster
        .platform_child
        .kill()
        .expect("failed to kill the process");
    fixture
        .cluster
        .restart_platform()
        .await
        .expect("failed to restart the process");
    fixture
        .cluster
        .put_hosts()
        .await
        .expect("the platform rejected the host list");
    fixture.wait_for_readiness(0, true, TIMEOUT).await;
    // An apply that is based on the empty store conflicts.
    let conflict = ApplyAnswer::Conflict {
        revision: Revision(4),
    };
    assert_eq!(fixture.apply(1, &apply_request(0, 9)).await, conflict);
    for entry in [0, 1] {
        assert_eq!(
            *fixture.config(entry).await.text,
            *config_text_with_weight(4)
        );
    }
    let next = apply_request(4, 5);
    assert_eq!(fixture.apply(1, &next).await, accepted(5));
    for entry in [0, 1] {
        fixture.wait_for_revision(entry, 5, IN_FORCE_LIMIT).await;
        assert_eq!(*fixture.config(entry).await.text, *next.text);
    }
    // The restarted platform numbers its versions from the start again, and the watch must still
    // report new objects.
    let later = apply_request(5, 6);
    assert_eq!(fixture.apply(0, &later).await, accepted(6));
    for entry in [0, 1] {
        fixture.wait_for_revision(entry, 6, IN_FORCE_LIMIT).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_platform_that_lost_the_file_has_it_restored_by_the_entries() {
    let mut fixture = Fixture::start(2, false).await;
    assert_eq!(fixture.apply(0, &apply_request(1, 3)).await, accepted(2));
    fixture.wait_for_revision(1, 2, IN_FORCE_LIMIT).await;
    fixture
        .cluster
        .platform_child
        .kill()
        .expect("failed to kill the process");
    fixture
        .cluster
        .restart_platform()
        .await
        .expect("failed to restart the process");
    fixture
        .cluster
        .put_hosts()
        .await
        .expect("the platform rejected the host list");
    let (client, platform) = (&fixture.cluster.client, fixture.cluster.platform);
    wait_until(TIMEOUT, "the head object to be restored", || async {
        let head = client.get_json::<ObjectRecord>(platform, "/objects/config%2Fhead");
        head.await.is_ok()
    })
    .await
    .expect("the head object was not restored");
    // No running entry holds the file after this, so it can only come from the platform.
    for entry in &mut fixture.cluster.entries {
        entry.child.kill().expect("failed to kill the process");
    }
    for entry in 0..2 {
        fixture
            .cluster
            .restart_entry(entry)
            .await
            .expect("failed to restart the process");
    }
    for entry in 0..2 {
        fixture.wait_for_revision(entry, 2, TIMEOUT).await;
        assert_eq!(
            *fixture.config(entry).await.text,
            *config_text_with_weight(3)
        );
    }
}
