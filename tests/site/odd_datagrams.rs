//! Datagrams of a peer whose numbers are far from the usual ones.

use std::net::SocketAddr;
use std::time::Duration;

use ciborium::{Value, cbor};
use pistachioyard_standins::wait_until;
use pistachioyard_wire::{
    BootId, EntryState, LayerRange, MemberRecord, PartCrash, PartReport, PromptPart,
    QuarantineMark, RequestDigest, Revision,
};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::UdpSocket;
use xxhash_rust::xxh3::xxh3_64;

use super::layout::Layout;
use super::odd_numbers::assert_no_panic;
use super::support::{ENTRY_PORTS, Site};

const SEED: u64 = 47;
const DATAGRAMS: usize = 3_000;
/// The number of datagrams that are none of the gossip's.
const MALFORMED: usize = 10_000;
/// The time between two rounds of these, in which the entry reads them.
const ROUND_TIME: Duration = Duration::from_millis(20);
/// The number of datagrams after which streams are sent, so that what was told is used.
const DATAGRAMS_PER_ROUND: usize = 100;

/// Draws the numbers of one datagram.
struct Numbers {
    rng: ChaCha8Rng,
    keys: Vec<u32>,
}

impl Numbers {
    fn small(&mut self) -> u32 {
        let drawn = self.rng.random();
        let odd = [0, 1, 7, 1 << 31, u32::MAX - 1, u32::MAX, drawn];
        *odd.choose(&mut self.rng).expect("it is not empty")
    }

    fn large(&mut self) -> u64 {
        let drawn = self.rng.random();
        let odd = [0, 1, 250, i64::MAX as u64, u64::MAX - 1, u64::MAX, drawn];
        *odd.choose(&mut self.rng).expect("it is not empty")
    }

    fn float(&mut self) -> f32 {
        let odd = [
            f32::NAN,
            f32::INFINITY,
            f32::NEG_INFINITY,
            -1.0,
            0.0,
            3.0,
            f32::MIN,
            f32::MAX,
        ];
        *odd.choose(&mut self.rng).expect("it is not empty")
    }

    fn key(&mut self) -> u32 {
        *self
            .keys
            .choose(&mut self.rng)
            .expect("there are endpoints")
    }

    fn boot(&mut self) -> BootId {
        BootId(uuid::Uuid::from_u128(self.rng.random_range(0..4)))
    }

    fn digest(&mut self) -> RequestDigest {
        RequestDigest::of(&[&[self.rng.random_range(0..4)]])
    }

    fn member(&mut self, address: SocketAddr) -> MemberRecord {
        let centre = *["east", "west"].choose(&mut self.rng).expect("two");
        MemberRecord {
            entry: format!("odd-{centre}").try_into().expect("a name"),
            boot: self.boot(),
            heartbeat: self.large(),
            state: EntryState::Live,
            address,
            peer_address: address,
            data_centre: centre.try_into().expect("a name"),
            revision: Revision(self.large()),
        }
    }

    fn mark(&mut self) -> QuarantineMark {
        QuarantineMark {
            digest: self.digest(),
            crashed: vec![self.boot(), self.boot()],
            cleared: vec![self.boot()],
            undecided: vec![(self.boot(), self.large())],
            convicted: self.rng.random(),
            has_relapsed: self.rng.random(),
            age_ms: self.large(),
        }
    }

    fn datagram(&mut self, address: SocketAddr) -> Vec<u8> {
        let n = self;
        let first = n.rng.random_range(0..8);
        let layers = LayerRange::new(first, n.small().max(first + 1)).expect("it has layers");
        let parts = PartReport {
            crashes: vec![PartCrash {
                run: n.boot(),
                parts: vec![PromptPart::of("a")],
                age_ms: n.large(),
            }],
            ..PartReport::default()
        };
        let of = |value: Result<Value, _>| -> Value {
            value
                .map_err(|e: ciborium::value::Error| e)
                .expect("it can be encoded")
        };
        let gossip = cbor!({
            "members" => [of(Value::serialized(&n.member(address)))],
            "heartbeats" => [[n.small(), n.large()]],
            "reaches_store" => n.rng.random::<bool>(),
            "endpoints_revision" => n.large(),
            "endpoints_fresh" => [n.large(), n.large()],
            "config_age_ms" => n.large(),
            "newest_fence" => n.large(),
            "load" => [[n.key(), n.small(), n.float()], [n.key(), n.small(), n.float()]],
            "departures" => [[n.key(), n.float(), n.small()]],
            "reading" => [[n.key(), n.large()], [n.key(), n.large()]],
            "demand" => [[n.key(), n.rng.random::<u8>(), n.float(), n.float()]],
            "workspaces" => [[n.key(), n.key(), n.float(), n.float(), n.float()]],
            "heard" => [{
                "key" => n.key(), "layers" => of(Value::serialized(&layers)),
                "is_moving" => n.rng.random::<bool>(), "orders_begun" => n.large(),
                "started_unix_ms" => n.large(), "slowdown" => n.float(), "age_ms" => n.large(),
            }],
            "leaving" => [[n.key(), n.large()]],
            "dead" => [[n.key(), n.large(), n.large()]],
            "limits" => [{
                "key" => n.key(), "started_unix_ms" => n.large(),
                "per_second" => f64::from(n.float()), "age_ms" => n.large(),
            }],
            "reach" => [[n.key(), n.small(), n.rng.random::<bool>()]],
            "returns" => [{
                "service" => n.key(), "rates" => [n.float(), n.float()],
                "promised" => [n.small() as u16, n.small() as u16],
                "bookings" => [[n.small(), n.small(), n.small(), 1_u8, true]],
            }],
            "quarantine" => [of(Value::serialized(&n.mark()))],
            "parts" => of(Value::serialized(&parts)),
            "load_only" => n.rng.random::<bool>(),
            "is_failing" => n.rng.random::<bool>(),
        });
        let mut datagram = Vec::new();
        let gossip = gossip.expect("it can be encoded");
        ciborium::into_writer(&gossip, &mut datagram).expect("it can be encoded");
        datagram
    }
}

/// Guards against datagrams of which each makes a line, until the log loses those of requests.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_datagrams_do_not_fill_the_log() {
    let site = Site::start(1).await;
    let socket = UdpSocket::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let gossip_address = SocketAddr::new(site.entries[0].ip, ENTRY_PORTS[3]);
    let earlier = site.entries[0].process.log().lines().count();
    for sent in 1..=MALFORMED {
        let result = socket.send_to(b"malformed", gossip_address).await;
        result.expect("the datagram is sent");
        if sent % DATAGRAMS_PER_ROUND == 0 {
            tokio::time::sleep(ROUND_TIME).await;
        }
    }
    let to = site.entries[0].caller_address();
    assert_eq!(site.check_plain(to, "/lookup/a").await.result, Ok(()));
    let log = site.entries[0].process.log();
    assert!(log.contains("peers: malformed datagram"));
    let lines = log.lines().count() - earlier;
    assert!(lines < MALFORMED / 10, "{lines} lines");
}

/// Guards against numbers of a peer that end a task of the entry.
#[tokio::test(flavor = "multi_thread")]
async fn odd_numbers_of_a_peer_end_no_task() {
    let mut site = Site::start_with(Layout {
        has_load_controls: true,
        ..Layout::default()
    })
    .await;
    let to = site.entries[0].caller_address();
    let socket = UdpSocket::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let own = socket.local_addr().expect("it is bound");
    let names = site.endpoints.iter().map(|e| e.process.name.clone());
    let names = names.chain(["model", "records", "one"].map(str::to_owned));
    let mut numbers = Numbers {
        rng: ChaCha8Rng::seed_from_u64(SEED),
        keys: names.map(|name| xxh3_64(name.as_bytes()) as u32).collect(),
    };
    let gossip_address = SocketAddr::new(site.entries[0].ip, ENTRY_PORTS[3]);
    for sent in 1..=DATAGRAMS {
        let datagram = numbers.datagram(own);
        let result = socket.send_to(&datagram, gossip_address).await;
        result.expect("the datagram is sent");
        if sent % DATAGRAMS_PER_ROUND == 0 {
            // Whether they are served depends on what the peer has told.
            let _ = tokio::join!(site.check_stream(to), site.check_plain(to, "/lookup/a"));
        }
    }
    wait_until(Duration::from_secs(5), "the datagrams", || async {
        site.entries[0].process.log().contains("odd-east")
    })
    .await
    .expect("the entry has read the datagrams");
    assert!(site.entries[0].process.is_running());
    assert_no_panic(&site).await;
}
