//! Engines that are killed or frozen under an answer.

use std::time::Duration;

use crate::support::{TOKENS, Trial};

const HEAD: usize = 0;
const MIDDLE: usize = 1;
const LAST: usize = 2;
/// A token in the middle of an answer.
const MID_STREAM: usize = 20;
/// A token near the end of an answer.
const NEAR_END: usize = TOKENS as usize - 3;

/// How long a frozen head may hold up a first token: well under the time that a
/// start may take, which a head that is only slow has.
const START_PATIENCE: Duration = Duration::from_secs(4);

/// Kills the engine of a stage at a token; the answer goes on and is right.
async fn kill_at(stage: usize, token: usize) {
    let mut trial = Trial::start().await;
    let mut running = trial.ask(0, &format!("Kill stage {stage} at {token}"));
    running.reach(token).await;
    let engine = trial.engine_of(&running, stage);
    let killed = trial.cluster.engines[engine].child.kill();
    killed.expect("the engine can be killed");
    let (answer, req) = running.end().await;
    trial.check(&answer, &req).await;
}

/// Freezes the engine of a stage and thaws it after the answer went on without
/// it; what it then sends reaches nobody, and its next answers are right.
async fn freeze_at(stage: usize, token: usize) {
    let mut trial = Trial::start().await;
    let mut running = trial.ask(0, &format!("Freeze stage {stage} at {token}"));
    running.reach(token).await;
    let engine = trial.engine_of(&running, stage);
    let frozen = trial.cluster.engines[engine].child.freeze();
    frozen.expect("the engine can be frozen");
    running.reach(token + 10).await;
    let thawed = trial.cluster.engines[engine].child.thaw();
    thawed.expect("the engine can be thawed");
    let (answer, req) = running.end().await;
    trial.check(&answer, &req).await;
    trial
        .cluster
        .wait_ready()
        .await
        .expect("the engine is back");
    let (next, next_req) = trial.ask(1, "After the thaw").end().await;
    trial.check(&next, &next_req).await;
    trial.check_only_ran(&[answer, next]).await;
}

/// The head dies when the first token has come.
#[tokio::test(flavor = "multi_thread")]
async fn kill_head_at_first_token() {
    kill_at(HEAD, 1).await;
}

/// The head dies in the middle of an answer.
#[tokio::test(flavor = "multi_thread")]
async fn kill_head_mid_stream() {
    kill_at(HEAD, MID_STREAM).await;
}

/// The head dies shortly before the end of an answer.
#[tokio::test(flavor = "multi_thread")]
async fn kill_head_near_end() {
    kill_at(HEAD, NEAR_END).await;
}

/// The middle engine dies when the first token has come.
#[tokio::test(flavor = "multi_thread")]
async fn kill_middle_at_first_token() {
    kill_at(MIDDLE, 1).await;
}

/// The middle engine dies in the middle of an answer.
#[tokio::test(flavor = "multi_thread")]
async fn kill_middle_mid_stream() {
    kill_at(MIDDLE, MID_STREAM).await;
}

/// The middle engine dies shortly before the end of an answer.
#[tokio::test(flavor = "multi_thread")]
async fn kill_middle_near_end() {
    kill_at(MIDDLE, NEAR_END).await;
}

/// The last engine dies when the first token has come.
#[tokio::test(flavor = "multi_thread")]
async fn kill_last_at_first_token() {
    kill_at(LAST, 1).await;
}

/// The last engine dies in the middle of an answer.
#[tokio::test(flavor = "multi_thread")]
async fn kill_last_mid_stream() {
    kill_at(LAST, MID_STREAM).await;
}

/// The last engine dies shortly before the end of an answer.
#[tokio::test(flavor = "multi_thread")]
async fn kill_last_near_end() {
    kill_at(LAST, NEAR_END).await;
}

/// The head is frozen in the middle of an answer and thawed before its end.
#[tokio::test(flavor = "multi_thread")]
async fn freeze_head_mid_stream() {
    freeze_at(HEAD, MID_STREAM).await;
}

/// The middle engine is frozen in the middle of an answer and thawed before its end.
#[tokio::test(flavor = "multi_thread")]
async fn freeze_middle_mid_stream() {
    freeze_at(MIDDLE, MID_STREAM).await;
}

/// The last engine is frozen in the middle of an answer and thawed before its end.
#[tokio::test(flavor = "multi_thread")]
async fn freeze_last_mid_stream() {
    freeze_at(LAST, MID_STREAM).await;
}

/// A head that is frozen before it answers a start holds an answer up for no
/// longer than a silent stage does.
#[tokio::test(flavor = "multi_thread")]
async fn freeze_head_before_start() {
    let mut trial = Trial::start().await;
    let mut first = trial.ask(0, "Shows which head is used");
    first.reach(1).await;
    let head = trial.engine_of(&first, HEAD);
    let (first, _) = first.end().await;
    assert_eq!(first.end, pistachioyard_standins::GenerateEnd::Complete);
    let frozen = trial.cluster.engines[head].child.freeze();
    frozen.expect("the engine can be frozen");
    let running: Vec<_> = (0..8)
        .map(|place| trial.ask(place % 2, &format!("Frozen head {place}")))
        .collect();
    let mut answers = Vec::new();
    for running in running {
        let (answer, req) = running.end().await;
        let first = answer.token_times.first().map(|at| *at - answer.sent_at);
        println!("first token after {first:?}");
        assert!(
            first.is_some_and(|first| first < START_PATIENCE),
            "{first:?}"
        );
        answers.push((answer, req));
    }
    let thawed = trial.cluster.engines[head].child.thaw();
    thawed.expect("the engine can be thawed");
    for (answer, req) in &answers {
        trial.check(answer, req).await;
    }
}

/// Many answers at once on all engines, one of which dies: each is whole and its own.
#[tokio::test(flavor = "multi_thread")]
async fn kill_under_many_answers() {
    let mut trial = Trial::start().await;
    let mut running: Vec<_> = (0..24)
        .map(|place| trial.ask(place % 2, &format!("One of many, {place}")))
        .collect();
    running[0].reach(MID_STREAM).await;
    let engine = trial.engine_of(&running[0], MIDDLE);
    let killed = trial.cluster.engines[engine].child.kill();
    killed.expect("the engine can be killed");
    let mut answers = Vec::new();
    for running in running {
        answers.push(running.end().await);
    }
    let logs = trial.runs().await;
    for (answer, req) in &answers {
        trial.check_in(&logs, answer, req);
    }
    let answers: Vec<_> = answers.into_iter().map(|(answer, _)| answer).collect();
    trial.check_only_ran(&answers).await;
}

/// A head that died since its last report is chosen; nothing of the request reached
/// it, and another head takes it.
#[tokio::test(flavor = "multi_thread")]
async fn kill_head_before_start() {
    let mut trial = Trial::start().await;
    let mut first = trial.ask(0, "Shows which head is used");
    first.reach(1).await;
    let head = trial.engine_of(&first, HEAD);
    let (first, _) = first.end().await;
    assert_eq!(first.end, pistachioyard_standins::GenerateEnd::Complete);
    let killed = trial.cluster.engines[head].child.kill();
    killed.expect("the engine can be killed");
    let running: Vec<_> = (0..8)
        .map(|place| trial.ask(place % 2, &format!("Dead head {place}")))
        .collect();
    for running in running {
        let (answer, req) = running.end().await;
        trial.check(&answer, &req).await;
    }
}

/// The head dies when the caller has every token, maybe before the end event.
#[tokio::test(flavor = "multi_thread")]
async fn kill_head_at_end_event() {
    kill_at(HEAD, TOKENS as usize).await;
}

/// The middle engine and then the one that took its place die under one answer.
#[tokio::test(flavor = "multi_thread")]
async fn kill_two_engines_in_turn() {
    let mut trial = Trial::start_plan(crate::support::plan_with_copies(3)).await;
    let mut running = trial.ask(0, "Two engines die in turn");
    for token in [15, 35] {
        running.reach(token).await;
        let engine = trial.running_engine(&running, MIDDLE).await;
        let killed = trial.cluster.engines[engine].child.kill();
        killed.expect("the engine can be killed");
    }
    let (answer, req) = running.end().await;
    trial.check(&answer, &req).await;
}

/// All engines of a data centre die at the same time under answers that have just
/// begun; none of these is taken for what killed them.
#[tokio::test(flavor = "multi_thread")]
async fn kill_data_centre_at_first_token() {
    let mut trial = Trial::start_plan(crate::support::plan_with_copies(4)).await;
    let mut running: Vec<_> = (0..24)
        .map(|place| trial.ask(place % 2, &format!("Through a lost data centre, {place}")))
        .collect();
    running[0].reach(1).await;
    for engine in &mut trial.cluster.engines {
        if engine.data_centre == 0 {
            engine.child.kill().expect("the engine can be killed");
        }
    }
    for running in running {
        let (answer, req) = running.end().await;
        trial.check(&answer, &req).await;
    }
}
