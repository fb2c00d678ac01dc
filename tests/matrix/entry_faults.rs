//! Entries that are killed, frozen or disconnected from their callers during an answer.

use std::collections::BTreeSet;
use std::time::Duration;

use pistachioyard_standins::{FaultKind, FaultRule, GenerateEnd, PlatformFaults};
use pistachioyard_wire::{Outcome, ProblemKind};

use crate::support::{Harness, TOKENS, is_not_run, request};

/// The token count at which a fault strikes in the middle of an answer.
const MID_STREAM: usize = 20;

/// The maximum number of attempts of a stream while two entries run it concurrently.
const MAX_CROSSING_ATTEMPTS: usize = 5;

/// An entry is killed during an answer; the caller resumes the answer at another entry.
#[tokio::test(flavor = "multi_thread")]
async fn kill_entry_mid_stream() {
    let mut harness = Harness::start().await;
    let mut running = harness.ask(0, "Through an entry that dies");
    running.wait_for_tokens(MID_STREAM).await;
    let killed = harness.cluster.entries[0].child.kill();
    killed.expect("failed to kill the entry");
    let (broken, mut req) = running.wait().await;
    assert_eq!(broken.end, GenerateEnd::Broken);
    let original_req = req.clone();
    req.resume = broken.resume.clone();
    req.received = broken.tokens.clone();
    let (answer, _) = harness.send_request(1, req).wait().await;
    harness.check_answer(&answer, &original_req).await;
}

/// An entry is frozen during an answer, and the caller resumes it at another entry. Once
/// thawed, the first entry neither ends nor changes what the other entry delivers.
#[tokio::test(flavor = "multi_thread")]
async fn freeze_entry_mid_stream() {
    let mut harness = Harness::start().await;
    let mut running = harness.ask(0, "Through an entry that is frozen");
    running.wait_for_tokens(MID_STREAM).await;
    let frozen = harness.cluster.entries[0].child.freeze();
    frozen.expect("failed to freeze the entry");
    let original_req = running.req.clone();
    let mut req = original_req.clone();
    req.resume = Some(running.resume_token().to_text());
    let mut resumed = harness.send_request(1, req);
    resumed.wait_for_tokens(MID_STREAM).await;
    let thawed = harness.cluster.entries[0].child.thaw();
    thawed.expect("failed to thaw the entry");
    let (answer, _) = resumed.wait().await;
    harness.check_answer(&answer, &original_req).await;
    let (older, _) = running.wait().await;
    let is_allowed = match &older.end {
        GenerateEnd::Complete => older.is_correct(crate::support::DEPLOYMENT, &original_req),
        GenerateEnd::Problem(problem) => problem.outcome == Outcome::Failed,
        _ => false,
    };
    assert!(is_allowed, "the older attempt ended as {:?}", older.end);
}

/// A request goes to an entry that is dead before admission, so the caller gets no
/// response there; the next entry that the caller tries serves the request.
#[tokio::test(flavor = "multi_thread")]
async fn kill_entry_before_admission() {
    let mut harness = Harness::start().await;
    let killed = harness.cluster.entries[0].child.kill();
    killed.expect("failed to kill the entry");
    let req = request("At an entry that is dead");
    let entries = [harness.entry_address(0), harness.entry_address(1)];
    let answer = harness.caller.generate_resuming(&entries, &req).await;
    harness.check_answer(&answer, &req).await;
}

/// A caller that has every token but no end event resumes and gets the end event.
#[tokio::test(flavor = "multi_thread")]
async fn resume_with_every_token() {
    let harness = Harness::start().await;
    let (whole, req) = harness.ask(0, "Only the end is missing").wait().await;
    let mut resume_req = req.clone();
    resume_req.resume = whole.resume.clone();
    resume_req.received = whole.tokens.clone();
    let (answer, _) = harness.send_request(1, resume_req).wait().await;
    harness.check_answer(&answer, &req).await;
}

/// A caller resumes at a second entry while the first one still streams, because the
/// first has not noticed that its caller is gone. The newer attempt wins and is complete.
/// The older one ends without anything from the newer.
#[tokio::test(flavor = "multi_thread")]
async fn two_attempts_cross() {
    let harness = Harness::start().await;
    for round in 0..4 {
        let mut older = harness.ask(0, &format!("Two attempts cross, {round}"));
        older.wait_for_tokens(MID_STREAM).await;
        let token = older.resume_token();
        let mut req = older.req.clone();
        req.resume = Some(token.to_text());
        let tokens = pistachioyard_standins::reference_tokens(
            crate::support::DEPLOYMENT.model(),
            crate::support::DEPLOYMENT.version(),
            &req.prompt,
            crate::support::DEPLOYMENT.layers(),
            10,
        );
        req.received = tokens;
        let original_req = older.req.clone();
        let (answer, _) = harness.send_request(1, req).wait().await;
        harness.check_answer(&answer, &original_req).await;
        let (older, _) = older.wait().await;
        let is_allowed = match &older.end {
            GenerateEnd::Complete => older.is_correct(crate::support::DEPLOYMENT, &original_req),
            GenerateEnd::Problem(problem) => problem.outcome == Outcome::Failed,
            _ => false,
        };
        assert!(is_allowed, "the older attempt ended as {:?}", older.end);
        let logs = harness.run_logs().await;
        let runs = logs.values().flatten().filter(|r| r.stream == token.stream);
        let attempts: BTreeSet<_> = runs.map(|run| run.attempt).collect();
        println!("round {round}: {} attempts", attempts.len());
        assert!(attempts.len() <= MAX_CROSSING_ATTEMPTS, "{attempts:?}");
    }
}

/// A caller disconnects during an answer and resumes it at another entry without any
/// received tokens. It gets the complete answer.
#[tokio::test(flavor = "multi_thread")]
async fn caller_cuts_and_resumes() {
    let harness = Harness::start().await;
    let mut running = harness.ask(0, "A caller that cuts");
    running.wait_for_tokens(MID_STREAM).await;
    let token = running.resume_token();
    running.disconnect();
    let original_req = running.req.clone();
    let mut req = original_req.clone();
    req.resume = Some(token.to_text());
    let (answer, _) = harness.send_request(1, req).wait().await;
    harness.check_answer(&answer, &original_req).await;
}

/// A refused resume is never reported as not run, because part of the request has run.
#[tokio::test(flavor = "multi_thread")]
async fn refused_resume_is_not_called_not_run() {
    let harness = Harness::start().await;
    let mut running = harness.ask(0, "A resume that is refused");
    running.wait_for_tokens(MID_STREAM).await;
    let mut req = running.req.clone();
    req.resume = Some(running.resume_token().to_text());
    req.workspace = "no-such-workspace"
        .try_into()
        .expect("the workspace name is malformed");
    let (refused, _) = harness.send_request(1, req).wait().await;
    assert!(
        matches!(&refused.end, GenerateEnd::Problem(p) if p.outcome == Outcome::Failed),
        "{:?}",
        refused.end
    );
    let (answer, req) = running.wait().await;
    harness.check_answer(&answer, &req).await;
}

/// An entry that was frozen for longer than its configuration stays in force refuses
/// new work until the configuration is confirmed, then serves again.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_entry_thaws() {
    let mut harness = Harness::start().await;
    // Cuts every connection that could confirm the configuration after the thaw.
    let cut_to = |to| FaultRule {
        from: Some(harness.entry_address(0).ip().to_string()),
        to: Some(to),
        kind: FaultKind::Cut,
    };
    let rules = [
        cut_to(harness.cluster.listed_platform),
        cut_to(harness.cluster.entries[1].advertised_peer),
        FaultRule {
            from: None,
            to: Some(harness.cluster.entries[0].advertised_peer),
            kind: FaultKind::Cut,
        },
    ];
    let frozen = harness.cluster.entries[0].child.freeze();
    frozen.expect("failed to freeze the entry");
    let set = harness.cluster.set_proxy_faults(&rules).await;
    set.expect("the proxy rejected the fault rules");
    tokio::time::sleep(Duration::from_secs(4)).await;
    let sent_while_frozen = harness.ask(0, "Asked while the entry is frozen");
    tokio::time::sleep(Duration::from_millis(200)).await;
    let thawed = harness.cluster.entries[0].child.thaw();
    thawed.expect("failed to thaw the entry");
    let (refused, _) = sent_while_frozen.wait().await;
    let (later, _) = harness.ask(0, "Asked after the thaw").wait().await;
    for answer in [&refused, &later] {
        assert!(
            matches!(&answer.end, GenerateEnd::Problem(p) if p.kind == ProblemKind::NoConfig),
            "{:?}",
            answer.end
        );
        assert!(is_not_run(answer));
    }
    harness.check_only_streams_of(&[]).await;
    let set = harness.cluster.set_proxy_faults(&[]).await;
    set.expect("the proxy rejected the fault rules");
    harness
        .cluster
        .wait_ready()
        .await
        .expect("the cluster did not become ready again");
    let (answer, req) = harness.ask(0, "Asked once it is confirmed").wait().await;
    harness.check_answer(&answer, &req).await;
}

/// Answers in progress continue and new ones start while the platform is down.
#[tokio::test(flavor = "multi_thread")]
async fn platform_down() {
    let harness = Harness::start().await;
    let mut running = harness.ask(0, "Begun before the outage");
    running.wait_for_tokens(MID_STREAM).await;
    let down = PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    };
    let set = harness.cluster.set_platform_faults(&down).await;
    set.expect("the platform rejected the faults");
    let (answer, req) = running.wait().await;
    harness.check_answer(&answer, &req).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    for entry in 0..2 {
        let (answer, req) = harness.ask(entry, "Begun in the outage").wait().await;
        harness.check_answer(&answer, &req).await;
    }
}

/// Answers in progress continue and new ones start while the platform is slow.
#[tokio::test(flavor = "multi_thread")]
async fn platform_slow() {
    let harness = Harness::start().await;
    let mut running = harness.ask(0, "Begun before the platform is slow");
    running.wait_for_tokens(MID_STREAM).await;
    let slow = PlatformFaults {
        slow_ms: 3_000,
        ..PlatformFaults::default()
    };
    let set = harness.cluster.set_platform_faults(&slow).await;
    set.expect("the platform rejected the faults");
    let (answer, req) = running.wait().await;
    harness.check_answer(&answer, &req).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    for entry in 0..2 {
        let (answer, req) = harness.ask(entry, "Begun while it is slow").wait().await;
        harness.check_answer(&answer, &req).await;
    }
}

/// Requests that are refused under overload ran on no engine; all others are complete.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_ran_nowhere() {
    let harness = Harness::start().await;
    let running: Vec<_> = (0..160)
        .map(|index| {
            let mut req = request(&format!("More than fits, {index}"));
            req.max_tokens = TOKENS * 2;
            harness.send_request_once(index % 2, req)
        })
        .collect();
    let mut answers = Vec::new();
    let mut whole = Vec::new();
    for running in running {
        let (answer, req) = running.wait().await;
        if !is_not_run(&answer) {
            whole.push((answer.clone(), req));
        }
        answers.push(answer);
    }
    let refused = answers.len() - whole.len();
    let logs = harness.run_logs().await;
    for (answer, req) in &whole {
        harness.check_answer_in_logs(&logs, answer, req);
    }
    assert!(
        refused > 0,
        "no request was refused, so the test checks nothing"
    );
    harness.check_only_streams_of(&answers).await;
}
