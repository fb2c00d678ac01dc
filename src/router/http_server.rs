//! The HTTP servers for callers, the directory, readiness, peers and metrics.

mod activity;
mod request_origin;
mod tracked_stream;

use std::convert::Infallible;
use std::error::Error;
use std::net::SocketAddr;

use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use pistachioyard_platform::{
    DIRECTORY_PATH, READY_PATH, decode_directory_query, encode_directory_answer,
};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use self::activity::{ActiveBody, ConnectionActivity, idle_limit};
pub(crate) use self::request_origin::RequestOrigin;
use self::tracked_stream::TrackedStream;
use crate::memory::HeldMemory;
use crate::prelude::*;
use crate::router::answer::{self, AnswerBody};
use crate::router::controller::{STATE_PATH, encode_state};
use crate::router::log::ms;
use crate::router::metric::Exporter;
use crate::router::peer_probe::PROBE_PATH;
use crate::router::{Router, filter, relay_hop};

/// The maximum number of connections waiting to be accepted; exceeds the number of callers.
const BACKLOG: u32 = 1_024;
/// How long a caller caches a directory response, in seconds. It is the smallest value that
/// the platform supports, so that callers leave a stopping entry soon.
const DIRECTORY_TTL_S: u64 = 1;
/// The most addresses that a caller takes from a directory response.
const MAX_ADDRESSES: usize = 64;
/// The size up to which the buffer of a connection grows, in bytes, unless the limit for heads is
/// larger. It cannot be changed while the connection is open. The limit may rise meanwhile; once it
/// exceeds the buffer, the connection is closed.
const HEAD_BUFFER_BYTES: usize = 64 * 1024;
/// The room in the buffer beyond the limit for heads, in bytes, for what a peer adds to a request
/// that it passes on.
const RELAY_HEAD_BYTES: usize = 4 * 1024;
/// The maximum number of headers of a request or an answer; as many as a head of 16 KiB can hold,
/// whose size is what bounds them.
pub(crate) const MAX_HEADERS: usize = 4_096;
/// How long the head of a request that has begun to arrive may take on a connection that is about
/// to be closed.
const LAST_HEAD_LIMIT: Duration = Duration::from_millis(500);
/// The maximum size of a peer's question for a probe, in bytes.
const MAX_PROBE_BYTES: usize = 4_096;
/// The delay after a failed accept, such as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Selects what a server responds with.
#[derive(Clone)]
pub(crate) enum Service {
    /// Requests from callers.
    Callers,
    /// The addresses that callers connect to.
    Directory,
    /// Whether this process is ready.
    Readiness,
    /// This entry's state and probes, and requests that are passed on, for its peers.
    Peers,
    /// The Prometheus metrics.
    Metrics(Exporter),
}

impl Service {
    /// Returns the name of the task that accepts connections.
    pub(crate) fn task(&self) -> &'static str {
        match self {
            Self::Callers => "accept_callers",
            Self::Directory => "accept_directory",
            Self::Readiness => "accept_readiness",
            Self::Peers => "accept_peers",
            Self::Metrics(_) => "accept_metrics",
        }
    }
}

/// Opens a listening socket on an address.
pub(crate) fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections and serves them until the process stops.
pub(crate) async fn accept(router: Arc<Router>, listener: Arc<TcpListener>, service: Service) {
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    tokio::spawn(serve(router.clone(), stream, service.clone()));
                }
                Err(e) => {
                    if router.other_lines.allows() {
                        spdlog::error!("http: cannot accept", kv: { why = e.to_string().as_str() });
                    }
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            () = router.lifecycle.stopped() => return,
        }
    }
}

async fn serve(router: Arc<Router>, stream: TcpStream, service: Service) {
    let (Ok(()), Ok(address)) = (stream.set_nodelay(true), stream.peer_addr()) else {
        // The peer has already closed the connection.
        return;
    };
    let max_head = router.max_head_bytes().max(HEAD_BUFFER_BYTES);
    let is_caller = matches!(service, Service::Callers);
    let may_serve = is_caller || matches!(service, Service::Peers);
    let _open = may_serve.then(|| router.lifecycle.open_connection());
    let activity = ConnectionActivity::new(Instant::now());
    let (state, counted) = (router.clone(), activity.clone());
    let held = HeldMemory::new(router.memory.heads.clone(), address);
    let stream = TrackedStream::new(stream, activity.clone(), held);
    let handler = service_fn(move |mut req: Request<Incoming>| {
        let request = Arc::new(counted.begin());
        req.extensions_mut().insert(RequestOrigin {
            address,
            in_progress: request.clone(),
        });
        let router = state.clone();
        let service = service.clone();
        async move {
            let response = handle(router, service, req).await;
            Ok::<_, Infallible>(response.map(|body| ActiveBody::new(body, request)))
        }
    });
    let connection = http1::Builder::new()
        .max_buf_size(max_head + RELAY_HEAD_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), handler);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = &mut connection => Some(ended),
        () = activity.idle_limit_passed(&router) => None,
        () = router.wait_for_longer_heads(max_head), if may_serve => None,
        () = router.lifecycle.stopped() => None,
    };
    let ended = match ended {
        Some(ended) => Some(ended),
        None => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                ended = &mut connection => Some(ended),
                () = activity.head_limit_passed(LAST_HEAD_LIMIT) => None,
            }
        }
    };
    let why = match ended {
        Some(Ok(())) => return,
        Some(Err(e)) => error_text(&e),
        None => "the head of a request did not arrive in time".to_owned(),
    };
    if is_caller {
        spdlog::info!("http: caller's connection broke", kv: {
            why = why.as_str(), requests = activity.requests(),
            idle_limit_ms = ms(idle_limit(&router))
        });
    }
}

/// Returns an error with its causes as text.
fn error_text(e: &hyper::Error) -> String {
    match e.source() {
        Some(cause) => format!("{e}: {cause}"),
        None => e.to_string(),
    }
}

async fn handle(
    router: Arc<Router>,
    service: Service,
    req: Request<Incoming>,
) -> Response<AnswerBody> {
    match service {
        Service::Callers => {
            let response = filter::serve(router.clone(), req).await;
            close_if_draining(&router, response)
        }
        Service::Peers if relay_hop::is_marked(req.headers()) => {
            let mut response = filter::serve_relayed(router.clone(), req).await;
            router.mark_relayed_answer(response.headers_mut());
            close_if_draining(&router, response)
        }
        Service::Peers if req.uri().path() == PROBE_PATH => {
            let asked = Limited::new(req.into_body(), MAX_PROBE_BYTES)
                .collect()
                .await;
            let answer = match asked {
                Ok(asked) => router.answer_peer(&asked.to_bytes()).await,
                Err(_) => None,
            };
            match answer {
                Some(answer) => answer::text("application/json", answer),
                None => answer::status(StatusCode::BAD_REQUEST),
            }
        }
        Service::Directory if req.uri().path() == DIRECTORY_PATH => directory(&router, &req),
        Service::Readiness if req.uri().path() == READY_PATH => {
            answer::status(if router.is_ready() {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            })
        }
        Service::Metrics(metrics) => {
            answer::text("text/plain; version=0.0.4", metrics.render(&router))
        }
        Service::Peers if req.uri().path() == STATE_PATH => match encode_state(&router) {
            Some(state) => answer::text("application/cbor", state),
            None => answer::status(StatusCode::SERVICE_UNAVAILABLE),
        },
        Service::Directory | Service::Readiness | Service::Peers => {
            answer::status(StatusCode::NOT_FOUND)
        }
    }
}

fn close_if_draining(router: &Router, mut response: Response<AnswerBody>) -> Response<AnswerBody> {
    if router.lifecycle.is_draining() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

fn directory(router: &Router, req: &Request<Incoming>) -> Response<AnswerBody> {
    let asked_from = req.uri().query().and_then(decode_directory_query);
    let now = Instant::now();
    let mut addresses = router.caller_addresses(asked_from.as_ref(), MAX_ADDRESSES, now);
    if addresses.is_empty() {
        spdlog::warn!("directory: no ready entry to return", kv: { asked_from:? });
        return answer::status(StatusCode::SERVICE_UNAVAILABLE);
    }
    addresses.sort();
    let ttl_s = DIRECTORY_TTL_S.min(router.settings.max_directory_ttl.as_secs().max(1));
    answer::text(
        "application/json",
        encode_directory_answer(&addresses, ttl_s),
    )
}
