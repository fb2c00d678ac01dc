//! What peers may send.

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

use crate::support::{Bench, DEPLOYMENT, LONG, damage, seeded};

/// The time in which a peer answers, if it does.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);
/// The most entries that an entry lists, its real peers included.
const MAX_LISTED: usize = 300;

async fn dial(address: SocketAddr) -> WebSocketStream<TcpStream> {
    let stream = TcpStream::connect(address).await.expect("it listens");
    let url = format!("ws://{address}/v1/peer");
    let (socket, _) = tokio_tungstenite::client_async(url, stream)
        .await
        .expect("a link");
    socket
}

/// Waits for a message, the end of the link, or the time in which one is due.
async fn wait_for_answer(socket: &mut WebSocketStream<TcpStream>) {
    let answer = async {
        while let Some(Ok(message)) = socket.next().await {
            if message.is_binary() {
                break;
            }
        }
    };
    let _ = tokio::time::timeout(ANSWER_LIMIT, answer).await;
}

fn name<T: TryFrom<String>>(text: String) -> T {
    T::try_from(text).ok().expect("the name is valid")
}

fn gossip(number: u64) -> GossipState {
    GossipState {
        from: name(format!("stranger-{number}")),
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
        entry: name(format!("stranger-{number}")),
        boot: BootId(Uuid::from_u128(u128::MAX)),
        heartbeat: u64::MAX,
        state: EntryState::Draining,
        // Nothing listens there.
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: name("nowhere".to_owned()),
        revision: Revision(u64::MAX),
    }
}

fn quarantine(number: u64, age_ms: u64) -> QuarantineMark {
    QuarantineMark {
        digest: RequestDigest(number),
        crashed: vec![BootId::generate(); 3],
        convicted: true,
        age_ms,
    }
}

fn hostile_messages(bench: &Bench, report: &EndpointReport) -> Vec<PeerMessage> {
    let text: std::sync::Arc<str> = DEPLOYMENT.config_text().into();
    let config = |revision, digest: String| {
        PeerMessage::Config(AcceptedConfig {
            revision: Revision(revision),
            digest,
            text: text.clone(),
            applies: Vec::new(),
        })
    };
    let endpoints = bench.cluster.hosts.iter().map(|host| host.endpoint.clone());
    let endpoints: Vec<EndpointId> = endpoints.collect();
    let own: EntryId = name(bench.cluster.entries[0].name.clone());
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
    let mut many = gossip(0);
    many.members = (0..5_000).map(member).collect();
    many.quarantine = (0..5_000).map(|number| quarantine(number, 0)).collect();
    many.sent_ms = u64::MAX;
    many.revision = Revision(u64::MAX);
    states.push(many);
    let mut impostor = gossip(1);
    impostor.from = own.clone();
    impostor.members[0].entry = own;
    states.push(impostor);
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
            (name::<WorkspaceName>(format!("workspace-{number}")), used)
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
    let mut bench = Bench::start(false).await;
    let target = bench.cluster.entries[0].peer;
    let engine = bench.cluster.engines[0].address;
    let report = bench.cluster.client.get_json(engine, "/v1/report").await;
    let messages = hostile_messages(&bench, &report.expect("a report"));
    for message in &messages {
        let mut socket = dial(target).await;
        let buf = Bytes::from(encode_peer_message(message));
        let _ = socket.send(Message::Binary(buf)).await;
        wait_for_answer(&mut socket).await;
    }
    let listed = bench.status(0).await.entries.len();
    assert!(listed <= MAX_LISTED, "{listed} entries are listed");
    // What strangers said ages out.
    bench.check(1).await;
    // Nor does it stand in for the platform and the real peer.
    let faults = PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    };
    let set = bench.cluster.set_platform_faults(&faults).await;
    set.expect("the platform takes faults");
    bench.cluster.entries[1].child.freeze().expect("it pauses");
    let caller = bench.caller(0);
    wait_until(LONG, "the cut-off entry to stop taking work", || async {
        let status = bench.cluster.status(caller).await;
        status.is_ok_and(|status| !status.ready)
    })
    .await
    .expect("it takes no new work");
}

#[tokio::test(flavor = "multi_thread")]
async fn damaged_peer_messages_do_no_harm() {
    let bench = Bench::start(false).await;
    let target = bench.cluster.entries[0].peer;
    let mut rng = seeded(4);
    let good = encode_peer_message(&PeerMessage::Gossip(Box::new(gossip(7))));
    for round in 0..200 {
        let mut socket = dial(target).await;
        let buf = match round % 4 {
            0 => (0..rng.random_range(0..2_000))
                .map(|_| rng.random())
                .collect(),
            1 => good[..rng.random_range(0..good.len())].to_vec(),
            _ => damage(&mut rng, &good),
        };
        let message = match round % 8 {
            7 => Message::Text(String::from_utf8_lossy(&buf).as_ref().into()),
            _ => Message::Binary(buf.into()),
        };
        let _ = socket.send(message).await;
        let _ = socket.close(None).await;
    }
    // Lengths that are promised and never come, and nesting without end.
    for head in [
        vec![0x5b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff],
        vec![0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff],
        vec![0xbb, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff],
        vec![0x81; 500_000],
    ] {
        let mut socket = dial(target).await;
        let _ = socket.send(Message::Binary(head.into())).await;
        wait_for_answer(&mut socket).await;
    }
    for len in [2_100_000, 20_000_000] {
        let mut socket = dial(target).await;
        let _ = socket.send(Message::Binary(vec![0; len].into())).await;
        wait_for_answer(&mut socket).await;
    }
    for _ in 0..50 {
        let mut stream = TcpStream::connect(target).await.expect("it listens");
        let buf: Vec<u8> = (0..500).map(|_| rng.random()).collect();
        let _ = stream.write_all(&buf).await;
    }
    bench.check(1).await;
}
