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

/// Reports why a stand-in cannot serve requests.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The server cannot be started.
    #[error("cannot listen on {listen}: {source}; expected an unused local address")]
    Start {
        /// The address to listen on.
        listen: SocketAddr,
        /// The error of the server.
        source: BuildError,
    },
    /// A handler conflicts with those already registered.
    #[error("cannot register a handler: {0}")]
    Register(#[from] ApiDescriptionRegisterError),
    /// A route of the proxy cannot be opened.
    #[error("cannot open the route on {listen}: {source}; expected an unused local address")]
    Route {
        /// The address to listen on.
        listen: SocketAddr,
        /// The error of the system.
        source: io::Error,
    },
    /// The server stopped unexpectedly.
    #[error("the server on {listen} stopped unexpectedly: {why}")]
    Ended {
        /// The address that it listened on.
        listen: SocketAddr,
        /// The error of the server.
        why: String,
    },
}

/// Starts a server whose handlers run to completion even if the caller disconnects.
///
/// The server's logs are discarded.
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
/// Fails when the server cannot be started or stops unexpectedly.
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
/// The body fails before the head is flushed, so the caller receives no answer.
pub(crate) fn abort_connection() -> Response<Body> {
    let failure: Result<Frame<Bytes>, io::Error> = Err(io::ErrorKind::ConnectionAborted.into());
    let body = StreamBody::new(stream::iter([failure]));
    Response::new(Body::wrap(body))
}
