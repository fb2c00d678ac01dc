//! Accepting files, races of operators, lost answers and outages.

use std::time::Instant;

use pistachioyard_standins::PlatformFaults;
use pistachioyard_wire::{ApplyAnswer, Revision};

use crate::support::{Bench, IN_FORCE, LONG, accepted, marked_text, request};

#[tokio::test(flavor = "multi_thread")]
async fn a_file_is_in_force_on_every_entry_within_the_stated_time() {
    let bench = Bench::start(4, false).await;
    for revision in 2..=6 {
        let entry = revision as usize % 4;
        let req = request(revision - 1, revision as u32);
        assert_eq!(bench.apply(entry, &req).await, accepted(revision));
        let accepted_at = Instant::now();
        for entry in 0..4 {
            bench.wait_revision(entry, revision, IN_FORCE).await;
            assert_eq!(*bench.config(entry).await.text, *req.text);
        }
        assert!(accepted_at.elapsed() < IN_FORCE);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_racing_operators_one_is_accepted_and_one_conflicts() {
    let bench = Bench::start(2, false).await;
    for round in 1..=8 {
        let (one, two) = (request(round, 3), request(round, 4));
        let (first, second) = tokio::join!(bench.apply(0, &one), bench.apply(1, &two));
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
            bench.wait_revision(entry, round + 1, IN_FORCE).await;
            assert_eq!(*bench.config(entry).await.text, **text);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_apply_whose_answer_was_lost_is_accepted_once() {
    let bench = Bench::start(2, false).await;
    for lost in 1..=2 {
        let base = u64::from(lost);
        let faults = PlatformFaults {
            lose_answers: lost,
            ..PlatformFaults::default()
        };
        let set = bench.cluster.set_platform_faults(&faults).await;
        set.expect("the platform takes faults");
        let req = request(base, 10 + lost);
        assert_eq!(bench.apply(0, &req).await, accepted(base + 1));
        // The operator's client sends the same apply again, here or elsewhere.
        assert_eq!(bench.apply(0, &req).await, accepted(base + 1));
        assert_eq!(bench.apply(1, &req).await, accepted(base + 1));
        bench.platform_down(false).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_file_accepted_right_before_an_outage_reaches_all_and_a_restarted_entry() {
    let mut bench = Bench::start(3, false).await;
    assert_eq!(bench.apply(0, &request(1, 3)).await, accepted(2));
    bench.platform_down(true).await;
    for entry in 0..3 {
        bench.wait_revision(entry, 2, IN_FORCE).await;
    }
    let undecided = bench.apply(1, &request(2, 4)).await;
    assert!(matches!(undecided, ApplyAnswer::Undecided { .. }));
    bench.cluster.entries[2].child.kill().expect("it ends");
    bench.cluster.restart_entry(2).await.expect("it starts");
    // It is not ready before it has the newest revision.
    let deadline = Instant::now() + LONG;
    loop {
        let status = bench.cluster.status(bench.caller(2)).await;
        let status = status.expect("a status");
        assert!(!status.ready || status.revision == Revision(2));
        if status.ready {
            break;
        }
        assert!(Instant::now() < deadline, "{status:?}");
    }
    bench.platform_down(false).await;
    bench.wait_ready(2, true, LONG).await;
    assert_eq!(bench.apply(2, &request(2, 5)).await, accepted(3));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_platform_that_lost_its_objects_does_not_take_a_revision_back() {
    let mut bench = Bench::start(2, false).await;
    for revision in 2..=4 {
        let req = request(revision - 1, revision as u32);
        assert_eq!(bench.apply(0, &req).await, accepted(revision));
    }
    bench.wait_revision(1, 4, IN_FORCE).await;
    bench.cluster.platform_child.kill().expect("it ends");
    bench.cluster.restart_platform().await.expect("it starts");
    bench.cluster.put_hosts().await.expect("the hosts");
    bench.wait_ready(0, true, LONG).await;
    // Whoever has seen only the emptied platform conflicts.
    let conflict = ApplyAnswer::Conflict {
        revision: Revision(4),
    };
    assert_eq!(bench.apply(1, &request(0, 9)).await, conflict);
    for entry in [0, 1] {
        assert_eq!(*bench.config(entry).await.text, *marked_text(4));
    }
    let next = request(4, 5);
    assert_eq!(bench.apply(1, &next).await, accepted(5));
    for entry in [0, 1] {
        bench.wait_revision(entry, 5, IN_FORCE).await;
        assert_eq!(*bench.config(entry).await.text, *next.text);
    }
    // The watch has to see what the platform holds since it counts anew.
    let later = request(5, 6);
    assert_eq!(bench.apply(0, &later).await, accepted(6));
    for entry in [0, 1] {
        bench.wait_revision(entry, 6, IN_FORCE).await;
    }
}
