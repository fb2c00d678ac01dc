//! Starts the HTTP servers of the stand-ins.

use std::io;
use std::net::SocketAddr;

use ::http::Response;
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, Body, BuildError, ConfigDropshot, HandlerTaskMode,
    HttpServer, ServerBuilder, ServerContext,
};
use futures_util::stream;
use http_body_util::StreamBody;
use hyper::body::{Bytes, Frame};

/// Why a stand-in cannot serve.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The server could not be started.
    #[error("cannot listen on {listen}: {source}; give a free address of this machine")]
    Start {
        /// The address as given.
        listen: SocketAddr,
        /// The server's reason.
        source: BuildError,
    },
    /// A handler does not fit the others.
    #[error("cannot register a handler: {0}")]
    Register(#[from] ApiDescriptionRegisterError),
    /// A route of the proxy could not be opened.
    #[error("cannot open the route on {listen}: {source}; give a free address of this machine")]
    Route {
        /// The address as given.
        listen: SocketAddr,
        /// The system's reason.
        source: io::Error,
    },
    /// The server ended although nobody stopped it.
    #[error("the server on {listen} ended: {why}")]
    Ended {
        /// Where it listened.
        listen: SocketAddr,
        /// The server's reason.
        why: String,
    },
}

/// Starts a server whose handlers outlive a caller that goes away.
///
/// Its logs are discarded.
///
/// # Errors
///
/// Fails when `listen` cannot be bound.
pub(crate) async fn serve<C: ServerContext>(
    api: ApiDescription<C>,
    cx: C,
    listen: SocketAddr,
    max_body_bytes: usize,
) -> Result<HttpServer<C>, ServeError> {
    let cfg = ConfigDropshot {
        bind_address: listen,
        default_handler_task_mode: HandlerTaskMode::Detached,
        default_request_body_max_bytes: max_body_bytes,
        ..ConfigDropshot::default()
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    ServerBuilder::new(api, cx, log)
        .config(cfg)
        .start()
        .map_err(|source| ServeError::Start { listen, source })
}

/// Serves until the process ends.
///
/// # Errors
///
/// Fails when the server cannot be started or ends on its own.
pub(crate) async fn serve_forever<C: ServerContext>(
    api: ApiDescription<C>,
    cx: C,
    listen: SocketAddr,
    max_body_bytes: usize,
) -> Result<(), ServeError> {
    let server = serve(api, cx, listen, max_body_bytes).await?;
    server
        .await
        .map_err(|why| ServeError::Ended { listen, why })
}

/// Returns a response that closes the connection before any byte is sent.
///
/// The body fails before the head is flushed, so the caller sees no answer.
pub(crate) fn hang_up() -> Response<Body> {
    let fault: Result<Frame<Bytes>, io::Error> = Err(io::ErrorKind::ConnectionAborted.into());
    let body = StreamBody::new(stream::iter([fault]));
    Response::new(Body::wrap(body))
}
