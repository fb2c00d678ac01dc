//! Connections to endpoints, used for one request at a time.
//!
//! Unlike a general client, this one says for each failure whether any byte of the
//! request can have reached the endpoint, and never sends a request twice by itself.

use std::collections::HashMap;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;

use crate::error::CallError;
use crate::prelude::*;
use crate::router::metric;

/// How long a connection attempt may take; a sound endpoint accepts in a few ms, and
/// a lost opening packet is sent again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long an idle connection is used again where the endpoint does not say.
const DEFAULT_IDLE: Duration = Duration::from_secs(2);
/// The part of the stated idle time after which a connection is not used again, so
/// that a request does not cross the endpoint's close.
const IDLE_SHARE: f64 = 0.6;
/// The most idle connections kept for one endpoint.
const MAX_IDLE: usize = 64;

/// Whether a connection that was used before will do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reuse {
    /// Any will do; right for what may be sent again.
    Allowed,
    /// A new one is made, so that no close can cross the request.
    Never,
}

struct Idle {
    sender: SendRequest<Full<Bytes>>,
    usable_until: Instant,
}

/// Sends requests to endpoints.
#[derive(Default)]
pub(crate) struct EndpointClient {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

/// The connection that an answer arrives on.
pub(crate) struct Connection {
    to: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

impl EndpointClient {
    /// Sends a request and waits for the head of its answer.
    ///
    /// Dropping the future or the answer's body closes the connection, which ends
    /// the work at the endpoint.
    pub(crate) async fn send(
        &self,
        to: SocketAddr,
        req: Request<Full<Bytes>>,
        reuse: Reuse,
    ) -> Result<(Response<Incoming>, Connection), CallError> {
        let mut req = req;
        while let Some(mut sender) = self.take_idle(to, reuse) {
            match sender.try_send_request(req).await {
                Ok(response) => return Ok((response, Connection { to, sender })),
                Err(mut e) => match e.take_message() {
                    // Nothing was written: the connection had been closed meanwhile.
                    Some(unsent) => req = unsent,
                    None => return Err(CallError::AnswerLost { to }),
                },
            }
        }
        let mut sender = connect(to).await?;
        match sender.try_send_request(req).await {
            Ok(response) => Ok((response, Connection { to, sender })),
            Err(mut e) => Err(match e.take_message() {
                Some(_) => CallError::NotSent { to },
                None => CallError::AnswerLost { to },
            }),
        }
    }

    /// Tells whether an endpoint takes connections.
    pub(crate) async fn is_reachable(&self, to: SocketAddr) -> bool {
        match connect(to).await {
            Ok(sender) => {
                self.keep(Connection { to, sender }, None);
                true
            }
            Err(_) => false,
        }
    }

    /// Keeps a connection whose answer was read whole.
    pub(crate) fn keep(&self, connection: Connection, idle_limit: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        let idle = idle_limit.map_or(DEFAULT_IDLE, |limit| limit.mul_f64(IDLE_SHARE));
        let mut pool = self.idle.lock();
        let kept = pool.entry(connection.to).or_default();
        if kept.len() < MAX_IDLE {
            kept.push(Idle {
                sender: connection.sender,
                usable_until: Instant::now() + idle,
            });
        }
    }

    /// Closes the idle connections whose time is over.
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

async fn connect(to: SocketAddr) -> Result<SendRequest<Full<Bytes>>, CallError> {
    metric::count_connect();
    let not_sent = CallError::NotSent { to };
    let stream = match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) | Err(_) => return Err(not_sent),
    };
    if stream.set_nodelay(true).is_err() {
        return Err(not_sent);
    }
    let handshake = http1::Builder::new().handshake(TokioIo::new(stream));
    let Ok((mut sender, connection)) = handshake.await else {
        return Err(not_sent);
    };
    // The task ends with the connection; how it ended shows in the answer.
    tokio::spawn(connection);
    sender.ready().await.map_err(|_| not_sent)?;
    Ok(sender)
}
