//! Starts event streams and hands them to a [`Relay`].

use bytes::Bytes;
use futures_util::stream::unfold;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use pistachioyard_wire::ServiceName;

use super::Call;
use super::record::Record;
use super::relay::{Relay, Start};
use crate::lifecycle::InFlight;
use crate::prelude::*;
use crate::router::Router;
use crate::router::answer::{self, AnswerBody, StreamAborted};

/// Starts a stream and returns the head of its answer, with the events as the body.
pub(crate) async fn dispatch(
    router: &Arc<Router>,
    call: Call,
    service: &ServiceName,
    in_flight: InFlight,
    record: &mut Record,
) -> Result<Response<AnswerBody>, Problem> {
    router.check_return(&call, service)?;
    let configured = call.config.table.service(service);
    let spec = configured.and_then(|service| service.pipeline.clone());
    let mean_size = spec.as_ref().map(|spec| spec.mean_size());
    let size = call.head.size.or(mean_size).unwrap_or_default();
    let mut relay = Relay::new(router.clone(), call, service.clone(), spec, size, in_flight);
    relay.swap_record(record);
    let started = relay.start().await;
    if !matches!(started, Ok(Start::Stream(..))) {
        relay.swap_record(record);
    }
    match started? {
        Start::Stream(status, headers) => {
            let mut response = Response::new(stream_body(relay));
            *response.status_mut() = status;
            *response.headers_mut() = headers;
            Ok(response)
        }
        Start::Complete(status, headers, body) => {
            record.end_answered(status.as_u16());
            let mut response = Response::new(answer::full_body(body));
            *response.status_mut() = status;
            *response.headers_mut() = headers;
            Ok(response)
        }
    }
}

/// Creates a body that takes events from the relay as the caller reads them.
///
/// When the caller disconnects, the body is dropped and closes the connection to the endpoint.
fn stream_body(relay: Relay) -> AnswerBody {
    let events = unfold(Some(relay), |relay| async {
        let mut relay = relay?;
        match relay.next().await {
            Ok(Some(events)) => Some((frame(events), Some(relay))),
            Ok(None) => None,
            Err(e) => Some((Err(e), None)),
        }
    });
    StreamBody::new(events).boxed_unsync()
}

fn frame(events: Bytes) -> Result<Frame<Bytes>, StreamAborted> {
    Ok(Frame::data(events))
}
