//! Callers: an open loop of Poisson arrivals or a closed loop of many callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use pistachioyard_wire::{GenerateRequest, ResumeToken};
use tokio::task::JoinSet;

use super::record::{Record, RecordEnd};
use super::requests::RequestMaker;
use crate::cluster::{Answer, Caller, GenerateEnd};
use crate::deployment::Deployment;

/// How long a caller waits for an answer to begin.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// How long requests in progress may go on after the last one was sent.
const DRAIN_LIMIT: Duration = Duration::from_secs(12);
/// The pause of a caller whose answer broke off, before it asks the next entry.
const MOVE_PAUSE: Duration = Duration::from_millis(20);
/// The pause of a refused caller that was not told when to come back.
const REFUSED_PAUSE: Duration = Duration::from_millis(200);

/// When requests are sent.
#[derive(Clone, Copy, Debug)]
pub(super) enum Arrivals {
    /// By Poisson arrivals, so many a second, whatever becomes of them.
    Open {
        /// The requests a second.
        per_second: f64,
    },
    /// By so many callers, each as soon as its last request has ended.
    Closed {
        /// The callers.
        callers: usize,
    },
}

/// One load: who asks, when, and for how long.
#[derive(Clone, Debug)]
pub(super) struct Load {
    pub(super) deployment: Deployment,
    pub(super) entries: Vec<SocketAddr>,
    pub(super) arrivals: Arrivals,
    pub(super) requests: RequestMaker,
    pub(super) duration: Duration,
}

struct Shared {
    deployment: Deployment,
    entries: Vec<SocketAddr>,
    caller: Caller,
    requests: Mutex<RequestMaker>,
}

impl Load {
    /// Sends requests for the load's time and waits until all have ended.
    pub(super) async fn run(self) -> Vec<Record> {
        let until = Instant::now() + self.duration;
        let shared = Arc::new(Shared {
            deployment: self.deployment,
            entries: self.entries,
            caller: Caller::new(ANSWER_TIMEOUT),
            requests: Mutex::new(self.requests),
        });
        let mut tasks = JoinSet::new();
        match self.arrivals {
            Arrivals::Open { per_second } => {
                send_openly(&shared, &mut tasks, per_second, until).await;
            }
            Arrivals::Closed { callers } => {
                for _ in 0..callers {
                    tasks.spawn(ask_repeatedly(shared.clone(), until));
                }
            }
        }
        let drain = until.saturating_duration_since(Instant::now()) + DRAIN_LIMIT;
        collect(tasks, drain).await
    }
}

async fn send_openly(
    shared: &Arc<Shared>,
    tasks: &mut JoinSet<Vec<Record>>,
    per_second: f64,
    until: Instant,
) {
    let mut due = Instant::now();
    loop {
        let pause = shared.requests.lock().next_pause(per_second);
        due += Duration::from_secs_f64(pause);
        if due >= until {
            return;
        }
        tokio::time::sleep_until(due.into()).await;
        let shared = shared.clone();
        tasks.spawn(async move { vec![shared.ask().await] });
    }
}

async fn ask_repeatedly(shared: Arc<Shared>, until: Instant) -> Vec<Record> {
    let mut records = Vec::new();
    while Instant::now() < until {
        let record = shared.ask().await;
        if record.end != RecordEnd::Done {
            tokio::time::sleep(record.retry_after.unwrap_or(REFUSED_PAUSE)).await;
        }
        records.push(record);
    }
    records
}

/// Collects what the callers saw; those that hang are cut off and missing.
async fn collect(mut tasks: JoinSet<Vec<Record>>, limit: Duration) -> Vec<Record> {
    let mut records = Vec::new();
    let all = async {
        while let Some(ended) = tasks.join_next().await {
            records.extend(ended.expect("a caller does not panic"));
        }
    };
    let _ = tokio::time::timeout(limit, all).await;
    if !tasks.is_empty() {
        println!("  {} callers still waited at the end", tasks.len());
    }
    records
}

impl Shared {
    /// Sends one request; an answer that breaks off goes on at another entry.
    async fn ask(&self) -> Record {
        let (mut req, start) = {
            let mut requests = self.requests.lock();
            (
                requests.next_request(),
                requests.draw_place(self.entries.len()),
            )
        };
        let sent_at = Instant::now();
        let mut record = Record {
            priority: req.priority,
            entry: self.entries[start],
            sent_at,
            token_times: Vec::new(),
            stages: Vec::new(),
            has_moved: false,
            end: RecordEnd::Broken,
            ended_at: sent_at,
            retry_after: None,
        };
        let entries = self.entries.iter().cycle().skip(start);
        for entry in entries.take(self.entries.len() * 2) {
            let answer = self.caller.generate(*entry, &req, |_| {}).await;
            record.take(&answer);
            if answer.end != GenerateEnd::Broken {
                record.end = self.judge(&answer, &req);
                break;
            }
            record.has_moved = true;
            if answer.resume.is_some() {
                req.resume = answer.resume;
                req.received = answer.tokens;
            }
            tokio::time::sleep(MOVE_PAUSE).await;
        }
        record.ended_at = Instant::now();
        record
    }

    fn judge(&self, answer: &Answer, req: &GenerateRequest) -> RecordEnd {
        match &answer.end {
            GenerateEnd::Complete if answer.is_correct(self.deployment, req) => RecordEnd::Done,
            GenerateEnd::Complete | GenerateEnd::Invalid(_) => RecordEnd::Wrong,
            GenerateEnd::Problem(problem) => RecordEnd::from(problem),
            GenerateEnd::Broken => RecordEnd::Broken,
        }
    }
}

impl Record {
    /// Takes over what one entry answered.
    fn take(&mut self, answer: &Answer) {
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
