//! Entries that are lost, frozen or left by their callers under an answer.

use std::collections::BTreeSet;
use std::time::Duration;

use pistachioyard_standins::{FaultKind, FaultRule, GenerateEnd, PlatformFaults};
use pistachioyard_wire::{Outcome, ProblemKind};

use crate::support::{TOKENS, Trial, is_not_run, request};

/// A token in the middle of an answer.
const MID_STREAM: usize = 20;

/// The most attempts of a stream that two entries have at the same time.
const MAX_CROSSING_ATTEMPTS: usize = 5;

/// An entry dies under an answer, which its caller resumes at another.
#[tokio::test(flavor = "multi_thread")]
async fn kill_entry_mid_stream() {
    let mut trial = Trial::start().await;
    let mut running = trial.ask(0, "Through an entry that dies");
    running.reach(MID_STREAM).await;
    let killed = trial.cluster.entries[0].child.kill();
    killed.expect("the entry can be killed");
    let (broken, mut req) = running.end().await;
    assert_eq!(broken.end, GenerateEnd::Broken);
    let asked = req.clone();
    req.resume = broken.resume.clone();
    req.received = broken.tokens.clone();
    let (answer, _) = trial.ask_for(1, req).end().await;
    trial.check(&answer, &asked).await;
}

/// An entry is frozen under an answer, which its caller resumes at another; thawed,
/// the entry does not end or change what the other delivers.
#[tokio::test(flavor = "multi_thread")]
async fn freeze_entry_mid_stream() {
    let mut trial = Trial::start().await;
    let mut running = trial.ask(0, "Through an entry that is frozen");
    running.reach(MID_STREAM).await;
    let frozen = trial.cluster.entries[0].child.freeze();
    frozen.expect("the entry can be frozen");
    let asked = running.req.clone();
    let mut req = asked.clone();
    req.resume = Some(running.token().to_text());
    let mut resumed = trial.ask_for(1, req);
    resumed.reach(MID_STREAM).await;
    let thawed = trial.cluster.entries[0].child.thaw();
    thawed.expect("the entry can be thawed");
    let (answer, _) = resumed.end().await;
    trial.check(&answer, &asked).await;
    let (old, _) = running.end().await;
    let is_honest = match &old.end {
        GenerateEnd::Complete => old.is_correct(crate::support::DEPLOYMENT, &asked),
        GenerateEnd::Problem(problem) => problem.outcome == Outcome::Failed,
        _ => false,
    };
    assert!(is_honest, "the older attempt ended as {:?}", old.end);
}

/// Requests wait for admission at an entry that dies; nothing is said of them, and
/// the caller's next entry serves them.
#[tokio::test(flavor = "multi_thread")]
async fn kill_entry_before_admission() {
    let mut trial = Trial::start().await;
    let killed = trial.cluster.entries[0].child.kill();
    killed.expect("the entry can be killed");
    let req = request("At an entry that is dead");
    let entries = [trial.entry(0), trial.entry(1)];
    let answer = trial.caller.generate_resuming(&entries, &req).await;
    trial.check(&answer, &req).await;
}

/// A caller that has every token but not the end event resumes and gets the end.
#[tokio::test(flavor = "multi_thread")]
async fn resume_with_every_token() {
    let trial = Trial::start().await;
    let (whole, req) = trial.ask(0, "Only the end is missing").end().await;
    let mut again = req.clone();
    again.resume = whole.resume.clone();
    again.received = whole.tokens.clone();
    let (answer, _) = trial.ask_for(1, again).end().await;
    trial.check(&answer, &req).await;
}

/// A caller resumes at a second entry while the first still streams, since it
/// cannot know that its caller has gone: the newer attempt wins and is whole, the
/// older one ends without a word of the newer.
#[tokio::test(flavor = "multi_thread")]
async fn two_attempts_cross() {
    let trial = Trial::start().await;
    for round in 0..4 {
        let mut old = trial.ask(0, &format!("Two attempts cross, {round}"));
        old.reach(MID_STREAM).await;
        let token = old.token();
        let mut req = old.req.clone();
        req.resume = Some(token.to_text());
        let tokens = pistachioyard_standins::reference_tokens(
            crate::support::DEPLOYMENT.model(),
            crate::support::DEPLOYMENT.version(),
            &req.prompt,
            crate::support::DEPLOYMENT.layers(),
            10,
        );
        req.received = tokens;
        let asked = old.req.clone();
        let (answer, _) = trial.ask_for(1, req).end().await;
        trial.check(&answer, &asked).await;
        let (old, _) = old.end().await;
        let is_honest = match &old.end {
            GenerateEnd::Complete => old.is_correct(crate::support::DEPLOYMENT, &asked),
            GenerateEnd::Problem(problem) => problem.outcome == Outcome::Failed,
            _ => false,
        };
        assert!(is_honest, "the older attempt ended as {:?}", old.end);
        let logs = trial.runs().await;
        let runs = logs.values().flatten().filter(|r| r.stream == token.stream);
        let attempts: BTreeSet<_> = runs.map(|run| run.attempt).collect();
        println!("round {round}: {} attempts", attempts.len());
        assert!(attempts.len() <= MAX_CROSSING_ATTEMPTS, "{attempts:?}");
    }
}

/// A caller cuts its connection; the engines stop its stream, and what it asks
/// next at another entry goes on from there.
#[tokio::test(flavor = "multi_thread")]
async fn caller_cuts_and_resumes() {
    let trial = Trial::start().await;
    let mut running = trial.ask(0, "A caller that cuts");
    running.reach(MID_STREAM).await;
    let token = running.token();
    running.cut();
    let asked = running.req.clone();
    let mut req = asked.clone();
    req.resume = Some(token.to_text());
    let (answer, _) = trial.ask_for(1, req).end().await;
    trial.check(&answer, &asked).await;
}

/// A resume that is refused is never said to be not run: a part of it has run.
#[tokio::test(flavor = "multi_thread")]
async fn refused_resume_is_not_called_not_run() {
    let trial = Trial::start().await;
    let mut running = trial.ask(0, "A resume that is refused");
    running.reach(MID_STREAM).await;
    let mut req = running.req.clone();
    req.resume = Some(running.token().to_text());
    req.workspace = "no-such-workspace".try_into().expect("the name is valid");
    let (refused, _) = trial.ask_for(1, req).end().await;
    assert!(
        matches!(&refused.end, GenerateEnd::Problem(p) if p.outcome == Outcome::Failed),
        "{:?}",
        refused.end
    );
    let (answer, req) = running.end().await;
    trial.check(&answer, &req).await;
}

/// An entry that was frozen for longer than the in-force time refuses new work
/// until its configuration is confirmed, then serves again.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_entry_thaws() {
    let mut trial = Trial::start().await;
    // Nothing can confirm the configuration after the thaw.
    let cut = |to| FaultRule {
        from: Some(trial.entry(0).ip().to_string()),
        to: Some(to),
        kind: FaultKind::Cut,
    };
    let rules = [
        cut(trial.cluster.listed_platform),
        cut(trial.cluster.entries[1].advertised_peer),
        FaultRule {
            from: None,
            to: Some(trial.cluster.entries[0].advertised_peer),
            kind: FaultKind::Cut,
        },
    ];
    let frozen = trial.cluster.entries[0].child.freeze();
    frozen.expect("the entry can be frozen");
    let set = trial.cluster.set_proxy_faults(&rules).await;
    set.expect("the proxy takes its rules");
    tokio::time::sleep(Duration::from_secs(4)).await;
    let asked_while_frozen = trial.ask(0, "Asked while the entry is frozen");
    tokio::time::sleep(Duration::from_millis(200)).await;
    let thawed = trial.cluster.entries[0].child.thaw();
    thawed.expect("the entry can be thawed");
    let (refused, _) = asked_while_frozen.end().await;
    let (later, _) = trial.ask(0, "Asked after the thaw").end().await;
    for answer in [&refused, &later] {
        assert!(
            matches!(&answer.end, GenerateEnd::Problem(p) if p.kind == ProblemKind::NoConfig),
            "{:?}",
            answer.end
        );
        assert!(is_not_run(answer));
    }
    trial.check_only_ran(&[]).await;
    let set = trial.cluster.set_proxy_faults(&[]).await;
    set.expect("the proxy takes its rules");
    trial.cluster.wait_ready().await.expect("the entry is back");
    let (answer, req) = trial.ask(0, "Asked once it is confirmed").end().await;
    trial.check(&answer, &req).await;
}

/// Answers go on and new ones begin while the platform is down.
#[tokio::test(flavor = "multi_thread")]
async fn platform_down() {
    let trial = Trial::start().await;
    let mut running = trial.ask(0, "Begun before the outage");
    running.reach(MID_STREAM).await;
    let down = PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    };
    let set = trial.cluster.set_platform_faults(&down).await;
    set.expect("the platform takes its faults");
    let (answer, req) = running.end().await;
    trial.check(&answer, &req).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    for entry in 0..2 {
        let (answer, req) = trial.ask(entry, "Begun in the outage").end().await;
        trial.check(&answer, &req).await;
    }
}

/// Answers go on and new ones begin while the platform is slow.
#[tokio::test(flavor = "multi_thread")]
async fn platform_slow() {
    let trial = Trial::start().await;
    let mut running = trial.ask(0, "Begun before the platform is slow");
    running.reach(MID_STREAM).await;
    let slow = PlatformFaults {
        slow_ms: 3_000,
        ..PlatformFaults::default()
    };
    let set = trial.cluster.set_platform_faults(&slow).await;
    set.expect("the platform takes its faults");
    let (answer, req) = running.end().await;
    trial.check(&answer, &req).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    for entry in 0..2 {
        let (answer, req) = trial.ask(entry, "Begun while it is slow").end().await;
        trial.check(&answer, &req).await;
    }
}

/// Requests that are refused under overload ran nowhere, and the rest are whole.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_ran_nowhere() {
    let trial = Trial::start().await;
    let running: Vec<_> = (0..160)
        .map(|place| {
            let mut req = request(&format!("More than fits, {place}"));
            req.max_tokens = TOKENS * 2;
            trial.ask_once_for(place % 2, req)
        })
        .collect();
    let mut answers = Vec::new();
    let mut whole = Vec::new();
    for running in running {
        let (answer, req) = running.end().await;
        if !is_not_run(&answer) {
            whole.push((answer.clone(), req));
        }
        answers.push(answer);
    }
    let refused = answers.len() - whole.len();
    let logs = trial.runs().await;
    for (answer, req) in &whole {
        trial.check_in(&logs, answer, req);
    }
    assert!(refused > 0, "nothing was refused, so nothing is proved");
    trial.check_only_ran(&answers).await;
}
