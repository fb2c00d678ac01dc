//! Entries that lose their links to all engines, while callers, the platform and the other entries
//! still reach them.

use std::time::Duration;

use pistachioyard_standins::{FaultKind, FaultRule, GenerateEnd};
use pistachioyard_wire::ProblemKind;

use crate::support::{Harness, PendingAnswer};

/// What happens to the connections of the cut entry: new ones hang, and open ones hang, are
/// reset or live on; or all are reset.
const CUTS: [&[FaultKind]; 4] = [
    &[FaultKind::CutNew, FaultKind::Stall],
    &[FaultKind::CutNew, FaultKind::Cut],
    &[FaultKind::CutNew],
    &[FaultKind::Cut],
];
/// How long a cut lasts.
const CUT_TIME: Duration = Duration::from_secs(3);
/// The time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);

async fn cut_off(harness: &Harness, entry: usize, kinds: &[FaultKind]) {
    let from = harness.entry_address(entry).ip().to_string();
    let engines = harness.cluster.engines.iter();
    let rules: Vec<FaultRule> = engines
        .flat_map(|engine| {
            kinds.iter().map(|kind| FaultRule {
                from: Some(from.clone()),
                to: Some(engine.listed),
                kind: *kind,
            })
        })
        .collect();
    let set = harness.cluster.set_proxy_faults(&rules).await;
    set.expect("the proxy accepts the rules");
}

/// Cuts the first entry off while answers run, and returns the answers begun at an entry.
async fn ask_during_cut(
    harness: &Harness,
    kinds: &[FaultKind],
    entry: usize,
) -> Vec<PendingAnswer> {
    let mut running: Vec<PendingAnswer> = (0..4)
        .map(|n| harness.ask(entry, &format!("Before the cut {kinds:?}, {n}")))
        .collect();
    for answer in &mut running {
        answer.wait_for_tokens(3).await;
    }
    cut_off(harness, 0, kinds).await;
    let rounds = (CUT_TIME.as_millis() / REQUEST_INTERVAL.as_millis()) as usize;
    for n in 0..rounds {
        running.push(harness.ask(entry, &format!("During the cut {kinds:?}, {n}")));
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    running
}

/// Checks that all answers are complete and correct, and that none was taken for a request that
/// crashes engines.
async fn check(harness: &Harness, running: Vec<PendingAnswer>, what: &str) {
    for running in running {
        let (answer, req) = running.wait().await;
        if let GenerateEnd::Problem(problem) = &answer.end {
            assert_ne!(
                problem.kind,
                ProblemKind::Quarantined,
                "{what}: {problem:?}"
            );
        }
        harness.check_answer(&answer, &req).await;
    }
}

/// Answers at entries that are not cut off do not suffer from one that is.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_entry_takes_no_engines_from_its_peers() {
    let harness = Harness::start().await;
    for kinds in CUTS {
        // Requests at the cut entry make it find out that it reaches no engine.
        let mut at_cut = Vec::new();
        let at_peer = async {
            let running = ask_during_cut(&harness, kinds, 1).await;
            check(&harness, running, &format!("{kinds:?}")).await;
        };
        let at_cut_entry = async {
            tokio::time::sleep(REQUEST_INTERVAL).await;
            for n in 0..6 {
                at_cut.push(harness.send_request_once(
                    0,
                    crate::support::request(&format!("At the cut entry {kinds:?}, {n}")),
                ));
                tokio::time::sleep(REQUEST_INTERVAL).await;
            }
        };
        tokio::join!(at_peer, at_cut_entry);
        lift(&harness).await;
        for running in at_cut {
            let (answer, _) = running.wait().await;
            if let GenerateEnd::Problem(problem) = &answer.end {
                assert_ne!(
                    problem.kind,
                    ProblemKind::Quarantined,
                    "{kinds:?}: {problem:?}"
                );
            }
        }
    }
}

/// Callers of a cut entry get their answers, there or at another entry.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_cut_entry_get_their_answers() {
    let harness = Harness::start().await;
    for kinds in CUTS {
        let running = ask_during_cut(&harness, kinds, 0).await;
        check(&harness, running, &format!("{kinds:?}")).await;
        lift(&harness).await;
    }
}

async fn lift(harness: &Harness) {
    let lifted = harness.cluster.set_proxy_faults(&[]).await;
    lifted.expect("the proxy accepts the rules");
    let ready = harness.cluster.wait_ready().await;
    ready.expect("the cluster becomes ready again");
}
