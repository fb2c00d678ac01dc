//! Engines that are killed or frozen while they run a request.

use std::time::Duration;

use crate::support::{Harness, TOKENS};

const HEAD: usize = 0;
const MIDDLE: usize = 1;
const LAST: usize = 2;
/// The token count at which a fault strikes in the middle of an answer.
const MID_STREAM: usize = 20;
/// The token count at which a fault strikes near the end of an answer.
const NEAR_END: usize = TOKENS as usize - 3;

/// The longest that a frozen head may delay the first token. It is well below the
/// start timeout, all of which a head that is merely slow may use.
const MAX_FIRST_TOKEN_WAIT: Duration = Duration::from_secs(4);

/// Kills the engine of a stage at a token and checks that failover completes the answer.
async fn kill_stage_at(stage: usize, token: usize) {
    let mut harness = Harness::start().await;
    let mut running = harness.ask(0, &format!("Kill stage {stage} at {token}"));
    running.wait_for_tokens(token).await;
    let engine = harness.engine_for_stage(&running, stage);
    let killed = harness.cluster.engines[engine].child.kill();
    killed.expect("failed to kill the engine");
    let (answer, req) = running.wait().await;
    harness.check_answer(&answer, &req).await;
}

/// Freezes the engine of a stage and thaws it once failover has continued the answer.
/// Nothing that the thawed engine still sends may reach a caller, and the next answer
/// must be correct.
async fn freeze_stage_at(stage: usize, token: usize) {
    let mut harness = Harness::start().await;
    let mut running = harness.ask(0, &format!("Freeze stage {stage} at {token}"));
    running.wait_for_tokens(token).await;
    let engine = harness.engine_for_stage(&running, stage);
    let frozen = harness.cluster.engines[engine].child.freeze();
    frozen.expect("failed to freeze the engine");
    running.wait_for_tokens(token + 10).await;
    let thawed = harness.cluster.engines[engine].child.thaw();
    thawed.expect("failed to thaw the engine");
    let (answer, req) = running.wait().await;
    harness.check_answer(&answer, &req).await;
    harness
        .cluster
        .wait_ready()
        .await
        .expect("the cluster did not become ready again");
    let (next, next_req) = harness.ask(1, "After the thaw").wait().await;
    harness.check_answer(&next, &next_req).await;
    harness.check_only_streams_of(&[answer, next]).await;
}

/// The head is killed after the first token.
#[tokio::test(flavor = "multi_thread")]
async fn kill_head_at_first_token() {
    kill_stage_at(HEAD, 1).await;
}

/// The head is killed in the middle of an answer.
#[tokio::test(flavor = "multi_thread")]
async fn kill_head_mid_stream() {
    kill_stage_at(HEAD, MID_STREAM).await;
}

/// The head is killed shortly before the end of an answer.
#[tokio::test(flavor = "multi_thread")]
async fn kill_head_near_end() {
    kill_stage_at(HEAD, NEAR_END).await;
}

/// The middle engine is killed after the first token.
#[tokio::test(flavor = "multi_thread")]
async fn kill_middle_at_first_token() {
    kill_stage_at(MIDDLE, 1).await;
}

/// The middle engine is killed in the middle of an answer.
#[tokio::test(flavor = "multi_thread")]
async fn kill_middle_mid_stream() {
    kill_stage_at(MIDDLE, MID_STREAM).await;
}

/// The middle engine is killed shortly before the end of an answer.
#[tokio::test(flavor = "multi_thread")]
async fn kill_middle_near_end() {
    kill_stage_at(MIDDLE, NEAR_END).await;
}

/// The last engine is killed after the first token.
#[tokio::test(flavor = "multi_thread")]
async fn kill_last_at_first_token() {
    kill_stage_at(LAST, 1).await;
}

/// The last engine is killed in the middle of an answer.
#[tokio::test(flavor = "multi_thread")]
async fn kill_last_mid_stream() {
    kill_stage_at(LAST, MID_STREAM).await;
}

/// The last engine is killed shortly before the end of an answer.
#[tokio::test(flavor = "multi_thread")]
async fn kill_last_near_end() {
    kill_stage_at(LAST, NEAR_END).await;
}

/// The head is frozen in the middle of an answer and thawed before its end.
#[tokio::test(flavor = "multi_thread")]
async fn freeze_head_mid_stream() {
    freeze_stage_at(HEAD, MID_STREAM).await;
}

/// The middle engine is frozen in the middle of an answer and thawed before its end.
#[tokio::test(flavor = "multi_thread")]
async fn freeze_middle_mid_stream() {
    freeze_stage_at(MIDDLE, MID_STREAM).await;
}

/// The last engine is frozen in the middle of an answer and thawed before its end.
#[tokio::test(flavor = "multi_thread")]
async fn freeze_last_mid_stream() {
    freeze_stage_at(LAST, MID_STREAM).await;
}

/// A head that is frozen before it answers a start request delays the first token by
/// less than [`MAX_FIRST_TOKEN_WAIT`], like a stage that falls silent later.
#[tokio::test(flavor = "multi_thread")]
async fn freeze_head_before_start() {
    let mut harness = Harness::start().await;
    let mut first = harness.ask(0, "Shows which head is used");
    first.wait_for_tokens(1).await;
    let head = harness.engine_for_stage(&first, HEAD);
    let (first, _) = first.wait().await;
    assert_eq!(first.end, pistachioyard_standins::GenerateEnd::Complete);
    let frozen = harness.cluster.engines[head].child.freeze();
    frozen.expect("failed to freeze the engine");
    let running: Vec<_> = (0..8)
        .map(|index| harness.ask(index % 2, &format!("Frozen head {index}")))
        .collect();
    let mut answers = Vec::new();
    for running in running {
        let (answer, req) = running.wait().await;
        let first = answer.token_times.first().map(|at| *at - answer.sent_at);
        println!("first token after {first:?}");
        assert!(
            first.is_some_and(|first| first < MAX_FIRST_TOKEN_WAIT),
            "{first:?}"
        );
        answers.push((answer, req));
    }
    let thawed = harness.cluster.engines[head].child.thaw();
    thawed.expect("failed to thaw the engine");
    for (answer, req) in &answers {
        harness.check_answer(answer, req).await;
    }
}

/// One engine is killed while all engines run many answers: each caller gets its own
/// answer, complete and correct.
#[tokio::test(flavor = "multi_thread")]
async fn kill_under_many_answers() {
    let mut harness = Harness::start().await;
    let mut running: Vec<_> = (0..24)
        .map(|index| harness.ask(index % 2, &format!("One of many, {index}")))
        .collect();
    running[0].wait_for_tokens(MID_STREAM).await;
    let engine = harness.engine_for_stage(&running[0], MIDDLE);
    let killed = harness.cluster.engines[engine].child.kill();
    killed.expect("failed to kill the engine");
    let mut answers = Vec::new();
    for running in running {
        answers.push(running.wait().await);
    }
    let logs = harness.run_logs().await;
    for (answer, req) in &answers {
        harness.check_answer_in_logs(&logs, answer, req);
    }
    let answers: Vec<_> = answers.into_iter().map(|(answer, _)| answer).collect();
    harness.check_only_streams_of(&answers).await;
}

/// A head that was killed after its last report is still selected. Nothing of the
/// request has reached it, so another head serves the request.
#[tokio::test(flavor = "multi_thread")]
async fn kill_head_before_start() {
    let mut harness = Harness::start().await;
    let mut first = harness.ask(0, "Shows which head is used");
    first.wait_for_tokens(1).await;
    let head = harness.engine_for_stage(&first, HEAD);
    let (first, _) = first.wait().await;
    assert_eq!(first.end, pistachioyard_standins::GenerateEnd::Complete);
    let killed = harness.cluster.engines[head].child.kill();
    killed.expect("failed to kill the engine");
    let running: Vec<_> = (0..8)
        .map(|index| harness.ask(index % 2, &format!("Dead head {index}")))
        .collect();
    for running in running {
        let (answer, req) = running.wait().await;
        harness.check_answer(&answer, &req).await;
    }
}

/// The head is killed once the caller has every token, possibly before the end event.
#[tokio::test(flavor = "multi_thread")]
async fn kill_head_at_end_event() {
    kill_stage_at(HEAD, TOKENS as usize).await;
}

/// The middle engine is killed, then its replacement, under the same answer.
#[tokio::test(flavor = "multi_thread")]
async fn kill_two_engines_in_turn() {
    let mut harness = Harness::start_with(crate::support::plan_with_replicas(3)).await;
    let mut running = harness.ask(0, "Two engines die in turn");
    for token in [15, 35] {
        running.wait_for_tokens(token).await;
        let engine = harness.latest_engine_for_stage(&running, MIDDLE).await;
        let killed = harness.cluster.engines[engine].child.kill();
        killed.expect("failed to kill the engine");
    }
    let (answer, req) = running.wait().await;
    harness.check_answer(&answer, &req).await;
}

/// All engines of a data centre are killed at once while they run requests that have
/// just started. None of these requests may be quarantined as the cause.
#[tokio::test(flavor = "multi_thread")]
async fn kill_data_centre_at_first_token() {
    let mut harness = Harness::start_with(crate::support::plan_with_replicas(4)).await;
    let mut running: Vec<_> = (0..24)
        .map(|index| harness.ask(index % 2, &format!("Through a lost data centre, {index}")))
        .collect();
    running[0].wait_for_tokens(1).await;
    for engine in &mut harness.cluster.engines {
        if engine.data_centre == 0 {
            engine.child.kill().expect("failed to kill the engine");
        }
    }
    for running in running {
        let (answer, req) = running.wait().await;
        harness.check_answer(&answer, &req).await;
    }
}
