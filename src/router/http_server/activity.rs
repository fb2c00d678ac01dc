//! Tracks when a connection is idle, and for how long it may be.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use parking_lot::Mutex;

use crate::prelude::*;
use crate::router::Router;
use crate::router::answer::{AnswerBody, StreamAborted};

/// The idle limit before the first configuration is adopted.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);

/// Says which part of a request has arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReadPart {
    /// Bytes of the next request's head.
    Head,
    /// Bytes of the body of the request in progress.
    Body,
}

/// Tracks the requests on one connection.
#[derive(Debug)]
pub(super) struct ConnectionActivity {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    requests: u64,
    in_progress: u32,
    idle_since: Instant,
    last_read_at: Instant,
}

impl ConnectionActivity {
    /// Creates the activity of a new connection.
    pub(super) fn new(now: Instant) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                requests: 0,
                in_progress: 0,
                idle_since: now,
                last_read_at: now,
            }),
        })
    }

    /// Returns the number of requests so far.
    pub(super) fn requests(&self) -> u64 {
        self.state.lock().requests
    }

    /// Counts a request as in progress until the returned guard is dropped.
    pub(super) fn begin(self: &Arc<Self>) -> ActiveRequest {
        let mut state = self.state.lock();
        state.requests += 1;
        state.in_progress += 1;
        ActiveRequest(self.clone())
    }

    /// Waits until the connection has been idle for as long as the configuration allows.
    ///
    /// The limit is read anew each time, since callers follow the configuration in force also on
    /// connections that are older.
    pub(super) async fn idle_limit_passed(&self, router: &Router) {
        loop {
            let limit = idle_limit(router);
            match self.idle_time() {
                Some(idle) if idle >= limit => return,
                Some(idle) => tokio::time::sleep(limit - idle).await,
                None => tokio::time::sleep(limit).await,
            }
        }
    }

    /// Records that bytes of the caller arrived; returns what they belong to.
    pub(super) fn note_read(&self, now: Instant) -> ReadPart {
        let mut state = self.state.lock();
        state.last_read_at = now;
        match state.in_progress {
            0 => ReadPart::Head,
            _ => ReadPart::Body,
        }
    }

    /// Waits until part of a request's head has been waiting for the rest for `limit`, counted
    /// from now on. An answer that is still being written is not affected.
    pub(super) async fn head_limit_passed(&self, limit: Duration) {
        loop {
            tokio::time::sleep(limit).await;
            let state = self.state.lock();
            if state.in_progress == 0 && state.last_read_at > state.idle_since {
                return;
            }
        }
    }

    /// Returns how long the connection has been idle; `None` while a request is in progress.
    fn idle_time(&self) -> Option<Duration> {
        let state = self.state.lock();
        (state.in_progress == 0).then(|| state.idle_since.elapsed())
    }
}

/// Returns how long a connection may be idle, or take to send the head of a request.
pub(super) fn idle_limit(router: &Router) -> Duration {
    let limits = router.active_config().map(|active| active.table.limits);
    limits.map_or(DEFAULT_IDLE, |l| l.idle_timeout.max(l.header_timeout))
}

/// Counts a request as in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct ActiveRequest(Arc<ConnectionActivity>);

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let mut state = self.0.state.lock();
        state.in_progress -= 1;
        state.idle_since = Instant::now();
    }
}

/// Holds a response body, and its request as in progress until the body was sent.
pub(super) struct ActiveBody {
    body: AnswerBody,
    _request: Arc<ActiveRequest>,
}

impl ActiveBody {
    /// Creates the body of a response to a request in progress.
    pub(super) fn new(body: AnswerBody, request: Arc<ActiveRequest>) -> Self {
        Self {
            body,
            _request: request,
        }
    }
}

impl Body for ActiveBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
