//! Delivery of an answer as server-sent events.

use bytes::Bytes;
use dropshot::Body;
use futures_util::StreamExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use pistachioyard_wire::StreamEvent;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use crate::prelude::*;

/// The events that may wait for a slow caller; the stream then waits for it.
const EVENT_QUEUE: usize = 256;

/// Passes events from a stream to its caller.
#[derive(Clone)]
pub(crate) struct EventSender(mpsc::Sender<StreamEvent>);

/// The caller's end of an answer.
pub(crate) struct EventStream {
    first: StreamEvent,
    rest: mpsc::Receiver<StreamEvent>,
}

/// The caller has closed its connection.
#[derive(Debug, thiserror::Error)]
#[error("the caller is gone")]
pub(crate) struct CallerGone;

impl EventSender {
    /// Passes on an event.
    pub(crate) async fn send(&self, event: StreamEvent) -> Result<(), CallerGone> {
        self.0.send(event).await.map_err(|_| CallerGone)
    }

    /// Waits until the caller is gone.
    pub(crate) async fn gone(&self) {
        self.0.closed().await;
    }
}

/// Makes both ends of an answer.
pub(crate) fn channel() -> (EventSender, mpsc::Receiver<StreamEvent>) {
    let (tx, rx) = mpsc::channel(EVENT_QUEUE);
    (EventSender(tx), rx)
}

impl EventStream {
    /// Waits for the first event; a problem there is the whole answer.
    pub(crate) async fn begin(mut rest: mpsc::Receiver<StreamEvent>) -> Result<Self, Problem> {
        match rest.recv().await {
            Some(StreamEvent::Error(problem)) => Err(problem),
            Some(first) => Ok(Self { first, rest }),
            None => Err(Problem::new(
                ProblemKind::ChainLost,
                Outcome::Failed,
                "the stream ended before it began",
            )),
        }
    }
}

/// Returns the body of an answer, an event at a time.
pub(crate) fn event_body(events: EventStream) -> Body {
    let first = futures_util::stream::iter([events.first]);
    let frames = first
        .chain(ReceiverStream::new(events.rest))
        .map(|event| Ok::<_, std::convert::Infallible>(Frame::data(encode(&event))));
    Body::wrap(StreamBody::new(frames))
}

fn encode(event: &StreamEvent) -> Bytes {
    let data = serde_json::to_string(event).expect("border types can be written as JSON");
    let name = event.name();
    let text = match event {
        StreamEvent::Token { index, .. } => {
            format!("event: {name}\nid: {index}\ndata: {data}\n\n")
        }
        _ => format!("event: {name}\ndata: {data}\n\n"),
    };
    text.into()
}
