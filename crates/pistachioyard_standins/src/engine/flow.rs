//! The path of a stream through the stages of its chain.
//!
//! The first stage is the head of the chain: it answers the caller.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pistachioyard_wire::{Attempt, FrameBody, StageFailure, StageRef, StreamId, StreamRequest};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::Instant;

use super::admission::{release_slot, request_slot};
use super::cache::BYTES_PER_TOKEN;
use super::core::{Core, Engine};
use super::link_message::{LinkItem, Step};
use super::open::{StartRefusal, check_chain, prepare_job};
use super::stream::{HeadState, StageJob};
use crate::token::PrefixState;

/// Returns the size of the prompt of a request, in tokens.
pub(crate) fn prompt_tokens(req: &StreamRequest) -> u64 {
    (req.prompt.len() / BYTES_PER_TOKEN) as u64
}

/// Returns the digest state of the prompt and the tokens of a request.
pub(crate) fn request_prefix(req: &StreamRequest) -> PrefixState {
    let mut prefix = PrefixState::new(req.model.as_str(), req.version.as_str(), &req.prompt);
    for token in &req.tokens {
        prefix.push(*token);
    }
    prefix
}

/// Returns when an item that has just arrived was due.
fn due_time(late_us: u32) -> Instant {
    let now = Instant::now();
    now.checked_sub(Duration::from_micros(late_us.into()))
        .unwrap_or(now)
}

impl Engine {
    /// Starts an attempt whose first stage is this engine and returns the lines of its answer.
    ///
    /// # Errors
    ///
    /// Fails when the engine refuses the attempt; then none of it has run.
    pub(crate) fn start_attempt(
        self: &Arc<Self>,
        req: StreamRequest,
    ) -> Result<UnboundedReceiver<Bytes>, StartRefusal> {
        check_chain(&req)?;
        let req = Arc::new(req);
        let mut core = self.lock();
        let (frames, rx) = unbounded_channel();
        let head = HeadState { frames };
        let job = prepare_job(self, &mut core, Arc::clone(&req), 0, Some(head))?;
        job.send_frame(FrameBody::Started);
        let step = Step {
            index: job.next_index,
            state: job.prefix.seed(),
            token: None,
            late_us: 0,
        };
        self.install(&mut core, job);
        self.queue_step_or_finish(&mut core, req.stream, req.attempt, step, Instant::now());
        Ok(rx)
    }

    /// Installs a job as the current one of its stream and ends the one before it.
    fn install(self: &Arc<Self>, core: &mut Core, job: StageJob) {
        let (stream, attempt) = (job.request.stream, job.request.attempt);
        let old = core.streams.get(&stream).and_then(|s| s.job.as_ref());
        if let Some(old) = old {
            let old_attempt = old.request.attempt;
            old.send_frame(FrameBody::Failed(StageFailure::Superseded));
            self.close(core, stream, old_attempt);
        }
        let record = core
            .streams
            .entry(stream)
            .or_insert_with(|| super::stream::StageStream::new(attempt));
        record.attempt = attempt;
        record.touched = Instant::now();
        record.job = Some(job);
        core.jobs += 1;
    }

    /// Queues a step at this stage if it is the next one of its attempt; ignores it otherwise.
    fn queue_step(
        &self,
        core: &mut Core,
        stream: StreamId,
        attempt: Attempt,
        step: Step,
        at: Instant,
    ) {
        let Some(record) = core.streams.get_mut(&stream) else {
            return;
        };
        let Some(job) = record.job_for(attempt) else {
            return;
        };
        if step.index != job.next_index || job.step.is_some() {
            return;
        }
        if job.head.is_none()
            && let Some(token) = step.token
        {
            job.prefix.push(token);
        }
        job.last_token = step.token;
        job.next_index += 1;
        job.step = Some(step);
        record.touched = Instant::now();
        request_slot(self, core, stream, attempt, at);
    }

    /// Queues a step at the head, or ends the attempt if the answer is complete.
    fn queue_step_or_finish(
        self: &Arc<Self>,
        core: &mut Core,
        stream: StreamId,
        attempt: Attempt,
        step: Step,
        at: Instant,
    ) {
        let Some(job) = core
            .streams
            .get_mut(&stream)
            .and_then(|s| s.job_for(attempt))
        else {
            return;
        };
        let count = job.request.max_tokens;
        if step.index < count {
            self.queue_step(core, stream, attempt, step, at);
            return;
        }
        job.send_frame(FrameBody::End { count });
        self.close(core, stream, attempt);
    }

    /// Forwards the result of a step to the next stage, or from the last stage to the head.
    pub(crate) fn forward_result(
        self: &Arc<Self>,
        core: &mut Core,
        (stream, attempt): (StreamId, Attempt),
        index: u32,
        state: u64,
        at: Instant,
    ) {
        let Some(job) = core
            .streams
            .get_mut(&stream)
            .and_then(|s| s.job_for(attempt))
        else {
            return;
        };
        let Some(next) = job.next_stage().cloned() else {
            let head = job.head_stage().clone();
            self.send_token_to_head(core, &head, (stream, attempt), index, state, at);
            return;
        };
        let first = !std::mem::replace(&mut job.opened_next, true);
        let step = Step {
            index,
            state,
            token: if first { None } else { job.last_token },
            late_us: 0,
        };
        let item = match first {
            true => LinkItem::Open {
                position: job.position + 1,
                request: Arc::clone(&job.request),
                step,
            },
            false => LinkItem::Step {
                stream,
                attempt,
                step,
            },
        };
        self.send(core, &next.endpoint, next.address, (at, item));
    }

    /// Sends a token from the last stage to the head, which may be this engine.
    fn send_token_to_head(
        self: &Arc<Self>,
        core: &mut Core,
        head: &StageRef,
        (stream, attempt): (StreamId, Attempt),
        index: u32,
        token: u64,
        at: Instant,
    ) {
        if head.endpoint == self.settings.endpoint {
            self.deliver_token(core, (stream, attempt), index, token, at);
            return;
        }
        let item = LinkItem::Token {
            stream,
            attempt,
            index,
            token,
            late_us: 0,
        };
        self.send(core, &head.endpoint, head.address, (at, item));
    }

    /// Delivers a token to the caller of the head and starts the next step.
    fn deliver_token(
        self: &Arc<Self>,
        core: &mut Core,
        (stream, attempt): (StreamId, Attempt),
        index: u32,
        token: u64,
        at: Instant,
    ) {
        let drop_frames = core.faults.drop_frames;
        let Some(job) = core
            .streams
            .get_mut(&stream)
            .and_then(|s| s.job_for(attempt))
        else {
            return;
        };
        if job.head.is_none() || index + 1 != job.next_index || job.step.is_some() {
            return;
        }
        job.prefix.push(token);
        if !drop_frames {
            job.send_frame(FrameBody::Token { index, token });
        }
        let step = Step {
            index: index + 1,
            state: job.prefix.seed(),
            token: Some(token),
            late_us: 0,
        };
        self.queue_step_or_finish(core, stream, attempt, step, at);
    }

    /// Handles all items of one link message.
    ///
    /// An item that cannot be decoded is logged; the items after it are lost.
    pub(crate) fn receive(self: &Arc<Self>, buf: &[u8]) {
        let mut core = self.lock();
        let mut rest = buf;
        while !rest.is_empty() {
            match ciborium::from_reader(&mut rest) {
                Ok(item) => self.receive_item(&mut core, item),
                Err(e) => {
                    eprintln!(
                        "engine {}: cannot decode a link item: {e}",
                        self.settings.endpoint
                    );
                    return;
                }
            }
        }
    }

    fn receive_item(self: &Arc<Self>, core: &mut Core, item: LinkItem) {
        match item {
            LinkItem::Open {
                position,
                request,
                step,
            } => self.open_stage(core, position, request, step),
            LinkItem::Step {
                stream,
                attempt,
                step,
            } => {
                let at = due_time(step.late_us);
                self.queue_step(core, stream, attempt, step, at);
            }
            LinkItem::Token {
                stream,
                attempt,
                index,
                token,
                late_us,
            } => {
                let at = due_time(late_us);
                self.deliver_token(core, (stream, attempt), index, token, at);
            }
            LinkItem::Failed {
                stream,
                attempt,
                failure,
            } => self.fail(core, stream, attempt, failure),
            LinkItem::Close { stream, attempt } => self.close(core, stream, attempt),
        }
    }

    /// Opens an attempt at a stage after the first; reports a refusal to the head.
    fn open_stage(
        self: &Arc<Self>,
        core: &mut Core,
        position: usize,
        request: Arc<StreamRequest>,
        step: Step,
    ) {
        let (stream, attempt) = (request.stream, request.attempt);
        let Some(head) = request.chain.first().cloned() else {
            return;
        };
        match prepare_job(self, core, request, position, None) {
            Ok(job) => {
                self.install(core, job);
                let at = due_time(step.late_us);
                self.queue_step(core, stream, attempt, step, at);
            }
            Err(refusal) => {
                let item = LinkItem::Failed {
                    stream,
                    attempt,
                    failure: refusal.into_failure(&self.settings.endpoint),
                };
                self.send(core, &head.endpoint, head.address, (Instant::now(), item));
            }
        }
    }

    /// Ends an attempt with a failure and reports it to the caller, by way of the head.
    pub(crate) fn fail(
        self: &Arc<Self>,
        core: &mut Core,
        stream: StreamId,
        attempt: Attempt,
        failure: StageFailure,
    ) {
        let Some(job) = core
            .streams
            .get_mut(&stream)
            .and_then(|s| s.job_for(attempt))
        else {
            return;
        };
        if job.head.is_some() {
            job.send_frame(FrameBody::Failed(failure));
        } else {
            let head = job.head_stage().clone();
            let item = LinkItem::Failed {
                stream,
                attempt,
                failure,
            };
            self.send(core, &head.endpoint, head.address, (Instant::now(), item));
        }
        self.close(core, stream, attempt);
    }

    /// Ends an attempt at this stage and the stages after it; the KV cache is kept.
    pub(crate) fn close(self: &Arc<Self>, core: &mut Core, stream: StreamId, attempt: Attempt) {
        let Some(record) = core.streams.get_mut(&stream) else {
            return;
        };
        if record.job_for(attempt).is_none() {
            return;
        }
        let Some(job) = record.job.take() else { return };
        record.touched = Instant::now();
        core.jobs -= 1;
        if job.opened_next
            && let Some(next) = job.next_stage()
        {
            let item = LinkItem::Close { stream, attempt };
            self.send(core, &next.endpoint, next.address, (Instant::now(), item));
        }
        release_slot(self, core, &job);
    }
}
