//! HTTP/1 connections to endpoints, each used for one request at a time.
//!
//! Unlike a general-purpose client, this one reports for each failure whether any byte of
//! the request can have reached the endpoint, and it never retries a request on its own.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use pistachioyard_policy::{Reach, ReachTracker, Repeatability};
use tokio::sync::Notify;

use crate::client::{MAX_HEAD_BYTES, head_lost};
use crate::error::CallError;
use crate::final_response::FinalResponse;
use crate::interim_limit::InterimLimit;
use crate::memory::SharedMemory;
use crate::outgoing::open_stream;
use crate::prelude::*;
use crate::router::http_server::MAX_HEADERS;
use crate::router::metric;
use crate::router::short_reads::ShortReads;

/// How long a connection attempt may take. A healthy endpoint accepts within a few ms, and
/// TCP retransmits a lost SYN only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long an idle connection stays usable if the endpoint does not state a limit.
const DEFAULT_IDLE: Duration = Duration::from_secs(2);
/// The share of the endpoint's idle limit within which a connection is reused, so that a
/// request does not race with the endpoint closing the connection.
const IDLE_REUSE_SHARE: f64 = 0.6;
/// The maximum size of an answer to a caller that is held in memory until it is complete, in
/// bytes; a faulty endpoint may send bytes without end.
pub(crate) const MAX_ANSWER_BYTES: usize = 4_000_000;
/// The maximum size of a report or of the answer to an order, in bytes. A report has about a
/// hundred bytes for each request that stalls.
pub(crate) const MAX_REPORT_BYTES: usize = 1_000_000;
/// The maximum number of idle connections per endpoint.
const MAX_IDLE: usize = 64;

/// Says whether a request may be sent on a pooled connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reuse {
    /// A pooled connection may be used; suits requests that are safe to retry.
    Allowed,
    /// A new connection is opened, so that the request cannot race with a close.
    Never,
}

impl Reuse {
    /// Returns whether requests that may be repeated in this way may use a pooled connection.
    pub(crate) fn of(repeatability: Repeatability) -> Self {
        match repeatability {
            Repeatability::AtMostOnce => Self::Never,
            Repeatability::Idempotent | Repeatability::Resumable => Self::Allowed,
        }
    }
}

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    usable_until: Instant,
}

/// Sends requests to endpoints over pooled connections.
pub(crate) struct EndpointClient {
    /// The address that connections are bound to.
    local: IpAddr,
    reach: Mutex<ReachTracker>,
    /// Wakes the controller that assesses the reach of this entry.
    pub(crate) reach_doubtful: Notify,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    /// The memory that the answers of all endpoints take together.
    pub(crate) memory: Arc<SharedMemory>,
}

/// Holds the connection on which a response arrives.
pub(crate) struct Connection {
    to: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

impl EndpointClient {
    /// Creates a client whose connections are bound to `local` and whose answers share `memory`.
    pub(crate) fn new(local: IpAddr, memory: Arc<SharedMemory>) -> Self {
        Self {
            local,
            reach: Mutex::default(),
            reach_doubtful: Notify::new(),
            idle: Mutex::default(),
            memory,
        }
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// Dropping the future or the response body closes the connection, which cancels the
    /// request at the endpoint.
    pub(crate) async fn send(
        &self,
        to: SocketAddr,
        req: Request<Full<Bytes>>,
        reuse: Reuse,
    ) -> Result<(FinalResponse, Connection), CallError> {
        let mut req = req;
        let interim = InterimLimit::of(&mut req);
        while let Some(mut sender) = self.take_idle(to, reuse) {
            match interim.bound(to, sender.try_send_request(req)).await? {
                Ok(response) => {
                    return Ok((
                        FinalResponse::check(to, response)?,
                        Connection { to, sender },
                    ));
                }
                Err(mut e) => match e.take_message() {
                    // Nothing was written: the idle connection had been closed.
                    Some(unsent) => req = unsent,
                    None => return Err(head_lost(to, e.error())),
                },
            }
        }
        let mut sender = self.connect(to).await?;
        match interim.bound(to, sender.try_send_request(req)).await? {
            Ok(response) => {
                self.reach.lock().record_answered(to, Instant::now());
                Ok((
                    FinalResponse::check(to, response)?,
                    Connection { to, sender },
                ))
            }
            Err(mut e) => {
                if !e.error().is_parse() {
                    self.reach.lock().record_broken(to, Instant::now());
                    self.reach_doubtful.notify_one();
                }
                Err(match e.take_message() {
                    Some(_) => CallError::NotSent { to },
                    None => head_lost(to, e.error()),
                })
            }
        }
    }

    /// Opens a connection to an endpoint and keeps it in the pool.
    pub(crate) async fn try_connect(&self, to: SocketAddr) -> Result<(), CallError> {
        let sender = self.connect(to).await?;
        self.keep(Connection { to, sender }, None);
        Ok(())
    }

    /// Returns a connection to the pool once its response was read to the end.
    pub(crate) fn keep(&self, connection: Connection, idle_limit: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        let idle = idle_limit.map_or(DEFAULT_IDLE, |limit| limit.mul_f64(IDLE_REUSE_SHARE));
        let mut pool = self.idle.lock();
        let kept = pool.entry(connection.to).or_default();
        if kept.len() < MAX_IDLE {
            kept.push(IdleConnection {
                sender: connection.sender,
                usable_until: Instant::now() + idle,
            });
        }
    }

    async fn connect(&self, to: SocketAddr) -> Result<SendRequest<Full<Bytes>>, CallError> {
        let connected = connect(self.local, to).await;
        let now = Instant::now();
        match &connected {
            Ok(_) => self.reach.lock().record_accepted(to, now),
            Err(CallError::Shortage { of, .. }) => metric::count_shortage(*of),
            Err(_) => {
                self.reach.lock().record_failed(to, now);
                self.reach_doubtful.notify_one();
            }
        }
        connected
    }

    /// Assesses whether the endpoints of a service at these addresses are reached.
    pub(crate) fn assess(&self, addresses: &[SocketAddr]) -> Reach {
        self.reach.lock().assess(addresses)
    }

    /// Returns when one of the endpoints at these addresses last accepted a connection; those whose
    /// new connections break do not count.
    pub(crate) fn last_accepted(&self, addresses: &[SocketAddr]) -> Option<Instant> {
        self.reach.lock().last_accepted(addresses)
    }

    /// Returns whether the last attempt to connect to an endpoint, or the first request on the last
    /// new connection, failed.
    pub(crate) fn is_failing(&self, address: SocketAddr) -> bool {
        self.reach.lock().is_failing(address)
    }

    /// Discards what is known of addresses that are not endpoints any more.
    pub(crate) fn retain_addresses(&self, is_known: impl Fn(SocketAddr) -> bool) {
        self.reach.lock().retain(is_known);
    }

    /// Closes the idle connections that have expired.
    pub(crate) fn expire(&self) {
        let now = Instant::now();
        let mut pool = self.idle.lock();
        pool.retain(|_, kept| {
            kept.retain(|idle| idle.usable_until > now && !idle.sender.is_closed());
            !kept.is_empty()
        });
    }

    fn take_idle(&self, to: SocketAddr, reuse: Reuse) -> Option<SendRequest<Full<Bytes>>> {
        if reuse == Reuse::Never {
            return None;
        }
        let now = Instant::now();
        let mut pool = self.idle.lock();
        let kept = pool.get_mut(&to)?;
        while let Some(idle) = kept.pop() {
            if idle.usable_until > now && idle.sender.is_ready() {
                return Some(idle.sender);
            }
        }
        None
    }
}

async fn connect(local: IpAddr, to: SocketAddr) -> Result<SendRequest<Full<Bytes>>, CallError> {
    metric::count_connect();
    let not_sent = CallError::NotSent { to };
    let stream = match tokio::time::timeout(CONNECT_TIMEOUT, open_stream(Some(local), to)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Err(CallError::of_connect(to, &e)),
        Err(_) => return Err(not_sent),
    };
    let handshake = http1::Builder::new()
        .max_header_size(MAX_HEAD_BYTES)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS)
        .handshake(TokioIo::new(ShortReads::new(stream)));
    let Ok((mut sender, connection)) = handshake.await else {
        return Err(not_sent);
    };
    // The task ends with the connection; an error also surfaces in the response.
    tokio::spawn(connection);
    sender.ready().await.map_err(|_| not_sent)?;
    Ok(sender)
}
