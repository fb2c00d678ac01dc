//! Finds out whether an endpoint has crashed at the end of an answer.

use std::net::SocketAddr;

use http::{HeaderMap, header};
use pistachioyard_policy::{EndpointRecord, EndpointRun, RunFate, RunState, SuspectReason};
use pistachioyard_wire::RequestDigest;

use super::part_trial::PartTrial;
use super::report_cache::fetch;
use crate::error::CallError;
use crate::prelude::*;
use crate::router::Router;

/// How long an endpoint may take to report after it has lost an answer; a healthy one answers
/// within a few ms.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// The number of reports that a crashed endpoint leaves unanswered, unless it refuses the
/// connection. A single connection may also be reset while its endpoint lives.
const CRASH_PROBES: u32 = 2;
/// The interval between two such probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// How long an endpoint must have sent nothing of an answer that nobody waits for any more to be
/// looked at; several times the time of a small request, or of a pause between two events.
pub(super) const MIN_SILENCE: Duration = Duration::from_millis(500);
/// How long a silent endpoint is watched; longer than it takes to find out that it is not sound.
const SILENCE_WATCH: Duration = Duration::from_secs(4);
/// How long an endpoint may be silent without having ended, beyond the time of a request.
const SOUND_SILENCE: Duration = Duration::from_millis(1_500);
/// How often the state of a silent endpoint is looked at.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Says how the end of an answer is marked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Framing {
    /// By a length or by chunks.
    Explicit,
    /// By the end of the connection, which may also be a crash.
    UntilClose,
}

impl Framing {
    /// Returns how an answer with these headers is framed.
    pub(super) fn of(headers: &HeaderMap) -> Self {
        let is_explicit = headers.contains_key(header::CONTENT_LENGTH)
            || headers.contains_key(header::TRANSFER_ENCODING);
        match is_explicit {
            true => Self::Explicit,
            false => Self::UntilClose,
        }
    }
}

/// Records that a request was answered to the end by an endpoint; if the end may also be a crash,
/// once the endpoint has answered a probe.
pub(super) fn record_end(
    router: &Arc<Router>,
    digest: RequestDigest,
    endpoint: &EndpointId,
    framing: Framing,
) {
    let record = match framing {
        Framing::Explicit => None,
        Framing::UntilClose => router.endpoints.lock().get(endpoint).cloned(),
    };
    match record {
        Some(record) => {
            let ended = router.clone();
            drop(
                router.begin_loss(digest, &record.run(), record.address, move |fate| {
                    if fate == RunFate::Alive {
                        ended.record_completion(digest);
                    }
                }),
            );
        }
        None if framing == Framing::Explicit => router.record_completion(digest),
        // An endpoint that is gone by now may have crashed.
        None => {}
    }
}

/// Probes an endpoint whose answer was lost, and records a crash if it does not answer or has
/// started anew since it was sent the request. That it accepts a connection says little, since a
/// crash is over within seconds.
///
/// A lost answer alone is no crash. It must not count as one, since requests with the same
/// content share a digest. A request that was in crashes before waits for the result, which
/// decides whether it may run again.
pub(super) async fn check_for_crash(
    router: &Arc<Router>,
    digest: RequestDigest,
    target: &EndpointRecord,
) {
    check_run_for_crash(router, digest, &target.run(), target.address).await;
}

/// Does the same as [`check_for_crash`] for a run that may not be the current one.
pub(super) async fn check_run_for_crash(
    router: &Arc<Router>,
    digest: RequestDigest,
    run: &EndpointRun,
    address: SocketAddr,
) {
    let is_suspect = router.quarantine.lock().count_losses(digest) > 0;
    let judged = router.begin_loss(digest, run, address, |_| {});
    if is_suspect && let Err(e) = judged.await {
        spdlog::error!("quarantine: a check for a crash failed", kv: {
            endpoint = run.endpoint.as_str(), why = e.to_string().as_str()
        });
    }
}

/// Finds out whether an endpoint that has not answered in time has ended without breaking its
/// connections; a sound one may be slow, or silent for about a second.
pub(super) fn check_after_silence(
    router: &Arc<Router>,
    digest: RequestDigest,
    run: EndpointRun,
    address: SocketAddr,
) {
    let router = router.clone();
    tokio::spawn(async move {
        tokio::time::sleep(SOUND_SILENCE).await;
        drop(router.begin_loss(digest, &run, address, |_| {}));
    });
}

/// Counts the run of an endpoint that has fallen silent as lost under a request, if it turns out
/// not to be sound. Its connection may stay open for much longer.
pub(super) fn watch_silent(
    router: &Arc<Router>,
    digest: RequestDigest,
    run: &EndpointRun,
    address: SocketAddr,
    trial: Option<PartTrial>,
) {
    let (router, run) = (router.clone(), run.clone());
    tokio::spawn(async move {
        let end = Instant::now() + SILENCE_WATCH;
        while Instant::now() < end {
            let state = router.endpoints.lock().state_of_run(&run, Instant::now());
            match state {
                RunState::Sound => return,
                RunState::Silent => tokio::time::sleep(SILENCE_CHECK_INTERVAL).await,
                RunState::Ended => break,
            }
        }
        drop(router.begin_loss(digest, &run, address, |_| {}));
        if let Some(trial) = trial {
            trial.record_loss();
        }
    });
}

/// Says what is known of a run that lost a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunJudgement {
    /// The run itself answers and says since when it runs, or a later one does.
    Known(RunFate),
    /// Something answers at its address, here or to a peer, and does not say since when it runs.
    Answers,
}

impl RunJudgement {
    /// Returns what became of the run if nothing else is known of it.
    pub(crate) fn fate(self) -> RunFate {
        match self {
            Self::Known(fate) => fate,
            Self::Answers => RunFate::Alive,
        }
    }
}

/// Probes a run of an endpoint; if it does not answer, ejects it and asks a peer.
pub(crate) async fn judge_run(
    router: &Router,
    run: &EndpointRun,
    address: SocketAddr,
) -> RunJudgement {
    match probe(router, &run.endpoint, address, run.started_unix_ms).await {
        Probed::SameRun => RunJudgement::Known(RunFate::Alive),
        Probed::OtherRun => RunJudgement::Known(RunFate::Ended),
        Probed::Answers => RunJudgement::Answers,
        Probed::NoAnswer => {
            // It may be out of reach only here, and would lose the next requests too.
            if router.is_current_run(run) {
                router.suspect(&run.endpoint, SuspectReason::NoAnswer);
            }
            match router.fate_of_silent(run).await {
                RunFate::Alive => RunJudgement::Answers,
                fate => RunJudgement::Known(fate),
            }
        }
    }
}

/// Says what the probes of a run that lost an answer have found.
enum Probed {
    /// It answers.
    SameRun,
    /// A later run answers.
    OtherRun,
    /// One of the two answers.
    Answers,
    /// There is no answer.
    NoAnswer,
}

async fn probe(
    router: &Router,
    endpoint: &EndpointId,
    address: SocketAddr,
    started: Option<u64>,
) -> Probed {
    for attempt in 0..CRASH_PROBES {
        if attempt > 0 {
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
        match fetch(router, endpoint, address, REPORT_TIMEOUT).await {
            Ok(report) if started.is_some() && report.started_unix_ms != started => {
                return Probed::OtherRun;
            }
            Ok(_) if started.is_some() => return Probed::SameRun,
            Ok(_) => return Probed::Answers,
            // An endpoint of a plain service has no report, but it answers.
            Err(e) if e.is_answered() => return Probed::Answers,
            Err(CallError::Refused { .. }) => return Probed::NoAnswer,
            Err(_) => {}
        }
    }
    Probed::NoAnswer
}
