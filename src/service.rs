//! The adapter for plain services, those without a pipeline.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Method;
use pistachioyard_wire::{CallName, OperationKey};

use crate::client::{Answer, Call, HttpClient};
use crate::error::CallError;
use crate::prelude::*;

/// The timeout of a call to a service, in milliseconds.
pub(crate) const SERVICE_TIMEOUT_MS: u64 = 15_000;
/// The header in which a service declares that it ran nothing.
const NOT_RUN_HEADER: &str = "x-not-run";

/// A service's response to a call.
#[derive(Debug)]
pub(crate) enum ServiceAnswer {
    /// The service ran the call and reports the result in the status.
    Ran {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: String,
    },
    /// The service declared that it ran nothing.
    NotRun,
}

/// Calls plain services.
pub(crate) struct ServiceClient {
    client: HttpClient,
}

impl ServiceClient {
    /// Creates an adapter. The client must open a new connection for each call.
    pub(crate) fn new(client: HttpClient) -> Self {
        Self { client }
    }

    /// Sends a call once, without retries.
    pub(crate) async fn call(
        &self,
        to: SocketAddr,
        call: &CallName,
        key: Option<OperationKey>,
        body: Bytes,
        timeout: Duration,
    ) -> Result<ServiceAnswer, CallError> {
        let mut req = Call::new(Method::POST, to, format!("/v1/calls/{call}"));
        req.headers
            .push(("content-type", "application/json".to_owned()));
        if let Some(key) = key {
            req.headers.push(("idempotency-key", key.to_string()));
        }
        req.body = body;
        self.client.send(req, timeout).await.map(classify)
    }
}

fn classify(answer: Answer) -> ServiceAnswer {
    let is_not_run = answer
        .headers
        .get(NOT_RUN_HEADER)
        .is_some_and(|value| value == "true");
    if is_not_run {
        return ServiceAnswer::NotRun;
    }
    ServiceAnswer::Ran {
        status: answer.status.as_u16(),
        body: String::from_utf8_lossy(&answer.body).into_owned(),
    }
}
