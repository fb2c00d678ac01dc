//! Faults of the link between two engines of a chain.

use pistachioyard_standins::{FaultKind, FaultRule};

use crate::support::{Running, TOKENS, Trial};

/// The first token, one in the middle and one near the end of an answer.
const TOKEN_STEPS: [usize; 3] = [1, 20, TOKENS as usize - 3];

/// Which connection of an answer is disturbed.
#[derive(Clone, Copy, Debug)]
enum Connection {
    /// From the first engine to the second.
    Link,
    /// From the last engine back to the first.
    ReturnLink,
    /// From the entry to the first engine.
    Head,
}

/// Disturbs a connection at each step of an answer, and checks the answer, and one
/// after it under what the connection held back.
async fn disturb(connection: Connection, kind: FaultKind) {
    let trial = Trial::start().await;
    for token in TOKEN_STEPS {
        let mut running = trial.ask(0, &format!("{connection:?} under {kind:?} at {token}"));
        running.reach(token).await;
        let rule = rule_for(&trial, &running, connection, kind);
        set_rules(&trial, &[rule]).await;
        let (answer, req) = running.end().await;
        trial.check(&answer, &req).await;
        set_rules(&trial, &[]).await;
        trial.cluster.wait_ready().await.expect("all is back");
        let next = format!("After {connection:?} under {kind:?} at {token}");
        let (next, next_req) = trial.ask(1, &next).end().await;
        trial.check(&next, &next_req).await;
        trial.check(&answer, &req).await;
    }
}

fn rule_for(
    trial: &Trial,
    running: &Running,
    connection: Connection,
    kind: FaultKind,
) -> FaultRule {
    let [head, middle, last] = [0, 1, 2].map(|stage| trial.engine_of(running, stage));
    match connection {
        Connection::Link => trial.link_rule(head, middle, kind),
        Connection::ReturnLink => trial.link_rule(last, head, kind),
        Connection::Head => FaultRule {
            from: Some(trial.entry(0).ip().to_string()),
            to: Some(trial.cluster.engines[head].listed),
            kind,
        },
    }
}

async fn set_rules(trial: &Trial, rules: &[FaultRule]) {
    let set = trial.cluster.set_proxy_faults(rules).await;
    set.expect("the proxy takes its rules");
}

/// The link to the next engine is reset and cannot be opened again.
#[tokio::test(flavor = "multi_thread")]
async fn cut_link() {
    disturb(Connection::Link, FaultKind::Cut).await;
}

/// Activations vanish on the link to the next engine, which stays open.
#[tokio::test(flavor = "multi_thread")]
async fn one_way_cut_link() {
    disturb(Connection::Link, FaultKind::CutToTarget).await;
}

/// The link to the next engine stays open and moves no byte.
#[tokio::test(flavor = "multi_thread")]
async fn stall_link() {
    disturb(Connection::Link, FaultKind::Stall).await;
}

/// The link to the next engine is slow, but carries everything.
#[tokio::test(flavor = "multi_thread")]
async fn slow_link() {
    disturb(Connection::Link, FaultKind::Delay { ms: 60 }).await;
}

/// The link to the next engine breaks off in the middle of a frame.
#[tokio::test(flavor = "multi_thread")]
async fn link_breaks_inside_a_frame() {
    disturb(Connection::Link, FaultKind::DropAfter { bytes: 45 }).await;
}

/// The link back to the head is reset and cannot be opened again.
#[tokio::test(flavor = "multi_thread")]
async fn cut_return_link() {
    disturb(Connection::ReturnLink, FaultKind::Cut).await;
}

/// Activations vanish on the link back to the head, which stays open.
#[tokio::test(flavor = "multi_thread")]
async fn one_way_cut_return_link() {
    disturb(Connection::ReturnLink, FaultKind::CutToTarget).await;
}

/// The link back to the head stays open and moves no byte.
#[tokio::test(flavor = "multi_thread")]
async fn stall_return_link() {
    disturb(Connection::ReturnLink, FaultKind::Stall).await;
}

/// The connection from the entry to the head is reset and cannot be opened again.
#[tokio::test(flavor = "multi_thread")]
async fn cut_head_connection() {
    disturb(Connection::Head, FaultKind::Cut).await;
}

/// Frames vanish on the connection from the entry to the head, which stays open.
#[tokio::test(flavor = "multi_thread")]
async fn one_way_cut_head_connection() {
    disturb(Connection::Head, FaultKind::CutFromTarget).await;
}

/// The connection from the entry to the head stays open and moves no byte.
#[tokio::test(flavor = "multi_thread")]
async fn stall_head_connection() {
    disturb(Connection::Head, FaultKind::Stall).await;
}

/// The connection from the entry to the head is slow, but carries everything.
#[tokio::test(flavor = "multi_thread")]
async fn slow_head_connection() {
    disturb(Connection::Head, FaultKind::Delay { ms: 60 }).await;
}

/// The connection from the entry to the head breaks off in the middle of a frame.
#[tokio::test(flavor = "multi_thread")]
async fn head_connection_breaks_inside_a_frame() {
    disturb(Connection::Head, FaultKind::DropAfter { bytes: 45 }).await;
}
