//! Links between engines: one WebSocket connection per direction, opened by the sender.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use pistachioyard_wire::{DataCentre, EndpointId};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{Instant, sleep_until, timeout};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::{Error as SocketError, Message};

use super::core::{Core, Engine};
use super::link_message::{Hello, LinkItem, encode_item};

/// The timeout for opening a link, in milliseconds.
const LINK_OPEN_TIMEOUT_MS: u64 = 1_000;

/// The HTTP path at which an engine accepts links.
pub(crate) const LINK_PATH: &str = "/v1/link";

/// Reports why a link ended.
#[derive(Debug, thiserror::Error)]
enum LinkError {
    #[error("the link did not open within {LINK_OPEN_TIMEOUT_MS} ms")]
    OpenTimeout,
    #[error("cannot open the link: {0}")]
    Connect(#[from] std::io::Error),
    #[error("the link failed: {0}")]
    Socket(#[from] Box<SocketError>),
    #[error("the receiving endpoint closed the link")]
    Closed,
    #[error("cannot decode the handshake message of the receiving endpoint")]
    BadHello,
    #[error("endpoint {found} answers at the address of endpoint {expected}")]
    WrongEndpoint {
        found: EndpointId,
        expected: EndpointId,
    },
}

impl From<SocketError> for LinkError {
    fn from(e: SocketError) -> Self {
        Self::Socket(Box::new(e))
    }
}

/// Queues items for an outgoing link.
#[derive(Clone, Debug)]
pub(crate) struct LinkHandle {
    items: UnboundedSender<(Instant, LinkItem)>,
}

impl Engine {
    /// Sends an item to an endpoint, over the open link or a new one.
    ///
    /// The link time is counted from `at`.
    pub(crate) fn send(
        self: &Arc<Self>,
        core: &mut Core,
        to: &EndpointId,
        address: SocketAddr,
        (at, item): (Instant, LinkItem),
    ) {
        let queued = (at, item);
        let queued = match core.links.get(&address) {
            Some(link) => match link.items.send(queued) {
                Ok(()) => return,
                Err(e) => e.0,
            },
            None => queued,
        };
        let (items, rx) = unbounded_channel();
        // `rx` is still in scope, so sending this first item cannot fail.
        let _ = items.send(queued);
        core.links.insert(address, LinkHandle { items });
        tokio::spawn(run_link(Arc::clone(self), to.clone(), address, rx));
    }

    /// Returns the time that an activation takes to reach a data centre.
    fn link_time(&self, to: &DataCentre) -> Duration {
        let fault = self.lock().faults.link_ms.get(to.as_str()).copied();
        let configured = || {
            let link = self.settings.link.iter().find(|l| l.data_centre == *to);
            link.map_or(0.0, |l| l.ms)
        };
        Duration::from_secs_f64(fault.unwrap_or_else(configured).max(0.0) / 1_000.0)
    }
}

/// Serves one outgoing link until it ends, then ends the attempts that depend on it.
async fn run_link(
    engine: Arc<Engine>,
    to: EndpointId,
    address: SocketAddr,
    rx: UnboundedReceiver<(Instant, LinkItem)>,
) {
    let ended = serve_link(&engine, &to, address, rx).await;
    if let Err(e) = ended {
        eprintln!("engine {}: link to {to}: {e}", engine.settings.endpoint);
    }
    let mut core = engine.lock();
    // Keeps a newer link to the same address that has replaced this one.
    if core
        .links
        .get(&address)
        .is_some_and(|l| l.items.is_closed())
    {
        core.links.remove(&address);
    }
    engine.handle_neighbour_loss(&mut core, &to);
}

/// Opens an outgoing link and sends queued items when their link time has passed.
async fn serve_link(
    engine: &Engine,
    to: &EndpointId,
    address: SocketAddr,
    mut rx: UnboundedReceiver<(Instant, LinkItem)>,
) -> Result<(), LinkError> {
    let open_limit = Duration::from_millis(LINK_OPEN_TIMEOUT_MS);
    let opened = timeout(open_limit, open_link(engine, to, address)).await;
    let (socket, data_centre) = opened.map_err(|_| LinkError::OpenTimeout)??;
    let (mut sink, mut stream) = socket.split();
    let mut stalled = engine.stall_links.subscribe();
    let mut queue = VecDeque::new();
    loop {
        let due = queue.front().map(|(at, _): &(Instant, LinkItem)| *at);
        let is_stalled = *stalled.borrow_and_update();
        tokio::select! {
            item = rx.recv() => {
                let Some(item) = item else { return Ok(()) };
                let delay = engine.link_time(&data_centre);
                queue.push_back((item.0 + delay, item.1));
                while let Ok((at, item)) = rx.try_recv() {
                    queue.push_back((at + delay, item));
                }
                if !is_stalled {
                    flush_due(&mut queue, &mut sink).await?;
                }
            }
            () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() && !is_stalled => {
                flush_due(&mut queue, &mut sink).await?;
            }
            message = stream.next() => match message {
                Some(Ok(Message::Close(_))) | None => return Err(LinkError::Closed),
                Some(Ok(_)) => {}
                Some(Err(e)) => return Err(e.into()),
            },
            changed = stalled.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
            }
        }
    }
}

/// Sends all items whose link time has passed as one message.
async fn flush_due<S>(
    queue: &mut VecDeque<(Instant, LinkItem)>,
    sink: &mut S,
) -> Result<(), LinkError>
where
    S: SinkExt<Message, Error = SocketError> + Unpin,
{
    let now = Instant::now();
    let mut buf = Vec::new();
    while let Some((due, mut item)) = queue.pop_front_if(|(due, _)| *due <= now) {
        item.set_lateness(now - due);
        encode_item(&item, &mut buf);
    }
    if !buf.is_empty() {
        sink.send(Message::Binary(buf.into())).await?;
    }
    Ok(())
}

/// Opens a link and returns it with the data centre of the receiving endpoint.
///
/// The connection is bound to the IP address that the engine listens on.
async fn open_link(
    engine: &Engine,
    to: &EndpointId,
    address: SocketAddr,
) -> Result<(WebSocketStream<TcpStream>, DataCentre), LinkError> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(engine.settings.listen.ip(), 0))?;
    let tcp = socket.connect(address).await?;
    tcp.set_nodelay(true)?;
    let url = format!(
        "ws://{address}{LINK_PATH}?from={}",
        engine.settings.endpoint
    );
    let (mut socket, _) = tokio_tungstenite::client_async(url, tcp).await?;
    let Some(Message::Binary(buf)) = socket.next().await.transpose()? else {
        return Err(LinkError::Closed);
    };
    let hello: Hello = ciborium::from_reader(&buf[..]).map_err(|_| LinkError::BadHello)?;
    if hello.endpoint != *to {
        return Err(LinkError::WrongEndpoint {
            found: hello.endpoint,
            expected: to.clone(),
        });
    }
    Ok((socket, hello.data_centre))
}

/// Serves one incoming link until it ends.
pub(crate) async fn serve_incoming<S>(
    engine: Arc<Engine>,
    from: EndpointId,
    mut socket: WebSocketStream<S>,
) -> Result<(), SocketError>
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
{
    let hello = Hello {
        endpoint: engine.settings.endpoint.clone(),
        data_centre: engine.settings.data_centre.clone(),
    };
    let mut buf = Vec::new();
    encode_item(&hello, &mut buf);
    let mut ended = socket.send(Message::Binary(buf.into())).await;
    while ended.is_ok() {
        match socket.next().await {
            Some(Ok(Message::Binary(buf))) => engine.receive(&buf),
            Some(Ok(Message::Close(_))) | None => break,
            Some(Ok(_)) => {}
            Some(Err(e)) => ended = Err(e),
        }
    }
    engine.handle_neighbour_loss(&mut engine.lock(), &from);
    ended
}
