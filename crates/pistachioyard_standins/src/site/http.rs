//! A plain HTTP server for handlers that take any path.

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
use tokio::net::TcpListener;

/// The body of an answer; an error breaks the connection off.
pub(crate) type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Makes a body that is known whole.
pub(crate) fn whole(body: impl Into<Bytes>) -> Body {
    Full::new(body.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Answers with JSON.
pub(crate) fn json(status: StatusCode, value: &Value) -> Response<Body> {
    let mut answer = Response::new(whole(value.to_string()));
    *answer.status_mut() = status;
    answer
}

/// Answers with a status alone.
pub(crate) fn empty(status: StatusCode) -> Response<Body> {
    let mut answer = Response::new(whole(""));
    *answer.status_mut() = status;
    answer
}

/// Reads a body as JSON; null if it is none.
pub(crate) async fn read_json(body: Incoming) -> Value {
    let read = body.collect().await.map(|body| body.to_bytes());
    read.ok()
        .and_then(|bytes| serde_json::from_slice(&bytes).ok())
        .unwrap_or_default()
}

/// Serves until the process ends.
pub(crate) async fn serve<F, Fut>(listen: SocketAddr, handler: F) -> std::io::Result<()>
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Response<Body>> + Send,
{
    let listener = TcpListener::bind(listen).await?;
    loop {
        let (stream, _) = listener.accept().await?;
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = service_fn(move |req| {
                let handler = handler.clone();
                async move { Ok::<_, Infallible>(handler(req).await) }
            });
            // A caller that goes away ends its connection; that is no fault of the stand-in.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
