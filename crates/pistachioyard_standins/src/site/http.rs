//! A plain HTTP server with one handler for all paths.

use std::convert::Infallible;
use std::net::SocketAddr;

use ::http::{Request, Response, StatusCode};
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpSocket;

/// The maximum number of headers of a request; entries pass on as many as fit into a head.
const MAX_HEADERS: usize = 4_096;

/// The maximum number of connections waiting to be accepted.
pub(crate) const BACKLOG: u32 = 256;

/// The body of an answer; an error closes the connection.
pub(crate) type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Returns a body whose bytes are all known.
pub(crate) fn full_body(body: impl Into<Bytes>) -> Body {
    Full::new(body.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a body that closes the connection before any byte of it.
pub(crate) fn broken_body() -> Body {
    let broken = std::future::ready(Err(std::io::ErrorKind::ConnectionAborted.into()));
    http_body_util::StreamBody::new(futures_util::stream::once(broken)).boxed_unsync()
}

/// Returns an answer with a JSON body.
pub(crate) fn json_response(status: StatusCode, value: &Value) -> Response<Body> {
    let mut answer = Response::new(full_body(value.to_string()));
    *answer.status_mut() = status;
    answer
}

/// Returns an answer with an empty body.
pub(crate) fn status_only(status: StatusCode) -> Response<Body> {
    let mut answer = Response::new(full_body(""));
    *answer.status_mut() = status;
    answer
}

/// Reads a body as JSON; returns `null` if it is not valid JSON.
pub(crate) async fn read_json(body: Incoming) -> Value {
    let read = body.collect().await.map(|body| body.to_bytes());
    read.ok()
        .and_then(|bytes| serde_json::from_slice(&bytes).ok())
        .unwrap_or_default()
}

/// Serves requests until the process ends.
pub(crate) async fn serve<F, Fut>(listen: SocketAddr, handler: F) -> std::io::Result<()>
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Response<Body>> + Send,
{
    let socket = match listen {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(listen)?;
    let listener = socket.listen(BACKLOG)?;
    loop {
        let (stream, _) = listener.accept().await?;
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = service_fn(move |req| {
                let handler = handler.clone();
                async move { Ok::<_, Infallible>(handler(req).await) }
            });
            // A caller that disconnects is not an error of the stand-in.
            let _ = http1::Builder::new()
                .max_headers(MAX_HEADERS)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
