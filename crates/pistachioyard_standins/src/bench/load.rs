//! Load generation: an open loop of Poisson arrivals or a closed loop of callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use pistachioyard_wire::{GenerateRequest, ResumeToken};
use tokio::task::JoinSet;

use super::record::{Record, RecordEnd};
use super::requests::RequestGenerator;
use crate::cluster::{Answer, Caller, GenerateEnd};
use crate::deployment::Deployment;

/// The maximum time for an answer to begin.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// The grace period for requests in progress after the end of the load.
const DRAIN_LIMIT: Duration = Duration::from_secs(12);
/// The pause of a caller whose answer was interrupted, before it resumes at the next entry.
const RESUME_PAUSE: Duration = Duration::from_millis(20);
/// The pause of a closed-loop caller after an unsuccessful request without a retry delay.
const REFUSED_PAUSE: Duration = Duration::from_millis(200);

/// Selects when requests are sent.
#[derive(Clone, Copy, Debug)]
pub(super) enum Arrivals {
    /// Poisson arrivals at a fixed rate, regardless of how requests end (open loop).
    Open {
        /// The mean number of requests per second.
        per_second: f64,
    },
    /// A fixed number of callers, each of which sends its next request when the last one
    /// has ended (closed loop).
    Closed {
        /// The number of callers.
        callers: usize,
    },
}

/// Describes a load: its entries, arrivals, requests and duration.
#[derive(Clone, Debug)]
pub(super) struct Load {
    pub(super) deployment: Deployment,
    pub(super) entries: Vec<SocketAddr>,
    pub(super) arrivals: Arrivals,
    pub(super) requests: RequestGenerator,
    pub(super) duration: Duration,
}

/// Holds what all tasks of a load share.
struct LoadContext {
    deployment: Deployment,
    entries: Vec<SocketAddr>,
    caller: Caller,
    requests: Mutex<RequestGenerator>,
}

impl Load {
    /// Sends requests for the duration of the load and waits for those in progress to end,
    /// at most for [`DRAIN_LIMIT`].
    pub(super) async fn run(self) -> Vec<Record> {
        let until = Instant::now() + self.duration;
        let context = Arc::new(LoadContext {
            deployment: self.deployment,
            entries: self.entries,
            caller: Caller::new(ANSWER_TIMEOUT),
            requests: Mutex::new(self.requests),
        });
        let mut tasks = JoinSet::new();
        match self.arrivals {
            Arrivals::Open { per_second } => {
                run_open_loop(&context, &mut tasks, per_second, until).await;
            }
            Arrivals::Closed { callers } => {
                for _ in 0..callers {
                    tasks.spawn(run_closed_loop_caller(context.clone(), until));
                }
            }
        }
        let drain = until.saturating_duration_since(Instant::now()) + DRAIN_LIMIT;
        collect(tasks, drain).await
    }
}

/// Spawns one task per request at Poisson arrivals until the load ends.
async fn run_open_loop(
    context: &Arc<LoadContext>,
    tasks: &mut JoinSet<Vec<Record>>,
    per_second: f64,
    until: Instant,
) {
    let mut due = Instant::now();
    loop {
        let interarrival_s = context.requests.lock().draw_interarrival_s(per_second);
        due += Duration::from_secs_f64(interarrival_s);
        if due >= until {
            return;
        }
        tokio::time::sleep_until(due.into()).await;
        let context = context.clone();
        tasks.spawn(async move { vec![context.send_request().await] });
    }
}

/// Sends one request after another until the load ends.
async fn run_closed_loop_caller(context: Arc<LoadContext>, until: Instant) -> Vec<Record> {
    let mut records = Vec::new();
    while Instant::now() < until {
        let record = context.send_request().await;
        if record.end != RecordEnd::Done {
            tokio::time::sleep(record.retry_after.unwrap_or(REFUSED_PAUSE)).await;
        }
        records.push(record);
    }
    records
}

/// Collects the records of all tasks; tasks still running after `limit` are aborted and
/// their records are lost.
async fn collect(mut tasks: JoinSet<Vec<Record>>, limit: Duration) -> Vec<Record> {
    let mut records = Vec::new();
    let all = async {
        while let Some(ended) = tasks.join_next().await {
            records.extend(ended.expect("load tasks do not panic"));
        }
    };
    let _ = tokio::time::timeout(limit, all).await;
    if !tasks.is_empty() {
        println!(
            "  {} callers were still waiting at the end and were aborted",
            tasks.len()
        );
    }
    records
}

impl LoadContext {
    /// Sends one request; an interrupted answer is resumed at the next entry.
    async fn send_request(&self) -> Record {
        let (mut req, start) = {
            let mut requests = self.requests.lock();
            (
                requests.next_request(),
                requests.draw_index(self.entries.len()),
            )
        };
        let sent_at = Instant::now();
        let mut record = Record {
            priority: req.priority,
            entry: self.entries[start],
            sent_at,
            token_times: Vec::new(),
            stages: Vec::new(),
            was_resumed: false,
            end: RecordEnd::Broken,
            ended_at: sent_at,
            retry_after: None,
        };
        let entries = self.entries.iter().cycle().skip(start);
        for entry in entries.take(self.entries.len() * 2) {
            let answer = self.caller.generate(*entry, &req, |_| {}).await;
            record.add_answer(&answer);
            if answer.end != GenerateEnd::Broken {
                record.end = self.classify(&answer, &req);
                break;
            }
            record.was_resumed = true;
            if answer.resume.is_some() {
                req.resume = answer.resume;
                req.received = answer.tokens;
            }
            tokio::time::sleep(RESUME_PAUSE).await;
        }
        record.ended_at = Instant::now();
        record
    }

    /// Returns how a request ended, from the last answer to it.
    fn classify(&self, answer: &Answer, req: &GenerateRequest) -> RecordEnd {
        match &answer.end {
            GenerateEnd::Complete if answer.is_correct(self.deployment, req) => RecordEnd::Done,
            GenerateEnd::Complete | GenerateEnd::Invalid(_) => RecordEnd::Wrong,
            GenerateEnd::Problem(problem) => RecordEnd::from(problem),
            GenerateEnd::Broken => RecordEnd::Broken,
        }
    }
}

impl Record {
    /// Adds one entry's answer to the record.
    fn add_answer(&mut self, answer: &Answer) {
        self.token_times.extend(&answer.token_times);
        if let GenerateEnd::Problem(problem) = &answer.end {
            self.retry_after = problem.retry_after_ms.map(Duration::from_millis);
        }
        let token = answer.resume.as_deref().map(ResumeToken::try_from);
        if let Some(Ok(token)) = token
            && self.stages.is_empty()
        {
            self.stages = token.stages.into_iter().map(|(id, _)| id).collect();
        }
    }
}
