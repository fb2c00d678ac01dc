//! Connects an HTTP client from an address of this host.

use std::future::Future;
use std::io::{Error, ErrorKind, Result};
use std::net::IpAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use http::Uri;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tower_service::Service;

use super::open_stream;
use crate::prelude::*;

/// Opens the connections of an HTTP client, whose calls name addresses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Connector {
    local: Option<IpAddr>,
    timeout: Duration,
}

impl Connector {
    /// Creates a connector whose attempts take `timeout` at most.
    pub(crate) fn new(local: Option<IpAddr>, timeout: Duration) -> Self {
        Self { local, timeout }
    }
}

impl Service<Uri> for Connector {
    type Response = TokioIo<TcpStream>;
    type Error = Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let Self { local, timeout } = *self;
        Box::pin(async move {
            let to = uri.authority().and_then(|to| to.as_str().parse().ok());
            let to = to.ok_or(ErrorKind::InvalidInput)?;
            let stream = tokio::time::timeout(timeout, open_stream(local, to)).await;
            Ok(TokioIo::new(stream.map_err(|_| ErrorKind::TimedOut)??))
        })
    }
}
