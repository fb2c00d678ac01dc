//! Entries that are cut off or paused serve nothing under an old revision.

use pistachioyard_standins::FaultRule;
use pistachioyard_wire::{ApplyId, ApplyRequest, Outcome, ProblemKind, Revision};

use crate::support::{Bench, IN_FORCE, LONG, accepted, marked_text, request, text_without_service};

const NO_RULES: &[FaultRule] = &[];

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_cut_off_from_all_takes_no_new_work_and_comes_back() {
    let bench = Bench::start(3, true).await;
    let rules = bench.isolate(0);
    let set = bench.cluster.set_proxy_faults(&rules).await;
    set.expect("the proxy takes rules");
    bench.wait_ready(0, false, IN_FORCE).await;
    let refused = bench.operate(0).await.expect_err("a refusal");
    assert_eq!(refused.outcome, Outcome::NotRun);
    assert_eq!(refused.kind, ProblemKind::NoConfig);
    assert_eq!(bench.apply(1, &request(1, 3)).await, accepted(2));
    bench.wait_revision(2, 2, IN_FORCE).await;
    bench.wait_ready(1, true, IN_FORCE).await;
    let set = bench.cluster.set_proxy_faults(NO_RULES).await;
    set.expect("the proxy takes rules");
    bench.wait_ready(0, true, LONG).await;
    assert_eq!(*bench.config(0).await.text, *marked_text(3));
    bench.cluster.wait_ready().await.expect("all are ready");
    assert!(bench.operate(0).await.is_ok());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_cut_off_from_the_platform_only_follows_its_peers() {
    let bench = Bench::start(3, true).await;
    let mut rules = bench.isolate(0);
    rules.truncate(1);
    rules[0].to = Some(bench.cluster.listed_platform);
    let set = bench.cluster.set_proxy_faults(&rules).await;
    set.expect("the proxy takes rules");
    assert_eq!(bench.apply(1, &request(1, 3)).await, accepted(2));
    bench.wait_revision(0, 2, IN_FORCE).await;
    tokio::time::sleep(IN_FORCE + IN_FORCE).await;
    bench.wait_ready(0, true, IN_FORCE).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_entry_serves_nothing_under_the_revision_that_it_slept_through() {
    let mut bench = Bench::start(2, false).await;
    assert!(bench.operate(1).await.is_ok());
    bench.cluster.entries[1].child.freeze().expect("it pauses");
    let req = ApplyRequest {
        apply: ApplyId::generate(),
        base: Revision(1),
        text: text_without_service(),
    };
    assert_eq!(bench.apply(0, &req).await, accepted(2));
    tokio::time::sleep(IN_FORCE).await;
    // The requests wait in the paused entry's sockets and are read first of all.
    let (waiting, ()) = tokio::join!(
        futures_util::future::join_all((0..8).map(|_| bench.operate(1))),
        async {
            tokio::time::sleep(IN_FORCE).await;
            let pid = bench.cluster.entries[1].child.id() as i32;
            let pid = nix::unistd::Pid::from_raw(pid);
            nix::sys::signal::kill(pid, nix::sys::signal::Signal::SIGCONT).expect("it goes on");
        }
    );
    for told in waiting {
        let refused = told.expect_err("it may not use the service");
        assert_eq!(refused.outcome, Outcome::NotRun, "{refused:?}");
    }
    bench.wait_revision(1, 2, IN_FORCE).await;
    let refused = bench
        .operate(1)
        .await
        .expect_err("it may not use the service");
    assert_eq!(refused.outcome, Outcome::NotRun);
}
