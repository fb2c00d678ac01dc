//! Finds out what became of endpoint runs that lost requests.
//!
//! Where it cannot be told at once, since no endpoint of the service is reached, this goes on until
//! the store or a connection tells. `docs/design/quarantine.md` describes what counts as a crash.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use parking_lot::Mutex;
use pistachioyard_policy::{EndpointRun, RunFate, UNDECIDED_TTL};
use pistachioyard_wire::RequestDigest;
use tokio::sync::{Notify, watch};

use super::{Router, filter};
use crate::prelude::*;

/// How often it is looked whether there is news of a run that is not decided.
const NEWS_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The time between two judgements of a run without any news of it.
const JUDGEMENT_INTERVAL: Duration = Duration::from_secs(1);
/// How long a request waits for the decision on the runs that lost it, before it is sent.
const DECISION_WAIT: Duration = Duration::from_secs(1);
/// How often a waiting request looks for the decision.
const DECISION_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The heartbeats of an endpoint within which one that has started anew is registered.
const HEARTBEATS_TO_REGISTER: u32 = 2;

/// What is known of a run; none until it was judged for the first time.
type Judgement = Option<RunFate>;

/// Holds the runs that are being judged.
#[derive(Default)]
pub(crate) struct Losses {
    by_run: Mutex<BTreeMap<EndpointRun, watch::Receiver<Judgement>>>,
    /// The undecided runs that were current according to the store.
    seen: Mutex<BTreeSet<BootId>>,
    /// Wakes the judgements of runs that are not decided.
    news: Notify,
}

/// Follows the judgement of one run.
pub(crate) struct FateFinder(watch::Receiver<Judgement>);

impl FateFinder {
    /// Waits for the first judgement, which may be unknown.
    pub(crate) async fn first(&mut self) -> RunFate {
        self.wait_for(|judged| judged.is_some()).await
    }

    /// Waits until the fate is known, or has been unknown for too long.
    pub(crate) async fn last(&mut self) -> RunFate {
        self.wait_for(|judged| judged.is_some_and(|fate| fate != RunFate::Unknown))
            .await
    }

    async fn wait_for(&mut self, is_enough: impl Fn(Judgement) -> bool) -> RunFate {
        // The sender is gone once the judgement was given up.
        let judged = self.0.wait_for(|judged| is_enough(*judged)).await;
        let judged = judged.map_or(None, |judged| *judged);
        judged.unwrap_or(RunFate::Unknown)
    }
}

impl Router {
    /// Finds out what became of a run that lost a request; losses of the same run at the same
    /// time share the judgement.
    pub(crate) fn find_fate(
        self: &Arc<Self>,
        run: &EndpointRun,
        address: SocketAddr,
    ) -> FateFinder {
        let mut by_run = self.losses.by_run.lock();
        // A task that has panicked leaves its place behind, and will judge nothing.
        let judged = by_run
            .get(run)
            .filter(|judged| judged.has_changed().is_ok());
        if let Some(judged) = judged {
            return FateFinder(judged.clone());
        }
        let (tx, rx) = watch::channel(None);
        by_run.insert(run.clone(), rx.clone());
        let (router, run) = (self.clone(), run.clone());
        tokio::spawn(async move {
            let fate = decide(&router, &run, address, &tx).await;
            router.losses.by_run.lock().remove(&run);
            tx.send_replace(Some(fate));
        });
        FateFinder(rx)
    }

    /// Records that a run lost a request, and finds out whether it has ended, which makes it a
    /// crash. Calls `then` once that is known, or was not found out in time.
    ///
    /// Returns a task that ends with the first judgement.
    pub(crate) fn begin_loss(
        self: &Arc<Self>,
        digest: RequestDigest,
        run: &EndpointRun,
        address: SocketAddr,
        then: impl FnOnce(RunFate) + Send + 'static,
    ) -> tokio::task::JoinHandle<()> {
        let id = Self::run_id(&run.endpoint, run.started_unix_ms);
        self.quarantine
            .lock()
            .record_loss(digest, id, Instant::now());
        self.losses.seen.lock().insert(id);
        let mut finder = self.find_fate(run, address);
        let (router, run) = (self.clone(), run.clone());
        tokio::spawn(async move {
            let settle = move |router: &Router, fate: RunFate| {
                router.settle_loss(digest, &run, fate);
                then(fate);
            };
            match finder.first().await {
                RunFate::Unknown => {
                    tokio::spawn(async move {
                        let fate = finder.last().await;
                        settle(&router, fate);
                    });
                }
                fate => settle(&router, fate),
            }
        })
    }

    /// Counts the losses of runs that have ended according to the store. Called whenever records
    /// have changed, so that it is known before the next run at the address gets requests.
    pub(crate) fn note_ended_runs(&self) {
        let undecided = self.quarantine.lock().undecided_runs();
        if undecided.is_empty() {
            self.losses.seen.lock().clear();
            return;
        }
        let current: BTreeSet<BootId> = {
            let endpoints = self.endpoints.lock();
            endpoints.records().map(Self::endpoint_run).collect()
        };
        let ended: Vec<BootId> = {
            let mut seen = self.losses.seen.lock();
            seen.retain(|run| undecided.contains(run));
            let ended = seen.difference(&current).copied().collect();
            *seen = undecided.intersection(&current).copied().collect();
            ended
        };
        for run in ended {
            self.note_end(run, "the store");
        }
        self.losses.news.notify_waiters();
    }

    /// Waits for a short time for the decision on the runs that lost a request, if it is to be
    /// refused should they all have ended.
    pub(crate) async fn await_decision(&self, digest: RequestDigest, deadline: Instant) {
        let give_up_at = (Instant::now() + DECISION_WAIT).min(deadline);
        while self
            .quarantine
            .lock()
            .awaits_decision(digest, Instant::now())
            && Instant::now() < give_up_at
        {
            self.losses.news.notify_waiters();
            tokio::time::sleep(DECISION_CHECK_INTERVAL).await;
        }
    }

    /// Returns whether a run is the current one of its endpoint, as far as is known.
    pub(crate) fn is_current_run(&self, run: &EndpointRun) -> bool {
        let endpoints = self.endpoints.lock();
        let record = endpoints.get(&run.endpoint);
        record.is_some_and(|record| record.run() == *run)
    }

    /// Waits until something has been heard of a run or its service since the last judgement.
    async fn wait_for_news(&self, run: &EndpointRun, judged_at: Instant) {
        while judged_at.elapsed() < JUDGEMENT_INTERVAL && self.is_current_run(run) {
            // A timeout and a notification both lead to the next look.
            let _ = tokio::time::timeout(NEWS_CHECK_INTERVAL, self.losses.news.notified()).await;
            let addresses = {
                let endpoints = self.endpoints.lock();
                let service = endpoints.get(&run.endpoint).map(|record| &record.service);
                service.map(|service| endpoints.addresses_of(service))
            };
            if self.client.last_accepted(&addresses.unwrap_or_default()) > Some(judged_at) {
                return;
            }
        }
    }
}

/// Judges a run again and again until its fate is known, or was unknown for too long.
async fn decide(
    router: &Router,
    run: &EndpointRun,
    address: SocketAddr,
    tx: &watch::Sender<Judgement>,
) -> RunFate {
    let lost_at = Instant::now();
    let mut fate = filter::judge_run(router, run, address).await.fate();
    while fate == RunFate::Unknown && lost_at.elapsed() < UNDECIDED_TTL {
        tx.send_replace(Some(fate));
        let judged_at = Instant::now();
        router.wait_for_news(run, judged_at).await;
        if !router.is_current_run(run) {
            return RunFate::Ended;
        }
        fate = match filter::judge_run(router, run, address).await {
            // Its process may be a later one that has not registered yet.
            filter::RunJudgement::Answers => confirm_alive(router, run).await,
            judgement => judgement.fate(),
        };
    }
    fate
}

/// Decides on an endpoint that answers after a time in which it did not, and does not say since
/// when it has run.
async fn confirm_alive(router: &Router, run: &EndpointRun) -> RunFate {
    let registered_within = router.settings.endpoint_heartbeat * HEARTBEATS_TO_REGISTER;
    let until = Instant::now() + registered_within;
    while Instant::now() < until {
        tokio::time::sleep(NEWS_CHECK_INTERVAL).await;
        if !router.is_current_run(run) {
            return RunFate::Ended;
        }
    }
    RunFate::Alive
}
