//! Delivers an answer to its caller as server-sent events.

use bytes::Bytes;
use dropshot::Body;
use futures_util::StreamExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use pistachioyard_wire::StreamEvent;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use crate::prelude::*;

/// The maximum number of events queued for a slow caller; a full queue blocks the stream.
const EVENT_QUEUE: usize = 256;

/// Sends the events of a stream to its caller.
#[derive(Clone)]
pub(crate) struct EventSender(mpsc::Sender<StreamEvent>);

/// Holds the first event of an answer and the channel for the rest.
pub(crate) struct EventStream {
    first: StreamEvent,
    rest: mpsc::Receiver<StreamEvent>,
}

/// The error for an event that cannot be sent because the caller closed its connection.
#[derive(Debug, thiserror::Error)]
#[error("the caller closed its connection")]
pub(crate) struct CallerGone;

impl EventSender {
    /// Sends an event; waits while the queue is full.
    pub(crate) async fn send(&self, event: StreamEvent) -> Result<(), CallerGone> {
        self.0.send(event).await.map_err(|_| CallerGone)
    }

    /// Waits until the caller has closed its connection.
    pub(crate) async fn closed(&self) {
        self.0.closed().await;
    }
}

/// Creates the channel for the events of an answer.
pub(crate) fn channel() -> (EventSender, mpsc::Receiver<StreamEvent>) {
    let (tx, rx) = mpsc::channel(EVENT_QUEUE);
    (EventSender(tx), rx)
}

impl EventStream {
    /// Waits for the first event.
    ///
    /// # Errors
    ///
    /// Fails if the first event is a problem, which is then the whole answer.
    pub(crate) async fn begin(mut rest: mpsc::Receiver<StreamEvent>) -> Result<Self, Problem> {
        match rest.recv().await {
            Some(StreamEvent::Error(problem)) => Err(problem),
            Some(first) => Ok(Self { first, rest }),
            None => Err(Problem::new(
                ProblemKind::ChainLost,
                Outcome::Failed,
                "the stream ended before its first event",
            )),
        }
    }
}

/// Returns the response body, with one frame for each event.
pub(crate) fn event_body(events: EventStream) -> Body {
    let first = futures_util::stream::iter([events.first]);
    let frames = first
        .chain(ReceiverStream::new(events.rest))
        .map(|event| Ok::<_, std::convert::Infallible>(Frame::data(encode(&event))));
    Body::wrap(StreamBody::new(frames))
}

fn encode(event: &StreamEvent) -> Bytes {
    let data = serde_json::to_string(event).expect("wire types serialize to JSON");
    let name = event.name();
    let text = match event {
        StreamEvent::Token { index, .. } => {
            format!("event: {name}\nid: {index}\ndata: {data}\n\n")
        }
        _ => format!("event: {name}\ndata: {data}\n\n"),
    };
    text.into()
}
