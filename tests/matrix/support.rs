//! What every cell of the matrix uses: a cluster, running answers and the oracle.

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

/// The clusters that run at the same time.
static CLUSTERS: Semaphore = Semaphore::const_new(3);

/// The deployment that the matrix runs on.
pub(crate) const DEPLOYMENT: Deployment = Deployment::Obnova;
/// The tokens of an answer.
pub(crate) const TOKENS: u32 = 60;
/// How long anything in the matrix may take; the bounds are the bench's.
pub(crate) const PATIENCE: Duration = Duration::from_secs(30);

/// A cluster, the answers asked of it and the streams that they named.
pub(crate) struct Trial {
    pub(crate) cluster: Cluster,
    pub(crate) caller: Caller,
    _permit: SemaphorePermit<'static>,
}

/// An answer in progress.
pub(crate) struct Running {
    pub(crate) req: GenerateRequest,
    seen: watch::Receiver<Seen>,
    task: JoinHandle<Answer>,
}

/// What the caller has of an answer.
#[derive(Clone, Debug, Default)]
struct Seen {
    resume: Option<String>,
    count: usize,
}

impl Trial {
    /// Starts a small cluster behind the fault proxy.
    pub(crate) async fn start() -> Self {
        Self::start_plan(plan()).await
    }

    /// Starts a cluster of a plan.
    pub(crate) async fn start_plan(plan: ClusterPlan) -> Self {
        let permit = CLUSTERS.acquire().await.expect("the semaphore stays open");
        let cluster = Cluster::start(plan).await.expect("the cluster starts");
        Self {
            cluster,
            caller: Caller::new(PATIENCE),
            _permit: permit,
        }
    }

    /// Returns where an entry listens for callers.
    pub(crate) fn entry(&self, place: usize) -> SocketAddr {
        self.cluster.entries[place].caller
    }

    /// Begins an answer at an entry.
    pub(crate) fn ask(&self, entry: usize, prompt: &str) -> Running {
        self.ask_for(entry, request(prompt))
    }

    /// Begins the answer to a request at an entry; a caller that is told that the
    /// entry is overloaded asks again when it is told to.
    pub(crate) fn ask_for(&self, entry: usize, req: GenerateRequest) -> Running {
        self.begin(entry, req, true)
    }

    /// Begins the answer to a request that is sent only once.
    pub(crate) fn ask_once_for(&self, entry: usize, req: GenerateRequest) -> Running {
        self.begin(entry, req, false)
    }

    fn begin(&self, entry: usize, req: GenerateRequest, asks_again: bool) -> Running {
        let (tx, seen) = watch::channel(Seen::default());
        let (caller, address, asked) = (self.caller.clone(), self.entry(entry), req.clone());
        let task = tokio::spawn(async move {
            let on_progress = |answer: &Answer| {
                tx.send_replace(Seen {
                    resume: answer.resume.clone(),
                    count: answer.tokens.len(),
                });
            };
            loop {
                let answer = caller
                    .generate_with_progress(address, &asked, &on_progress)
                    .await;
                match overload_pause(&answer) {
                    Some(pause) if asks_again => tokio::time::sleep(pause).await,
                    _ => return answer,
                }
            }
        });
        Running { req, seen, task }
    }

    /// Finds the engine that runs a stage of an answer.
    pub(crate) fn engine_of(&self, running: &Running, stage: usize) -> usize {
        let token = running.token();
        let (endpoint, _) = &token.stages[stage];
        let mut engines = self.cluster.engines.iter();
        engines
            .position(|engine| engine.name == endpoint.as_str())
            .expect("a chain names engines of the cluster")
    }

    /// Finds the engine that ran a stage of an answer last, by the run logs.
    pub(crate) async fn running_engine(&self, running: &Running, stage: usize) -> usize {
        let token = running.token();
        let (_, layers) = token.stages[stage];
        let logs = self.runs().await;
        let last = |runs: &[RunRecord]| {
            let own = runs
                .iter()
                .filter(|run| run.stream == token.stream && run.layers == layers);
            own.map(|run| (run.attempt, run.index)).max()
        };
        let newest = logs.iter().max_by_key(|(_, runs)| last(runs));
        *newest.expect("some engine answers").0
    }

    /// Makes a rule for the connections from one engine to another.
    pub(crate) fn link_rule(&self, from: usize, to: usize, kind: FaultKind) -> FaultRule {
        FaultRule {
            from: Some(self.cluster.engines[from].address.ip().to_string()),
            to: Some(self.cluster.engines[to].listed),
            kind,
        }
    }

    /// Sets an engine's own faults.
    pub(crate) async fn set_engine_faults(&self, engine: usize, faults: &EngineFaults) {
        let address = self.cluster.engines[engine].address;
        let _: () = self
            .cluster
            .client
            .put_json(address, "/control/faults", faults)
            .await
            .expect("the engine takes its faults");
    }

    /// Reads the run logs of all engines that answer, by engine.
    pub(crate) async fn runs(&self) -> BTreeMap<usize, Vec<RunRecord>> {
        let mut logs = BTreeMap::new();
        for (place, engine) in self.cluster.engines.iter().enumerate() {
            let log = self
                .cluster
                .client
                .get_json(engine.address, "/control/runs");
            if let Ok(Ok(runs)) = tokio::time::timeout(Duration::from_secs(2), log).await {
                logs.insert(place, runs);
            }
        }
        logs
    }

    /// Checks one answer against the reference and the engines' run logs: every
    /// layer ran at most once per token in each attempt, and where no log is lost,
    /// exactly once in one of them.
    pub(crate) async fn check(&self, answer: &Answer, req: &GenerateRequest) {
        self.check_in(&self.runs().await, answer, req);
    }

    /// Checks one answer against run logs that were read after it ended.
    pub(crate) fn check_in(
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
        let stream = stream_of(answer).expect("a whole answer names its stream");
        let has_all_logs = logs.len() == self.cluster.engines.len();
        let mut steps: BTreeMap<(u32, Attempt), Vec<(u32, u32)>> = BTreeMap::new();
        for run in logs.values().flatten().filter(|run| run.stream == stream) {
            let range = (run.layers.first(), run.layers.end());
            steps
                .entry((run.index, run.attempt))
                .or_default()
                .push(range);
        }
        for ranges in steps.values_mut() {
            ranges.sort_unstable();
            let is_apart = ranges.windows(2).all(|pair| pair[0].1 <= pair[1].0);
            assert!(is_apart, "{}: layers ran twice: {ranges:?}", req.prompt);
        }
        for index in 0..req.max_tokens {
            let is_covered = steps
                .iter()
                .filter(|((at, _), _)| *at == index)
                .any(|(_, ranges)| covers_all(ranges));
            assert!(
                is_covered || !has_all_logs,
                "{}: token {index} was not run whole in any attempt",
                req.prompt
            );
        }
    }

    /// Checks that the engines ran no stream but those of these answers, so that
    /// nothing of a refused request ran.
    pub(crate) async fn check_only_ran(&self, answers: &[Answer]) {
        let known: BTreeSet<StreamId> = answers.iter().filter_map(stream_of).collect();
        for (engine, runs) in self.runs().await {
            for run in runs {
                assert!(
                    known.contains(&run.stream),
                    "{} ran {run:?} of no known stream",
                    self.cluster.engines[engine].name
                );
            }
        }
    }
}

impl Running {
    /// Waits until the caller has so many tokens, or the answer has ended.
    pub(crate) async fn reach(&mut self, count: usize) {
        let reached = self
            .seen
            .wait_for(|seen| seen.resume.is_some() && seen.count >= count);
        let _ = tokio::time::timeout(PATIENCE, reached)
            .await
            .expect("the answer goes on");
    }

    /// Returns the resume token of the answer.
    pub(crate) fn token(&self) -> ResumeToken {
        let resume = self.seen.borrow().resume.clone();
        let raw = resume.expect("the answer has begun");
        ResumeToken::try_from(raw.as_str()).expect("the entry makes valid tokens")
    }

    /// Waits for the end of the answer.
    pub(crate) async fn end(self) -> (Answer, GenerateRequest) {
        let answer = tokio::time::timeout(PATIENCE, self.task)
            .await
            .expect("the answer ends")
            .expect("the caller does not panic");
        (answer, self.req)
    }

    /// Has the caller close its connection.
    pub(crate) fn cut(&self) {
        self.task.abort();
    }
}

/// Plans the matrix's cluster: two engines for each stage, behind the fault proxy.
pub(crate) fn plan() -> ClusterPlan {
    let mut plan = ClusterPlan::new(DEPLOYMENT, ClusterSize::Small).proxied();
    plan.entries = 2;
    plan.entry_settings = "entries_valid_ms = 2000\n".to_owned();
    plan
}

/// Plans a cluster with more engines for each stage.
pub(crate) fn plan_with_copies(copies: usize) -> ClusterPlan {
    let mut plan = plan();
    let pattern = plan.engines.clone();
    for copy in 2..copies {
        let first_copies = pattern.iter().step_by(2).cloned();
        plan.engines.extend(first_copies.map(|mut engine| {
            engine.name = format!("{}-{copy}", engine.name);
            engine
        }));
    }
    plan
}

/// Makes a request of the large workspace.
pub(crate) fn request(prompt: &str) -> GenerateRequest {
    let (workspace, _) = DEPLOYMENT.workspaces();
    draft_request(DEPLOYMENT, workspace, prompt, TOKENS).expect("the names are valid")
}

/// Returns the stream that an answer was of.
pub(crate) fn stream_of(answer: &Answer) -> Option<StreamId> {
    let raw = answer.resume.as_deref()?;
    Some(ResumeToken::try_from(raw).ok()?.stream)
}

/// Tells whether an answer ended as a refusal that says nothing ran.
pub(crate) fn is_not_run(answer: &Answer) -> bool {
    matches!(&answer.end, GenerateEnd::Problem(problem) if problem.outcome == Outcome::NotRun)
}

/// Returns when to ask again after a refusal for overload that ran nothing.
fn overload_pause(answer: &Answer) -> Option<Duration> {
    let GenerateEnd::Problem(problem) = &answer.end else {
        return None;
    };
    let is_refusal = problem.kind == ProblemKind::Overloaded && problem.outcome == Outcome::NotRun;
    let pause = Duration::from_millis(problem.retry_after_ms?);
    is_refusal.then_some(pause)
}

fn covers_all(ranges: &[(u32, u32)]) -> bool {
    let mut due = 0;
    for (first, end) in ranges {
        if *first != due {
            return false;
        }
        due = *end;
    }
    due == DEPLOYMENT.layers()
}
