//! The links between entries, which carry CBOR messages over WebSocket.
//!
//! Each entry dials a bounded number of peers and sends them its state at every gossip interval.
//! A link that falls behind drops gossip, so that its queue stays bounded. Later messages repeat
//! the state, and missed reports are read from the endpoints.

use std::collections::HashMap;
use std::net::SocketAddr;

use futures_util::{SinkExt, StreamExt};
use parking_lot::Mutex;
use pistachioyard_wire::{
    MAX_PEER_MESSAGE_BYTES, PeerMessage, decode_peer_message, encode_peer_message,
};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{Bytes, Message};

use crate::outgoing::open_stream;
use crate::prelude::*;

/// The maximum number of peers that an entry dials.
const MAX_DIALED: usize = 8;
/// The maximum number of accepted links; each may buffer one message.
const MAX_ACCEPTED: usize = 256;
/// The maximum number of connections waiting to be accepted.
const BACKLOG: u32 = 1_024;
/// The maximum number of messages that are queued on one link.
const LINK_QUEUE: usize = 16;
/// The timeout of dialing a peer or of the handshake with it, in milliseconds. Also the backoff
/// after a failed accept.
const DIAL_TIMEOUT_MS: u64 = 500;
/// The interval of keepalive pings on a link, in milliseconds.
const PING_INTERVAL_MS: u64 = 1_000;
/// The time without received messages after which a link is dropped, in milliseconds.
const LINK_IDLE_TIMEOUT_MS: u64 = 3_000;

/// Holds the links that this entry has dialed.
#[derive(Default)]
pub(crate) struct PeerLinks {
    dialed: Mutex<HashMap<SocketAddr, mpsc::Sender<Bytes>>>,
}

impl PeerLinks {
    /// Sends the entry's state, with new reports, to every dialed peer.
    pub(crate) fn push_gossip(&self, node: &Node) {
        let gossip = node.gossip_with_reports(Instant::now());
        self.send(&PeerMessage::Gossip(Box::new(gossip)));
    }

    /// Sends a message to every dialed peer. Skips the links whose queue is full.
    pub(crate) fn send(&self, message: &PeerMessage) {
        let buf = Bytes::from(encode_peer_message(message));
        for tx in self.dialed.lock().values() {
            if tx.try_send(buf.clone()).is_ok() {
                crate::metric::peer_bytes_sent(buf.len());
            }
        }
    }

    /// Returns the entry's state as a reply to a peer that it does not dial and that might
    /// otherwise not learn of the other entries.
    fn gossip_reply(&self, node: &Node, to: &EntryId) -> Option<PeerMessage> {
        let is_dialed = {
            let membership = node.membership.lock();
            let record = membership.record_of(to)?;
            self.dialed.lock().contains_key(&record.peer_address)
        };
        let gossip = || node.gossip(Instant::now());
        (!is_dialed).then(|| PeerMessage::Gossip(Box::new(gossip())))
    }

    /// Dials the selected peers that are not linked yet.
    pub(crate) fn dial_missing(&self, node: &Arc<Node>) {
        // The task of a link may have ended without removing it.
        self.dialed.lock().retain(|_, tx| !tx.is_closed());
        for address in select_peers(node) {
            let mut dialed = self.dialed.lock();
            if dialed.contains_key(&address) || dialed.len() >= MAX_DIALED {
                continue;
            }
            let (tx, rx) = mpsc::channel(LINK_QUEUE);
            dialed.insert(address, tx);
            tokio::spawn(dial(node.clone(), address, rx));
        }
    }
}

/// Returns the addresses to dial: gossip targets first, then the configured peers.
fn select_peers(node: &Node) -> Vec<SocketAddr> {
    let now = Instant::now();
    let own = node.settings.advertised_peer_address;
    let mut rng = node.rng.lock();
    let targets = node
        .membership
        .lock()
        .gossip_targets(MAX_DIALED, now, &mut *rng);
    let known = targets.into_iter().map(|(_, address)| address);
    let seeds = node.settings.peers.iter().copied();
    let mut selected: Vec<SocketAddr> = Vec::new();
    for address in known.chain(seeds) {
        if address != own && !selected.contains(&address) {
            selected.push(address);
        }
    }
    selected
}

async fn dial(node: Arc<Node>, address: SocketAddr, rx: mpsc::Receiver<Bytes>) {
    let timeout = Duration::from_millis(DIAL_TIMEOUT_MS);
    if let Ok(Some(socket)) = tokio::time::timeout(timeout, connect(&node, address)).await {
        spdlog::debug!("peers: link to {address} established");
        run_link(&node, socket, rx, LinkEnd::Dialed).await;
    }
    node.peers.dialed.lock().remove(&address);
}

async fn connect(node: &Node, address: SocketAddr) -> Option<WebSocketStream<TcpStream>> {
    let local = node.settings.peer_address.ip();
    let stream = open_stream(Some(local), address).await.ok()?;
    let url = format!("ws://{address}/v1/peer");
    let limits = Some(message_limits());
    let dialed = tokio_tungstenite::client_async_with_config(url, stream, limits);
    let (socket, _) = dialed.await.ok()?;
    Some(socket)
}

fn message_limits() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_PEER_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_PEER_MESSAGE_BYTES))
}

/// Opens the socket on which peers connect.
pub(crate) fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Starts to accept links from peers.
pub(crate) fn serve(node: &Arc<Node>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(MAX_ACCEPTED));
    let listener = Arc::new(listener);
    crate::controller::supervise(node, "accept_peers", move |node| {
        accept_links(node, listener.clone(), permits.clone())
    });
}

async fn accept_links(node: Arc<Node>, listener: Arc<TcpListener>, permits: Arc<Semaphore>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Ok(permit) = permits.clone().try_acquire_owned() else {
                    continue;
                };
                let node = node.clone();
                tokio::spawn(async move {
                    accept(node, stream).await;
                    drop(permit);
                });
            }
            Err(e) => {
                spdlog::warn!("peers: cannot accept a connection: {e}");
                tokio::time::sleep(Duration::from_millis(DIAL_TIMEOUT_MS)).await;
            }
        }
    }
}

async fn accept(node: Arc<Node>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let timeout = Duration::from_millis(DIAL_TIMEOUT_MS);
    let handshake = tokio_tungstenite::accept_async_with_config(stream, Some(message_limits()));
    if let Ok(Ok(socket)) = tokio::time::timeout(timeout, handshake).await {
        let (_tx, rx) = mpsc::channel(1);
        run_link(&node, socket, rx, LinkEnd::Accepted).await;
    }
}

/// Says which end of a link this process is.
#[derive(Clone, Copy, Eq, PartialEq)]
enum LinkEnd {
    Dialed,
    Accepted,
}

async fn run_link(
    node: &Arc<Node>,
    mut socket: WebSocketStream<TcpStream>,
    mut rx: mpsc::Receiver<Bytes>,
    end: LinkEnd,
) {
    let mut last_received_at = Instant::now();
    let mut ping = tokio::time::interval(Duration::from_millis(PING_INTERVAL_MS));
    let idle_timeout = Duration::from_millis(LINK_IDLE_TIMEOUT_MS);
    loop {
        let sent = tokio::select! {
            Some(buf) = rx.recv(), if end == LinkEnd::Dialed => {
                socket.send(Message::Binary(buf)).await
            }
            received = socket.next() => {
                last_received_at = Instant::now();
                match received {
                    Some(Ok(Message::Binary(buf))) => {
                        send_all(&mut socket, receive(node, &buf, end)).await
                    }
                    Some(Ok(Message::Close(_)) | Err(_)) | None => return,
                    Some(Ok(_)) => Ok(()),
                }
            }
            _ = ping.tick() => {
                if last_received_at.elapsed() > idle_timeout {
                    return;
                }
                socket.send(Message::Ping(Bytes::new())).await
            }
        };
        if sent.is_err() {
            return;
        }
    }
}

async fn send_all(
    socket: &mut WebSocketStream<TcpStream>,
    replies: Vec<Bytes>,
) -> Result<(), tokio_tungstenite::tungstenite::Error> {
    for reply in replies {
        socket.send(Message::Binary(reply)).await?;
    }
    Ok(())
}

/// Handles a message and returns the replies to send on the same link.
fn receive(node: &Arc<Node>, buf: &[u8], end: LinkEnd) -> Vec<Bytes> {
    crate::metric::peer_bytes_received(buf.len());
    let message = match decode_peer_message(buf) {
        Ok(message) => message,
        Err(e) => {
            spdlog::warn!("peers: {e}");
            return Vec::new();
        }
    };
    let replies = match message {
        PeerMessage::Gossip(gossip) => {
            let ack = PeerMessage::Ack {
                sent_ms: gossip.sent_ms,
                revision: node.revision(),
            };
            let is_behind = gossip.revision > node.revision();
            let from = gossip.from.clone();
            node.merge_gossip(*gossip, Instant::now());
            node.admission.wake();
            let want = is_behind.then_some(PeerMessage::WantConfig);
            // Only the accepting end replies with gossip, or the two ends could reply to each other
            // endlessly.
            let reply = (end == LinkEnd::Accepted)
                .then(|| node.peers.gossip_reply(node, &from))
                .flatten();
            std::iter::once(ack).chain(want).chain(reply).collect()
        }
        PeerMessage::Ack { sent_ms, revision } => {
            node.confirm_config(sent_ms, revision);
            if revision > node.revision() {
                vec![PeerMessage::WantConfig]
            } else {
                Vec::new()
            }
        }
        PeerMessage::WantConfig => {
            let adoption = node.adoption.lock();
            adoption
                .current()
                .map(|active| PeerMessage::Config(active.accepted.clone()))
                .into_iter()
                .collect()
        }
        PeerMessage::Config(accepted) => {
            crate::controller::adopt_from_peer(node, accepted);
            Vec::new()
        }
    };
    let replies: Vec<Bytes> = replies
        .iter()
        .map(|message| Bytes::from(encode_peer_message(message)))
        .collect();
    crate::metric::peer_bytes_sent(replies.iter().map(Bytes::len).sum());
    replies
}
