//! Faults of the connections between the engines of a chain, and from entry to head.

use pistachioyard_standins::{FaultKind, FaultRule};

use crate::support::{Harness, PendingAnswer, TOKENS};

/// The token counts at which a fault strikes: at the first token, in the middle and
/// near the end of an answer.
const FAULT_TOKENS: [usize; 3] = [1, 20, TOKENS as usize - 3];

/// The connection of a chain that the fault affects.
#[derive(Clone, Copy, Debug)]
enum Connection {
    /// From the first engine to the second.
    Link,
    /// From the last engine back to the first.
    ReturnLink,
    /// From the entry to the first engine.
    Head,
}

/// Injects a fault on a connection at each step of an answer and checks the answer. It
/// then lifts the fault, so that held-back bytes arrive, and checks another answer.
async fn check_under_fault(connection: Connection, kind: FaultKind) {
    let harness = Harness::start().await;
    for token in FAULT_TOKENS {
        let mut running = harness.ask(0, &format!("{connection:?} under {kind:?} at {token}"));
        running.wait_for_tokens(token).await;
        let rule = rule_for(&harness, &running, connection, kind);
        set_rules(&harness, &[rule]).await;
        let (answer, req) = running.wait().await;
        harness.check_answer(&answer, &req).await;
        set_rules(&harness, &[]).await;
        harness
            .cluster
            .wait_ready()
            .await
            .expect("the cluster did not become ready again");
        let next = format!("After {connection:?} under {kind:?} at {token}");
        let (next, next_req) = harness.ask(1, &next).wait().await;
        harness.check_answer(&next, &next_req).await;
        harness.check_answer(&answer, &req).await;
    }
}

fn rule_for(
    harness: &Harness,
    running: &PendingAnswer,
    connection: Connection,
    kind: FaultKind,
) -> FaultRule {
    let [head, middle, last] = [0, 1, 2].map(|stage| harness.engine_for_stage(running, stage));
    match connection {
        Connection::Link => harness.link_rule(head, middle, kind),
        Connection::ReturnLink => harness.link_rule(last, head, kind),
        Connection::Head => FaultRule {
            from: Some(harness.entry_address(0).ip().to_string()),
            to: Some(harness.cluster.engines[head].listed),
            kind,
        },
    }
}

async fn set_rules(harness: &Harness, rules: &[FaultRule]) {
    let set = harness.cluster.set_proxy_faults(rules).await;
    set.expect("the proxy rejected the fault rules");
}

/// The link to the next engine is reset and cannot be reopened.
#[tokio::test(flavor = "multi_thread")]
async fn cut_link() {
    check_under_fault(Connection::Link, FaultKind::Cut).await;
}

/// Activations are lost on the link to the next engine, which stays open.
#[tokio::test(flavor = "multi_thread")]
async fn one_way_cut_link() {
    check_under_fault(Connection::Link, FaultKind::CutToTarget).await;
}

/// The link to the next engine stays open but transfers nothing.
#[tokio::test(flavor = "multi_thread")]
async fn stall_link() {
    check_under_fault(Connection::Link, FaultKind::Stall).await;
}

/// The link to the next engine is slow but loses nothing.
#[tokio::test(flavor = "multi_thread")]
async fn slow_link() {
    check_under_fault(Connection::Link, FaultKind::Delay { ms: 60 }).await;
}

/// The link to the next engine breaks off in the middle of a frame.
#[tokio::test(flavor = "multi_thread")]
async fn link_breaks_inside_a_frame() {
    check_under_fault(Connection::Link, FaultKind::DropAfter { bytes: 45 }).await;
}

/// The link back to the head is reset and cannot be reopened.
#[tokio::test(flavor = "multi_thread")]
async fn cut_return_link() {
    check_under_fault(Connection::ReturnLink, FaultKind::Cut).await;
}

/// Activations are lost on the link back to the head, which stays open.
#[tokio::test(flavor = "multi_thread")]
async fn one_way_cut_return_link() {
    check_under_fault(Connection::ReturnLink, FaultKind::CutToTarget).await;
}

/// The link back to the head stays open but transfers nothing.
#[tokio::test(flavor = "multi_thread")]
async fn stall_return_link() {
    check_under_fault(Connection::ReturnLink, FaultKind::Stall).await;
}

/// The connection from the entry to the head is reset and cannot be reopened.
#[tokio::test(flavor = "multi_thread")]
async fn cut_head_connection() {
    check_under_fault(Connection::Head, FaultKind::Cut).await;
}

/// Frames from the head are lost on its connection to the entry, which stays open.
#[tokio::test(flavor = "multi_thread")]
async fn one_way_cut_head_connection() {
    check_under_fault(Connection::Head, FaultKind::CutFromTarget).await;
}

/// The connection from the entry to the head stays open but transfers nothing.
#[tokio::test(flavor = "multi_thread")]
async fn stall_head_connection() {
    check_under_fault(Connection::Head, FaultKind::Stall).await;
}

/// The connection from the entry to the head is slow but loses nothing.
#[tokio::test(flavor = "multi_thread")]
async fn slow_head_connection() {
    check_under_fault(Connection::Head, FaultKind::Delay { ms: 60 }).await;
}

/// The connection from the entry to the head breaks off in the middle of a frame.
#[tokio::test(flavor = "multi_thread")]
async fn head_connection_breaks_inside_a_frame() {
    check_under_fault(Connection::Head, FaultKind::DropAfter { bytes: 45 }).await;
}

/// Bytes that are no answer, in a body without end, replace what the head sends to the entry.
#[tokio::test(flavor = "multi_thread")]
async fn head_connection_sends_a_body_without_end() {
    check_under_fault(Connection::Head, FaultKind::EndlessBody).await;
}

/// The same in a head of an answer without end.
#[tokio::test(flavor = "multi_thread")]
async fn head_connection_sends_a_head_without_end() {
    check_under_fault(Connection::Head, FaultKind::EndlessHead).await;
}
