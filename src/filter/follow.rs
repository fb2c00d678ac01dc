//! Relays the frames of one attempt, and finds out why they stop.

use std::net::SocketAddr;

use pistachioyard_policy::GuardVerdict;
use pistachioyard_wire::{StageFailure, StageRef, StreamEvent, StreamProgress};

use super::dispatch::{AttemptEnd, Generation};
use crate::engine::FrameReader;
use crate::prelude::*;

/// How long a stream may be silent before its stages are probed, in milliseconds.
const SILENCE_MS: u64 = 300;
/// How long a stage may take to answer a progress probe, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 250;
/// The consecutive missed probes after which a stage counts as lost.
const MISSES_UNTIL_LOST: u32 = 2;
/// The consecutive probes without progress, while no stage is busy, after which a link
/// between two stages counts as stalled.
const IDLE_PROBES_UNTIL_STALLED: u32 = 4;

/// Says how following an attempt ended.
pub(crate) enum FollowOutcome {
    /// The answer is complete.
    Complete {
        /// The number of tokens in the answer.
        count: u32,
        /// The digest over the tokens.
        digest: String,
    },
    /// The attempt ended without a complete answer.
    Ended(AttemptEnd),
}

/// Waits until an engine counts as lost because it misses progress probes.
///
/// Bounds the wait for an engine that has not answered the start of a stream.
pub(crate) async fn wait_until_silent(node: &Node, to: SocketAddr, stream: StreamId) {
    let timeout = Duration::from_millis(PROBE_TIMEOUT_MS);
    let mut misses = 0;
    while misses < MISSES_UNTIL_LOST {
        if misses == 0 {
            tokio::time::sleep(Duration::from_millis(SILENCE_MS)).await;
        }
        match node.engines.progress(to, stream, timeout).await {
            Ok(_) => misses = 0,
            Err(_) => misses += 1,
        }
    }
}

/// Relays the frames of an attempt to the caller until the attempt ends.
pub(crate) async fn follow(generation: &mut Generation, mut frames: FrameReader) -> FollowOutcome {
    let mut watchdog = StallWatchdog::default();
    let deadline = tokio::time::Instant::from_std(generation.deadline);
    let events = generation.events.clone();
    loop {
        let silence = tokio::time::sleep(Duration::from_millis(SILENCE_MS));
        let frame = tokio::select! {
            frame = frames.next() => frame,
            () = events.closed() => return FollowOutcome::Ended(AttemptEnd::CallerGone),
            () = tokio::time::sleep_until(deadline) => {
                return FollowOutcome::Ended(AttemptEnd::DeadlinePassed);
            }
            () = silence => {
                match watchdog.probe(generation).await {
                    Some(end) => return FollowOutcome::Ended(end),
                    None => continue,
                }
            }
        };
        let head = &generation.grant.stages()[0].endpoint;
        let frame = match frame {
            Ok(Some(frame)) => frame,
            Ok(None) => return FollowOutcome::Ended(AttemptEnd::Lost(head.clone())),
            Err(e) => {
                spdlog::debug!("deliver: the frames from {head} were lost: {e}");
                return FollowOutcome::Ended(AttemptEnd::Lost(head.clone()));
            }
        };
        match generation.guard.accept(&frame) {
            GuardVerdict::Pass { index, token } => {
                watchdog = StallWatchdog::default();
                generation.record_token();
                let event = StreamEvent::Token { index, token };
                if events.send(event).await.is_err() {
                    return FollowOutcome::Ended(AttemptEnd::CallerGone);
                }
            }
            GuardVerdict::Complete { count, digest } => {
                return FollowOutcome::Complete { count, digest };
            }
            GuardVerdict::Started | GuardVerdict::Drop(_) => {}
            GuardVerdict::Broken(fault) => {
                spdlog::error!("deliver: protocol error from {head}: {fault}");
                return FollowOutcome::Ended(AttemptEnd::Lost(head.clone()));
            }
            GuardVerdict::Failed(failure) => return FollowOutcome::Ended(classify(failure)),
        }
    }
}

fn classify(failure: StageFailure) -> AttemptEnd {
    match failure {
        StageFailure::Lost { endpoint } => AttemptEnd::Lost(endpoint),
        StageFailure::Refused { endpoint, .. } => AttemptEnd::Refused(endpoint),
        StageFailure::Superseded | StageFailure::Cancelled => AttemptEnd::OldAttempt,
    }
}

impl Generation {
    /// Records a token and the latencies that the service levels are measured by.
    fn record_token(&mut self) {
        let now = Instant::now();
        match self.last_token_at {
            None => {
                let elapsed = now - self.arrived_at;
                crate::metric::first_token(elapsed);
                self.node.burn.first_token(&self.cx, elapsed);
            }
            Some(last) => {
                crate::metric::between_tokens(now - last);
                self.node.burn.between_tokens(&self.cx, now - last);
            }
        }
        self.last_token_at = Some(now);
        if let Some(lost_at) = self.lost_at.take() {
            crate::metric::recovery(now - lost_at);
            self.node.burn.recovery(&self.cx, now - lost_at);
        }
        if self.guard.produced_in_attempt() == 1 {
            self.node.streams.record_progress(self.stream);
            self.node
                .quarantine
                .lock()
                .record_completion(self.cx.call.digest, Instant::now());
            self.reservation = None;
        }
    }
}

/// Tells a lost stage or a stalled link from a chain that is merely slow.
#[derive(Default)]
struct StallWatchdog {
    misses: Vec<u32>,
    positions: Vec<u32>,
    idle_probes: u32,
}

impl StallWatchdog {
    /// Probes the progress of every stage; returns the reason if the attempt must end.
    async fn probe(&mut self, generation: &Generation) -> Option<AttemptEnd> {
        let stages = generation.grant.stages().clone();
        self.misses.resize(stages.len(), 0);
        let answers = probe_all(generation, &stages).await;
        for (index, answer) in answers.iter().enumerate() {
            match answer {
                Ok(_) => self.misses[index] = 0,
                Err(()) => self.misses[index] += 1,
            }
            if self.misses[index] >= MISSES_UNTIL_LOST {
                return Some(AttemptEnd::Lost(stages[index].endpoint.clone()));
            }
        }
        if answers.iter().any(Result::is_err) {
            return None;
        }
        let progress: Vec<_> = answers.into_iter().flatten().collect();
        self.find_stalled_link(&stages, &progress)
    }

    fn find_stalled_link(
        &mut self,
        stages: &[StageRef],
        progress: &[Option<StreamProgress>],
    ) -> Option<AttemptEnd> {
        let positions: Vec<u32> = progress
            .iter()
            .map(|p| p.as_ref().map_or(0, |p| p.positions))
            .collect();
        let is_busy = progress.iter().flatten().any(|p| p.busy);
        if is_busy || positions != self.positions {
            self.positions = positions;
            self.idle_probes = 0;
            return None;
        }
        self.idle_probes += 1;
        if self.idle_probes < IDLE_PROBES_UNTIL_STALLED {
            return None;
        }
        let last = stages.len() - 1;
        let sender = (0..last)
            .find(|index| positions[*index] > positions[index + 1])
            .unwrap_or(last);
        let receiver = if sender == last { 0 } else { sender + 1 };
        Some(AttemptEnd::LinkStalled(
            stages[sender].endpoint.clone(),
            stages[receiver].endpoint.clone(),
        ))
    }
}

async fn probe_all(
    generation: &Generation,
    stages: &[StageRef],
) -> Vec<Result<Option<StreamProgress>, ()>> {
    let timeout = Duration::from_millis(PROBE_TIMEOUT_MS);
    let probes = stages.iter().map(|stage| async move {
        generation
            .node
            .engines
            .progress(stage.address, generation.stream, timeout)
            .await
            .map_err(|_| ())
    });
    futures_util::future::join_all(probes).await
}
