//! Following the frames of one attempt, and finding out why they stopped.

use std::net::SocketAddr;

use pistachioyard_policy::GuardVerdict;
use pistachioyard_wire::{StageFailure, StageRef, StreamEvent, StreamProgress};

use super::dispatch::{AttemptEnd, Generation};
use crate::engine::FrameReader;
use crate::prelude::*;

/// How long a stream may be silent before its stages are asked, in milliseconds.
const SILENCE_MS: u64 = 300;
/// How long a stage may take to say how far it is, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 250;
/// The probes missed in a row after which a stage is taken for lost.
const MISSES_UNTIL_LOST: u32 = 2;
/// The probes in a row without progress and without work in any stage after
/// which the link between two stages is taken for stalled.
const IDLE_PROBES_UNTIL_STALLED: u32 = 4;

/// What following an attempt came to.
pub(crate) enum Followed {
    /// The answer is whole.
    Whole {
        /// The number of its tokens.
        count: u32,
        /// The digest over them.
        digest: String,
    },
    /// The attempt ended otherwise.
    Ended(AttemptEnd),
}

/// Returns once an engine that has not answered a start misses probes as well.
pub(crate) async fn until_silent(node: &Node, to: SocketAddr, stream: StreamId) {
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

/// Passes the frames of an attempt on to the caller until it ends.
pub(crate) async fn follow(generation: &mut Generation, mut frames: FrameReader) -> Followed {
    let mut watch = StallWatch::default();
    let deadline = tokio::time::Instant::from_std(generation.deadline);
    let events = generation.events.clone();
    loop {
        let silence = tokio::time::sleep(Duration::from_millis(SILENCE_MS));
        let frame = tokio::select! {
            frame = frames.next() => frame,
            () = events.gone() => return Followed::Ended(AttemptEnd::CallerGone),
            () = tokio::time::sleep_until(deadline) => {
                return Followed::Ended(AttemptEnd::DeadlinePassed);
            }
            () = silence => {
                match watch.probe(generation).await {
                    Some(end) => return Followed::Ended(end),
                    None => continue,
                }
            }
        };
        let head = &generation.grant.stages()[0].endpoint;
        let Ok(Some(frame)) = frame else {
            return Followed::Ended(AttemptEnd::Lost(head.clone()));
        };
        match generation.guard.accept(&frame) {
            GuardVerdict::Pass { index, token } => {
                watch = StallWatch::default();
                generation.note_token();
                let event = StreamEvent::Token { index, token };
                if events.send(event).await.is_err() {
                    return Followed::Ended(AttemptEnd::CallerGone);
                }
            }
            GuardVerdict::Complete { count, digest } => return Followed::Whole { count, digest },
            GuardVerdict::Started | GuardVerdict::Drop(_) => {}
            GuardVerdict::Broken(fault) => {
                spdlog::error!("deliver: {head} broke the protocol: {fault}");
                return Followed::Ended(AttemptEnd::Lost(head.clone()));
            }
            GuardVerdict::Failed(failure) => return Followed::Ended(classify(failure)),
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
    /// Records the times that the service levels are about.
    fn note_token(&mut self) {
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
                .record_completion(self.cx.call.digest);
            self.lane = None;
        }
    }
}

/// Tells a lost stage and a stalled link from a chain that is merely slow.
#[derive(Default)]
struct StallWatch {
    misses: Vec<u32>,
    positions: Vec<u32>,
    idle_probes: u32,
}

impl StallWatch {
    /// Asks every stage how far it is; returns why the attempt must end, if so.
    async fn probe(&mut self, generation: &Generation) -> Option<AttemptEnd> {
        let stages = generation.grant.stages().clone();
        self.misses.resize(stages.len(), 0);
        let answers = ask_all(generation, &stages).await;
        for (place, answer) in answers.iter().enumerate() {
            match answer {
                Ok(_) => self.misses[place] = 0,
                Err(()) => self.misses[place] += 1,
            }
            if self.misses[place] >= MISSES_UNTIL_LOST {
                return Some(AttemptEnd::Lost(stages[place].endpoint.clone()));
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
        let behind = (0..last)
            .find(|place| positions[*place] > positions[place + 1])
            .unwrap_or(last);
        let next = if behind == last { 0 } else { behind + 1 };
        Some(AttemptEnd::LinkStalled(
            stages[behind].endpoint.clone(),
            stages[next].endpoint.clone(),
        ))
    }
}

async fn ask_all(
    generation: &Generation,
    stages: &[StageRef],
) -> Vec<Result<Option<StreamProgress>, ()>> {
    let timeout = Duration::from_millis(PROBE_TIMEOUT_MS);
    let asks = stages.iter().map(|stage| async move {
        generation
            .node
            .engines
            .progress(stage.address, generation.stream, timeout)
            .await
            .map_err(|_| ())
    });
    futures_util::future::join_all(asks).await
}
