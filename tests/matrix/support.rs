//! The harness of the matrix: a cluster, pending answers and the checks of their results.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use pistachioyard_standins::{
    Answer, Caller, Cluster, ClusterPlan, ClusterSize, Deployment, EngineFaults, FaultKind,
    FaultRule, GenerateEnd, RunRecord, draft_request,
};
use pistachioyard_wire::{Attempt, GenerateRequest, Outcome, ProblemKind, ResumeToken, StreamId};
use tokio::sync::{Semaphore, SemaphorePermit, watch};
use tokio::task::JoinHandle;

/// Limits how many clusters run at the same time.
static CLUSTER_PERMITS: Semaphore = Semaphore::const_new(3);

/// The deployment that the matrix tests.
pub(crate) const DEPLOYMENT: Deployment = Deployment::Obnova;
/// The number of tokens of an answer.
pub(crate) const TOKENS: u32 = 60;
/// The default timeout of waits. It guards against hangs; latency bounds are checked
/// by the bench.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a cluster and sends requests to its entries.
pub(crate) struct Harness {
    pub(crate) cluster: Cluster,
    pub(crate) caller: Caller,
    _permit: SemaphorePermit<'static>,
}

/// Tracks an answer that a caller task is receiving.
pub(crate) struct PendingAnswer {
    pub(crate) req: GenerateRequest,
    progress: watch::Receiver<Progress>,
    task: JoinHandle<Answer>,
}

/// What the caller has received of an answer so far.
#[derive(Clone, Debug, Default)]
struct Progress {
    resume: Option<String>,
    count: usize,
}

impl Harness {
    /// Starts a small cluster behind the fault proxy.
    pub(crate) async fn start() -> Self {
        Self::start_with(plan()).await
    }

    /// Starts the cluster that a plan describes.
    pub(crate) async fn start_with(plan: ClusterPlan) -> Self {
        let permit = CLUSTER_PERMITS
            .acquire()
            .await
            .expect("the semaphore was closed");
        let cluster = Cluster::start(plan)
            .await
            .expect("the cluster did not start");
        Self {
            cluster,
            caller: Caller::new(WAIT_TIMEOUT),
            _permit: permit,
        }
    }

    /// Returns the address at which an entry accepts callers.
    pub(crate) fn entry_address(&self, index: usize) -> SocketAddr {
        self.cluster.entries[index].caller
    }

    /// Sends a prompt to an entry.
    pub(crate) fn ask(&self, entry: usize, prompt: &str) -> PendingAnswer {
        self.send_request(entry, request(prompt))
    }

    /// Sends a request to an entry; a caller that is refused for overload retries after
    /// the delay that the refusal names.
    pub(crate) fn send_request(&self, entry: usize, req: GenerateRequest) -> PendingAnswer {
        self.spawn_request(entry, req, true)
    }

    /// Sends a request to an entry, without retries.
    pub(crate) fn send_request_once(&self, entry: usize, req: GenerateRequest) -> PendingAnswer {
        self.spawn_request(entry, req, false)
    }

    fn spawn_request(
        &self,
        entry: usize,
        req: GenerateRequest,
        retries_overload: bool,
    ) -> PendingAnswer {
        let (tx, progress) = watch::channel(Progress::default());
        let (caller, address, sent) = (self.caller.clone(), self.entry_address(entry), req.clone());
        let task = tokio::spawn(async move {
            let on_progress = |answer: &Answer| {
                tx.send_replace(Progress {
                    resume: answer.resume.clone(),
                    count: answer.tokens.len(),
                });
            };
            loop {
                let answer = caller
                    .generate_with_progress(address, &sent, &on_progress)
                    .await;
                match overload_retry_delay(&answer) {
                    Some(delay) if retries_overload => tokio::time::sleep(delay).await,
                    _ => return answer,
                }
            }
        });
        PendingAnswer {
            req,
            progress,
            task,
        }
    }

    /// Returns the engine that runs a stage, according to the resume token.
    pub(crate) fn engine_for_stage(&self, running: &PendingAnswer, stage: usize) -> usize {
        let token = running.resume_token();
        let (endpoint, _) = &token.stages[stage];
        let mut engines = self.cluster.engines.iter();
        engines
            .position(|engine| engine.name == endpoint.as_str())
            .expect("the resume token names an engine outside the cluster")
    }

    /// Returns the engine that ran a stage last, according to the run logs.
    pub(crate) async fn latest_engine_for_stage(
        &self,
        running: &PendingAnswer,
        stage: usize,
    ) -> usize {
        let token = running.resume_token();
        let (_, layers) = token.stages[stage];
        let logs = self.run_logs().await;
        let last = |runs: &[RunRecord]| {
            let stage_runs = runs
                .iter()
                .filter(|run| run.stream == token.stream && run.layers == layers);
            stage_runs.map(|run| (run.attempt, run.index)).max()
        };
        let newest = logs.iter().max_by_key(|(_, runs)| last(runs));
        *newest.expect("no engine responded").0
    }

    /// Builds a fault rule for the connections from one engine to another.
    pub(crate) fn link_rule(&self, from: usize, to: usize, kind: FaultKind) -> FaultRule {
        FaultRule {
            from: Some(self.cluster.engines[from].address.ip().to_string()),
            to: Some(self.cluster.engines[to].listed),
            kind,
        }
    }

    /// Sets the faults of an engine.
    pub(crate) async fn set_engine_faults(&self, engine: usize, faults: &EngineFaults) {
        let address = self.cluster.engines[engine].address;
        let _: () = self
            .cluster
            .client
            .put_json(address, "/control/faults", faults)
            .await
            .expect("the engine rejected the faults");
    }

    /// Reads the run logs of all engines that respond, keyed by engine.
    pub(crate) async fn run_logs(&self) -> BTreeMap<usize, Vec<RunRecord>> {
        let mut logs = BTreeMap::new();
        for (index, engine) in self.cluster.engines.iter().enumerate() {
            let log = self
                .cluster
                .client
                .get_json(engine.address, "/control/runs");
            if let Ok(Ok(runs)) = tokio::time::timeout(Duration::from_secs(2), log).await {
                logs.insert(index, runs);
            }
        }
        logs
    }

    /// Checks an answer against the reference and the engines' run logs. Within an
    /// attempt, every layer ran at most once per token. If no log is lost, then for each
    /// token some attempt ran every layer exactly once.
    pub(crate) async fn check_answer(&self, answer: &Answer, req: &GenerateRequest) {
        self.check_answer_in_logs(&self.run_logs().await, answer, req);
    }

    /// Checks an answer against run logs that were read after it ended.
    pub(crate) fn check_answer_in_logs(
        &self,
        logs: &BTreeMap<usize, Vec<RunRecord>>,
        answer: &Answer,
        req: &GenerateRequest,
    ) {
        assert!(
            answer.is_correct(DEPLOYMENT, req),
            "{}: {:?} with {} tokens",
            req.prompt,
            answer.end,
            answer.tokens.len()
        );
        let stream = stream_of(answer).expect("a complete answer has no resume token");
        let has_all_logs = logs.len() == self.cluster.engines.len();
        let mut ranges_by_attempt: BTreeMap<(u32, Attempt), Vec<(u32, u32)>> = BTreeMap::new();
        for run in logs.values().flatten().filter(|run| run.stream == stream) {
            let range = (run.layers.first(), run.layers.end());
            ranges_by_attempt
                .entry((run.index, run.attempt))
                .or_default()
                .push(range);
        }
        for ranges in ranges_by_attempt.values_mut() {
            ranges.sort_unstable();
            let is_disjoint = ranges.windows(2).all(|pair| pair[0].1 <= pair[1].0);
            assert!(is_disjoint, "{}: layers ran twice: {ranges:?}", req.prompt);
        }
        for index in 0..req.max_tokens {
            let is_covered = ranges_by_attempt
                .iter()
                .filter(|((at, _), _)| *at == index)
                .any(|(_, ranges)| covers_all_layers(ranges));
            assert!(
                is_covered || !has_all_logs,
                "{}: token {index} was not run by all layers in any attempt",
                req.prompt
            );
        }
    }

    /// Checks that the engines ran only the streams of these answers, so that no part of
    /// a refused request ran.
    pub(crate) async fn check_only_streams_of(&self, answers: &[Answer]) {
        let known: BTreeSet<StreamId> = answers.iter().filter_map(stream_of).collect();
        for (engine, runs) in self.run_logs().await {
            for run in runs {
                assert!(
                    known.contains(&run.stream),
                    "{} ran {run:?} of an unknown stream",
                    self.cluster.engines[engine].name
                );
            }
        }
    }
}

impl PendingAnswer {
    /// Waits until the caller has `count` tokens or the answer has ended.
    pub(crate) async fn wait_for_tokens(&mut self, count: usize) {
        let reached = self
            .progress
            .wait_for(|progress| progress.resume.is_some() && progress.count >= count);
        let _ = tokio::time::timeout(WAIT_TIMEOUT, reached)
            .await
            .expect("the answer made no progress");
    }

    /// Returns the resume token that the caller has received.
    pub(crate) fn resume_token(&self) -> ResumeToken {
        let resume = self.progress.borrow().resume.clone();
        let raw = resume.expect("no resume token has arrived");
        ResumeToken::try_from(raw.as_str()).expect("the resume token is malformed")
    }

    /// Waits for the answer to end and returns it with its request.
    pub(crate) async fn wait(self) -> (Answer, GenerateRequest) {
        let answer = tokio::time::timeout(WAIT_TIMEOUT, self.task)
            .await
            .expect("the answer did not end")
            .expect("the caller task panicked");
        (answer, self.req)
    }

    /// Closes the caller's connection.
    pub(crate) fn disconnect(&self) {
        self.task.abort();
    }
}

/// Returns the default plan: two engines per stage, behind the fault proxy.
pub(crate) fn plan() -> ClusterPlan {
    let mut plan = ClusterPlan::new(DEPLOYMENT, ClusterSize::Small).proxied();
    plan.entries = 2;
    plan.entry_settings = "entries_valid_ms = 2000\n".to_owned();
    plan
}

/// Returns the default plan with `replicas` engines per stage.
pub(crate) fn plan_with_replicas(replicas: usize) -> ClusterPlan {
    let mut plan = plan();
    let base_engines = plan.engines.clone();
    for replica in 2..replicas {
        let first_replicas = base_engines.iter().step_by(2).cloned();
        plan.engines.extend(first_replicas.map(|mut engine| {
            engine.name = format!("{}-{replica}", engine.name);
            engine
        }));
    }
    plan
}

/// Builds a request of the deployment's large workspace.
pub(crate) fn request(prompt: &str) -> GenerateRequest {
    let (workspace, _) = DEPLOYMENT.workspaces();
    draft_request(DEPLOYMENT, workspace, prompt, TOKENS)
        .expect("the deployment's names are malformed")
}

/// Returns the stream of an answer, if its resume token names one.
pub(crate) fn stream_of(answer: &Answer) -> Option<StreamId> {
    let raw = answer.resume.as_deref()?;
    Some(ResumeToken::try_from(raw).ok()?.stream)
}

/// Returns whether an answer ended in a refusal that states that nothing ran.
pub(crate) fn is_not_run(answer: &Answer) -> bool {
    matches!(&answer.end, GenerateEnd::Problem(problem) if problem.outcome == Outcome::NotRun)
}

/// Returns the retry delay of a refusal for overload that states that nothing ran.
fn overload_retry_delay(answer: &Answer) -> Option<Duration> {
    let GenerateEnd::Problem(problem) = &answer.end else {
        return None;
    };
    let is_refusal = problem.kind == ProblemKind::Overloaded && problem.outcome == Outcome::NotRun;
    let delay = Duration::from_millis(problem.retry_after_ms?);
    is_refusal.then_some(delay)
}

fn covers_all_layers(ranges: &[(u32, u32)]) -> bool {
    let mut next_layer = 0;
    for (first, end) in ranges {
        if *first != next_layer {
            return false;
        }
        next_layer = *end;
    }
    next_layer == DEPLOYMENT.layers()
}
