//! Malformed and hostile messages from peers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use pistachioyard_policy::text_digest;
use pistachioyard_standins::{PlatformFaults, wait_until};
use pistachioyard_wire::{
    AcceptedConfig, BootId, EndpointId, EndpointMark, EndpointMarkKind, EndpointReport, EntryId,
    EntryState, GossipState, MemberRecord, PeerMessage, QuarantineMark, RequestDigest, Revision,
    WorkspaceName, WorkspaceUsage, encode_peer_message,
};
use rand::Rng;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::{Bytes, Message};
use uuid::Uuid;

use crate::support::{DEPLOYMENT, Harness, WAIT_TIMEOUT, mutate, seeded_rng};

/// How long to wait for an entry's answer to a message, which may never come.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// The most entries that an entry may list, its real peers included.
const MAX_LISTED: usize = 300;

async fn connect(address: SocketAddr) -> WebSocketStream<TcpStream> {
    let stream = TcpStream::connect(address)
        .await
        .expect("failed to connect");
    let url = format!("ws://{address}/v1/peer");
    let (socket, _) = tokio_tungstenite::client_async(url, stream)
        .await
        .expect("the WebSocket handshake failed");
    socket
}

/// Waits for a binary message, the end of the connection, or [`ANSWER_TIMEOUT`].
async fn wait_for_answer(socket: &mut WebSocketStream<TcpStream>) {
    let answer = async {
        while let Some(Ok(message)) = socket.next().await {
            if message.is_binary() {
                break;
            }
        }
    };
    let _ = tokio::time::timeout(ANSWER_TIMEOUT, answer).await;
}

fn parse_name<T: TryFrom<String>>(text: String) -> T {
    T::try_from(text).ok().expect("the name is malformed")
}

fn gossip(number: u64) -> GossipState {
    GossipState {
        from: parse_name(format!("stranger-{number}")),
        sent_ms: 1,
        members: vec![member(number)],
        beats: Vec::new(),
        revision: Revision(1),
        in_flight: BTreeMap::new(),
        endpoint_marks: Vec::new(),
        quarantine: Vec::new(),
        suspects: BTreeMap::new(),
        usage: BTreeMap::new(),
        reports: Vec::new(),
        loads: Vec::new(),
    }
}

fn member(number: u64) -> MemberRecord {
    MemberRecord {
        entry: parse_name(format!("stranger-{number}")),
        boot: BootId(Uuid::from_u128(u128::MAX)),
        heartbeat: u64::MAX,
        state: EntryState::Draining,
        // Nothing listens on this port.
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: parse_name("nowhere".to_owned()),
        revision: Revision(u64::MAX),
    }
}

fn quarantine(number: u64, age_ms: u64) -> QuarantineMark {
    QuarantineMark {
        digest: RequestDigest(number),
        crashed: vec![BootId::generate(); 3],
        cleared: Vec::new(),
        undecided: Vec::new(),
        convicted: true,
        has_relapsed: false,
        age_ms,
    }
}

fn hostile_messages(harness: &Harness, report: &EndpointReport) -> Vec<PeerMessage> {
    let text: std::sync::Arc<str> = DEPLOYMENT.config_text().into();
    let config = |revision, digest: String| {
        PeerMessage::Config(AcceptedConfig {
            revision: Revision(revision),
            digest,
            text: text.clone(),
            applies: Vec::new(),
        })
    };
    let endpoints = harness
        .cluster
        .hosts
        .iter()
        .map(|host| host.endpoint.clone());
    let endpoints: Vec<EndpointId> = endpoints.collect();
    let own_name: EntryId = parse_name(harness.cluster.entries[0].name.clone());
    let mut messages = vec![
        config(u64::MAX, text_digest(&text)),
        config(u64::MAX - 1, text_digest(&text)),
        config(2, "wrong".to_owned()),
        config(0, text_digest(&text)),
        PeerMessage::WantConfig,
    ];
    for sent_ms in [0, 1, u64::MAX / 2, u64::MAX] {
        for revision in [0, 1, u64::MAX] {
            let revision = Revision(revision);
            messages.push(PeerMessage::Ack { sent_ms, revision });
        }
    }
    let mut states = Vec::new();
    let mut oversized = gossip(0);
    oversized.members = (0..5_000).map(member).collect();
    oversized.quarantine = (0..5_000).map(|number| quarantine(number, 0)).collect();
    oversized.sent_ms = u64::MAX;
    oversized.revision = Revision(u64::MAX);
    states.push(oversized);
    let mut spoofed = gossip(1);
    spoofed.from = own_name.clone();
    spoofed.members[0].entry = own_name;
    states.push(spoofed);
    let mut aged = gossip(2);
    aged.quarantine = vec![quarantine(9, u64::MAX), quarantine(10, u64::MAX / 2)];
    aged.endpoint_marks = endpoints
        .iter()
        .map(|endpoint| EndpointMark {
            endpoint: endpoint.clone(),
            boot: None,
            kind: EndpointMarkKind::Dead,
            age_ms: u64::MAX,
        })
        .collect();
    aged.in_flight = endpoints.iter().map(|id| (id.clone(), u32::MAX)).collect();
    states.push(aged);
    let mut usage = gossip(3);
    usage.usage = (0..5_000)
        .map(|number| {
            let used = WorkspaceUsage {
                in_flight: u32::MAX,
                waiting: u32::MAX,
            };
            (
                parse_name::<WorkspaceName>(format!("workspace-{number}")),
                used,
            )
        })
        .collect();
    states.push(usage);
    for (number, value) in [f64::NAN, f64::INFINITY, -1.0, 0.0, f64::MAX]
        .into_iter()
        .enumerate()
    {
        let mut state = gossip(4 + number as u64);
        let mut hostile = report.clone();
        hostile.tokens_per_second = value;
        hostile.step_ms = value;
        hostile.links_ms = vec![(hostile.data_centre.clone(), value)];
        hostile.running = u32::MAX;
        hostile.waiting = u32::MAX;
        state.reports = vec![(hostile.clone(), 0), (hostile, u64::MAX)];
        states.push(state);
    }
    let states = states.into_iter().map(Box::new).map(PeerMessage::Gossip);
    messages.extend(states);
    messages
}

#[tokio::test(flavor = "multi_thread")]
async fn hostile_peer_messages_do_no_harm() {
    let mut harness = Harness::start(false).await;
    let target = harness.cluster.entries[0].peer;
    let engine = harness.cluster.engines[0].address;
    let report = harness.cluster.client.get_json(engine, "/v1/report").await;
    let messages = hostile_messages(&harness, &report.expect("failed to read the report"));
    for message in &messages {
        let mut socket = connect(target).await;
        let buf = Bytes::from(encode_peer_message(message));
        let _ = socket.send(Message::Binary(buf)).await;
        wait_for_answer(&mut socket).await;
    }
    let listed = harness.status(0).await.entries.len();
    assert!(listed <= MAX_LISTED, "{listed} entries are listed");
    // The state that the unknown peers sent expires.
    harness.check_unharmed(1).await;
    // Nor does that state replace confirmation by the platform or the real peer.
    let faults = PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    };
    let set = harness.cluster.set_platform_faults(&faults).await;
    set.expect("the platform rejected the faults");
    harness.cluster.entries[1]
        .child
        .freeze()
        .expect("failed to freeze the entry");
    let caller = harness.caller_address(0);
    wait_until(
        WAIT_TIMEOUT,
        "the isolated entry to refuse new work",
        || async {
            let status = harness.cluster.status(caller).await;
            status.is_ok_and(|status| !status.ready)
        },
    )
    .await
    .expect("the entry still takes new work");
}

#[tokio::test(flavor = "multi_thread")]
async fn mutated_peer_messages_do_no_harm() {
    let harness = Harness::start(false).await;
    let target = harness.cluster.entries[0].peer;
    let mut rng = seeded_rng(4);
    let valid = encode_peer_message(&PeerMessage::Gossip(Box::new(gossip(7))));
    for round in 0..200 {
        let mut socket = connect(target).await;
        let buf = match round % 4 {
            0 => (0..rng.random_range(0..2_000))
                .map(|_| rng.random())
                .collect(),
            1 => valid[..rng.random_range(0..valid.len())].to_vec(),
            _ => mutate(&mut rng, &valid),
        };
        let message = match round % 8 {
            7 => Message::Text(String::from_utf8_lossy(&buf).as_ref().into()),
            _ => Message::Binary(buf.into()),
        };
        let _ = socket.send(message).await;
        let _ = socket.close(None).await;
    }
    // CBOR length prefixes without the data that they announce, and very deep nesting.
    for head in [
        vec![0x5b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff],
        vec![0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff],
        vec![0xbb, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff],
        vec![0x81; 500_000],
    ] {
        let mut socket = connect(target).await;
        let _ = socket.send(Message::Binary(head.into())).await;
        wait_for_answer(&mut socket).await;
    }
    for len in [2_100_000, 20_000_000] {
        let mut socket = connect(target).await;
        let _ = socket.send(Message::Binary(vec![0; len].into())).await;
        wait_for_answer(&mut socket).await;
    }
    for _ in 0..50 {
        let mut stream = TcpStream::connect(target).await.expect("failed to connect");
        let buf: Vec<u8> = (0..500).map(|_| rng.random()).collect();
        let _ = stream.write_all(&buf).await;
    }
    harness.check_unharmed(1).await;
}
