//! Runs a stream on a chain, and retries it until the answer is complete.

use std::collections::BTreeSet;

use pistachioyard_policy::StreamGuard;
use pistachioyard_wire::{ResumeToken, StreamEvent, StreamRequest};

use super::deliver::{self, EventSender, EventStream};
use super::follow::{FollowOutcome, follow, wait_until_silent};
use super::recover::{NextStep, next_chain};
use super::suspect::Reservation;
use super::{GenerateContext, Grant, RouteQuery};
use crate::engine::{FrameReader, StreamStart};
use crate::error::CallError;
use crate::lifecycle::InFlight;
use crate::prelude::*;

/// The maximum number of attempts of one stream at one entry.
const MAX_ATTEMPTS: u32 = 12;

/// Holds the state of a stream in progress at this entry.
pub(crate) struct Generation {
    pub(crate) node: Arc<Node>,
    pub(crate) cx: GenerateContext,
    pub(crate) query: RouteQuery,
    pub(crate) grant: Grant,
    pub(crate) guard: StreamGuard,
    pub(crate) stream: StreamId,
    pub(crate) events: EventSender,
    pub(crate) arrived_at: Instant,
    pub(crate) deadline: Instant,
    /// The endpoints that this stream no longer tries.
    pub(crate) exclude: BTreeSet<EndpointId>,
    /// Whether an engine may have run a part of the request.
    pub(crate) may_have_run: bool,
    /// The time of the first loss since the last token; `None` once a token follows.
    pub(crate) lost_at: Option<Instant>,
    pub(crate) last_token_at: Option<Instant>,
    /// The reserved endpoints, while the request is a suspect.
    pub(crate) reservation: Option<Reservation>,
    pub(crate) has_started: bool,
    /// The number of this entry's attempts that newer ones have superseded since the stream's
    /// first token here.
    pub(crate) superseded_count: u32,
    _in_flight: InFlight,
}

/// Says how one attempt ended.
pub(crate) enum AttemptEnd {
    /// The answer is complete.
    Complete,
    /// The caller closed its connection.
    CallerGone,
    /// The caller's deadline has passed.
    DeadlinePassed,
    /// An endpoint refused the attempt and ran nothing of it.
    Refused(EndpointId),
    /// No part of the attempt was sent to the endpoint.
    NotReached(EndpointId),
    /// This host could not connect to it for want of something of its own, so nothing was sent.
    Short(EndpointId),
    /// An endpoint was lost while the attempt may have run there.
    Lost(EndpointId),
    /// The link from the first endpoint to the second is stalled.
    LinkStalled(EndpointId, EndpointId),
    /// The engines have already seen a newer attempt of the stream.
    OldAttempt,
}

/// Starts a stream, and returns once its first event is known.
pub(crate) async fn start(
    node: &Arc<Node>,
    cx: GenerateContext,
    grant: Grant,
    in_flight: InFlight,
    arrived_at: Instant,
) -> Result<EventStream, Problem> {
    let (events, rest) = deliver::channel();
    let stream = cx
        .call
        .resume
        .as_ref()
        .map_or_else(StreamId::generate, |token| token.stream);
    let mut guard = StreamGuard::new(stream, cx.call.max_tokens, &cx.call.received);
    if let Some(token) = &cx.call.resume {
        guard = guard.after_attempt(token.attempt);
    }
    let generation = Generation {
        node: node.clone(),
        query: RouteQuery::new(&cx),
        grant,
        guard,
        stream,
        events,
        arrived_at,
        deadline: arrived_at + cx.call.deadline,
        exclude: BTreeSet::new(),
        may_have_run: cx.call.resume.is_some(),
        lost_at: None,
        last_token_at: None,
        reservation: None,
        has_started: false,
        superseded_count: 0,
        _in_flight: in_flight,
        cx,
    };
    tokio::spawn(generation.run());
    EventStream::begin(rest).await
}

impl Generation {
    async fn run(mut self) {
        let model = &self.cx.call.model;
        self.node.model_retries.lock().on_first_try(model);
        let ended = self.run_attempts().await;
        let node = self.node.clone();
        node.streams.end(self.stream);
        let label = match &ended {
            Ok(()) => "done",
            Err(None) => "caller_gone",
            Err(Some(problem)) => problem.kind.as_str(),
        };
        crate::metric::request_ended("generate", label);
        let problem = ended.as_ref().err().and_then(Option::as_ref);
        let requester = (&self.cx.call.workspace, self.cx.priority);
        node.burn.generate_ended(Some(requester), label, problem);
        if let Err(Some(problem)) = ended {
            let _ = self.events.send(StreamEvent::Error(problem)).await;
        }
    }

    /// Runs attempts until the answer is complete.
    ///
    /// # Errors
    ///
    /// Fails with the problem to report, or with `None` if the caller is gone.
    async fn run_attempts(&mut self) -> Result<(), Option<Problem>> {
        if self.guard.is_complete() {
            return self.finish_resumed().await;
        }
        for _ in 0..MAX_ATTEMPTS {
            match self.run_attempt().await {
                AttemptEnd::Complete => {
                    self.node
                        .quarantine
                        .lock()
                        .record_completion(self.cx.call.digest, Instant::now());
                    return Ok(());
                }
                AttemptEnd::CallerGone => {
                    self.cancel();
                    return Err(None);
                }
                AttemptEnd::DeadlinePassed => {
                    self.cancel();
                    return Err(Some(self.problem(
                        ProblemKind::DeadlinePassed,
                        "the deadline passed before the answer was complete",
                    )));
                }
                end => match next_chain(self, end).await {
                    NextStep::Retry => {}
                    NextStep::GiveUp(problem) => {
                        self.cancel();
                        return Err(Some(problem));
                    }
                },
            }
        }
        Err(Some(self.problem(
            ProblemKind::ChainLost,
            "all attempts at this entry failed; retry later",
        )))
    }

    /// Returns a problem whose outcome says whether a part of the request may have run.
    pub(crate) fn problem(&self, kind: ProblemKind, detail: &str) -> Problem {
        let outcome = if self.may_have_run {
            Outcome::Failed
        } else {
            Outcome::NotRun
        };
        Problem::new(kind, outcome, detail).with_retry_after_ms(1_000)
    }

    async fn run_attempt(&mut self) -> AttemptEnd {
        let attempt = self.guard.start_attempt();
        let stages = self.grant.stages().clone();
        self.node
            .streams
            .begin_attempt(self.stream, self.cx.call.digest, stages.clone());
        let head = &stages[0];
        let req = StreamRequest {
            stream: self.stream,
            attempt,
            model: self.cx.call.model.clone(),
            version: self.cx.version.clone(),
            adapter: self.cx.call.adapter.clone(),
            chain: stages.clone(),
            prompt: self.cx.call.prompt.clone(),
            tokens: self.guard.tokens().to_vec(),
            max_tokens: self.cx.call.max_tokens,
            priority: self.cx.priority,
        };
        let silent = wait_until_silent(&self.node, head.address, self.stream);
        let started = tokio::select! {
            started = self.node.engines.start(head.address, &req) => started,
            () = silent => Err(CallError::Timeout { to: head.address }),
        };
        match started {
            Ok(StreamStart::Accepted(frames)) => {
                self.may_have_run = true;
                self.follow(frames, attempt).await
            }
            Ok(StreamStart::OldAttempt) => AttemptEnd::OldAttempt,
            Ok(StreamStart::Refused { why }) => {
                spdlog::debug!("dispatch: {} refused the attempt: {why}", head.endpoint);
                AttemptEnd::Refused(head.endpoint.clone())
            }
            Err(CallError::NotSent { .. }) => AttemptEnd::NotReached(head.endpoint.clone()),
            Err(CallError::Shortage { .. }) => AttemptEnd::Short(head.endpoint.clone()),
            Err(e) => {
                spdlog::debug!("dispatch: the attempt at {} failed: {e}", head.endpoint);
                self.may_have_run = true;
                AttemptEnd::Lost(head.endpoint.clone())
            }
        }
    }

    async fn follow(&mut self, frames: FrameReader, attempt: Attempt) -> AttemptEnd {
        if !self.has_started {
            self.has_started = true;
            if self.send_start(attempt).await.is_err() {
                return AttemptEnd::CallerGone;
            }
        }
        match follow(self, frames).await {
            FollowOutcome::Ended(end) => end,
            FollowOutcome::Complete { count, digest } => self.send_end(count, digest).await,
        }
    }

    async fn send_start(&self, attempt: Attempt) -> Result<(), deliver::CallerGone> {
        let stages = self.grant.stages();
        let token = ResumeToken {
            stream: self.stream,
            attempt,
            version: self.cx.version.clone(),
            stages: stages
                .iter()
                .map(|s| (s.endpoint.clone(), s.layers))
                .collect(),
            digest: self.cx.call.digest,
        };
        self.events
            .send(StreamEvent::Start {
                request: RequestId::generate(),
                resume: token.to_text(),
            })
            .await
    }

    async fn send_end(&self, count: u32, digest: String) -> AttemptEnd {
        let end = StreamEvent::End {
            outcome: Outcome::Done,
            count,
            digest,
        };
        match self.events.send(end).await {
            Ok(()) => AttemptEnd::Complete,
            Err(_) => AttemptEnd::CallerGone,
        }
    }

    /// Sends the end of a resumed answer whose caller already has every token.
    async fn finish_resumed(&mut self) -> Result<(), Option<Problem>> {
        let attempt = self.guard.start_attempt();
        self.send_start(attempt).await.map_err(|_| None)?;
        let count = self.cx.call.max_tokens;
        let digest = self.guard.digest();
        match self.send_end(count, digest).await {
            AttemptEnd::Complete => Ok(()),
            _ => Err(None),
        }
    }

    /// Cancels the attempt at the head of the current chain, without waiting for an answer.
    fn cancel(&self) {
        let node = self.node.clone();
        let head = self.grant.stages()[0].address;
        let stream = self.stream;
        let attempt = self.guard.attempt();
        tokio::spawn(async move {
            if let Err(e) = node.engines.cancel(head, stream, attempt).await {
                spdlog::debug!("dispatch: cannot cancel a stream: {e}");
            }
        });
    }
}
