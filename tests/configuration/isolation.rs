//! Tests that entries that are isolated or paused serve no requests under an old revision.

use pistachioyard_standins::FaultRule;
use pistachioyard_wire::{ApplyId, ApplyRequest, Outcome, ProblemKind, Revision};

use crate::support::{
    Fixture, IN_FORCE_LIMIT, TIMEOUT, accepted, apply_request, config_text_with_weight,
    config_text_without_service,
};

/// An empty list of rules, which ends all faults of the proxy.
const NO_RULES: &[FaultRule] = &[];

#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_entry_takes_no_new_requests_and_recovers() {
    let fixture = Fixture::start(3, true).await;
    let rules = fixture.isolation_rules(0);
    let set = fixture.cluster.set_proxy_faults(&rules).await;
    set.expect("the proxy rejected the fault rules");
    fixture.wait_for_readiness(0, false, IN_FORCE_LIMIT).await;
    let refused = fixture
        .operate(0)
        .await
        .expect_err("the operation was not refused");
    assert_eq!(refused.outcome, Outcome::NotRun);
    assert_eq!(refused.kind, ProblemKind::NoConfig);
    assert_eq!(fixture.apply(1, &apply_request(1, 3)).await, accepted(2));
    fixture.wait_for_revision(2, 2, IN_FORCE_LIMIT).await;
    fixture.wait_for_readiness(1, true, IN_FORCE_LIMIT).await;
    let set = fixture.cluster.set_proxy_faults(NO_RULES).await;
    set.expect("the proxy rejected the fault rules");
    fixture.wait_for_readiness(0, true, TIMEOUT).await;
    assert_eq!(*fixture.config(0).await.text, *config_text_with_weight(3));
    fixture
        .cluster
        .wait_ready()
        .await
        .expect("the cluster did not become ready again");
    assert!(fixture.operate(0).await.is_ok());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_cut_off_from_only_the_platform_gets_revisions_from_its_peers() {
    let fixture = Fixture::start(3, true).await;
    let mut rules = fixture.isolation_rules(0);
    rules.truncate(1);
    rules[0].to = Some(fixture.cluster.listed_platform);
    let set = fixture.cluster.set_proxy_faults(&rules).await;
    set.expect("the proxy rejected the fault rules");
    assert_eq!(fixture.apply(1, &apply_request(1, 3)).await, accepted(2));
    fixture.wait_for_revision(0, 2, IN_FORCE_LIMIT).await;
    tokio::time::sleep(IN_FORCE_LIMIT + IN_FORCE_LIMIT).await;
    fixture.wait_for_readiness(0, true, IN_FORCE_LIMIT).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_entry_serves_nothing_under_a_revision_replaced_during_the_pause() {
    let mut fixture = Fixture::start(2, false).await;
    assert!(fixture.operate(1).await.is_ok());
    fixture.cluster.entries[1]
        .child
        .freeze()
        .expect("failed to pause the entry");
    let req = ApplyRequest {
        apply: ApplyId::generate(),
        base: Revision(1),
        text: config_text_without_service(),
    };
    assert_eq!(fixture.apply(0, &req).await, accepted(2));
    tokio::time::sleep(IN_FORCE_LIMIT).await;
    // The requests wait in the paused entry's socket buffers, and the entry reads them as soon as
    // it is resumed.
    let (waiting, ()) = tokio::join!(
        futures_util::future::join_all((0..8).map(|_| fixture.operate(1))),
        async {
            tokio::time::sleep(IN_FORCE_LIMIT).await;
            let pid = fixture.cluster.entries[1].child.id() as i32;
            let pid = nix::unistd::Pid::from_raw(pid);
            nix::sys::signal::kill(pid, nix::sys::signal::Signal::SIGCONT)
                .expect("failed to resume the entry");
        }
    );
    for result in waiting {
        let refused = result.expect_err("the workspace used a service that it may no longer use");
        assert_eq!(refused.outcome, Outcome::NotRun, "{refused:?}");
    }
    fixture.wait_for_revision(1, 2, IN_FORCE_LIMIT).await;
    let refused = fixture
        .operate(1)
        .await
        .expect_err("the workspace used a service that it may no longer use");
    assert_eq!(refused.outcome, Outcome::NotRun);
}
