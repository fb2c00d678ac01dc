//! Faults of the link between two engines of a chain.

use pistachioyard_standins::{FaultKind, FaultRule};

use crate::support::{Running, Trial};

/// A token in the middle of an answer.
const MID_STREAM: usize = 20;

/// Sets a rule between the first two engines of an answer and checks it whole.
async fn disturb_link(kind: FaultKind) {
    let trial = Trial::start().await;
    let mut running = trial.ask(0, &format!("Link under {kind:?}"));
    running.reach(MID_STREAM).await;
    let rule = link_of(&trial, &running, kind);
    set_rules(&trial, &[rule]).await;
    let (answer, req) = running.end().await;
    trial.check(&answer, &req).await;
    // What the link held back arrives late, under an attempt that was replaced.
    set_rules(&trial, &[]).await;
    let (next, next_req) = trial.ask(1, "After the link is back").end().await;
    trial.check(&next, &next_req).await;
    trial.check(&answer, &req).await;
}

fn link_of(trial: &Trial, running: &Running, kind: FaultKind) -> FaultRule {
    let from = trial.engine_of(running, 0);
    let to = trial.engine_of(running, 1);
    trial.link_rule(from, to, kind)
}

async fn set_rules(trial: &Trial, rules: &[FaultRule]) {
    let set = trial.cluster.set_proxy_faults(rules).await;
    set.expect("the proxy takes its rules");
}

/// The link is reset and cannot be opened again.
#[tokio::test(flavor = "multi_thread")]
async fn cut_link_mid_stream() {
    disturb_link(FaultKind::Cut).await;
}

/// Activations vanish on the link, which stays open.
#[tokio::test(flavor = "multi_thread")]
async fn one_way_cut_link_mid_stream() {
    disturb_link(FaultKind::CutToTarget).await;
}

/// The link stays open and moves no byte, in the middle of a frame as well.
#[tokio::test(flavor = "multi_thread")]
async fn stall_link_mid_stream() {
    disturb_link(FaultKind::Stall).await;
}

/// The link is slow, but carries everything.
#[tokio::test(flavor = "multi_thread")]
async fn slow_link_mid_stream() {
    disturb_link(FaultKind::Delay { ms: 60 }).await;
}

/// The link to the next engine breaks off in the middle of a frame.
#[tokio::test(flavor = "multi_thread")]
async fn link_breaks_inside_a_frame() {
    disturb_link(FaultKind::DropAfter { bytes: 37 }).await;
}

/// The connection from an entry to the head breaks off in the middle of a line.
#[tokio::test(flavor = "multi_thread")]
async fn head_connection_breaks_inside_a_line() {
    let trial = Trial::start().await;
    let mut running = trial.ask(0, "A line that breaks off");
    running.reach(MID_STREAM).await;
    let head = trial.engine_of(&running, 0);
    let rule = FaultRule {
        from: Some(trial.entry(0).ip().to_string()),
        to: Some(trial.cluster.engines[head].listed),
        kind: FaultKind::DropAfter { bytes: 45 },
    };
    set_rules(&trial, &[rule]).await;
    let (answer, req) = running.end().await;
    trial.check(&answer, &req).await;
}
