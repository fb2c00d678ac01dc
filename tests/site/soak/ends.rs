//! A soak of starts, signals and memory, in which no entry may end by itself.
//!
//! Entries run as on the operators' platform, which starts them again. What a seed draws is known
//! before it begins.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use nix::sys::signal::Signal;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use super::explained_end::ExplainedEnd;
use super::held::{MAX_BODY_BYTES, hold_bodies, hold_heads};
use super::kept::KeptConnections;
use super::plan::{Damage, Fault, Planned, Port, draw, draw_haste};
use super::{ENTRIES, RECOVERY_TIMEOUT, Repeatable, check_runs, env_number, send_requests};
use crate::entry_supervisor::EntrySupervisor;
use crate::layout::Layout;
use crate::own_end::OwnEnd;
use crate::support::{ENTRY_PORTS, Site};

/// The memory of the smallest machine that an entry is meant for, in MB.
const MACHINE_MB: u64 = 260;
/// How long an entry that was told to end takes to do so and to be started again, at most.
const RESTART_TIMEOUT: Duration = Duration::from_secs(6);
/// How long after a fault an end is still put down to it.
const LATE_TIME: Duration = Duration::from_millis(500);

/// A fault that was injected, with its begin and its end.
struct Injected {
    planned: Planned,
    begin: Instant,
    end: Instant,
}

/// Runs a seed and returns the ends by themselves.
pub(super) async fn run(seed: u64, length: Duration) -> Vec<ExplainedEnd> {
    println!("soak of ends: seed {seed}");
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let entries = env_number("SOAK_ENTRIES", ENTRIES) as usize;
    let mut site = Site::start_with(Layout {
        entries,
        memory_mb: Some(MACHINE_MB),
        ..Layout::default()
    })
    .await;
    site.adopt_config_with(allow_large_bodies).await;
    let mut planned = draw(entries, length, &mut rng);
    planned.extend(draw_haste(length, seed));
    for fault in &planned {
        println!("soak: seed {seed}: {fault:?}");
    }
    let supervisor = site.supervise_entries();
    let started_at = Instant::now();
    let injected = Mutex::default();
    let mut kept = KeptConnections::default();
    let mut repeatable = Repeatable::default();
    let mut outcomes = Vec::new();
    let faults = planned
        .iter()
        .map(|planned| inject(&site, &supervisor, planned, &injected));
    let load = async {
        while started_at.elapsed() < length {
            let (sent, on_kept) = tokio::join!(
                send_requests(&site, &mut repeatable, &mut rng),
                kept.send(&site)
            );
            outcomes.extend(sent.into_iter().chain(on_kept));
        }
    };
    tokio::join!(join_all(faults), load);
    let started = supervisor.await_starts(RESTART_TIMEOUT).await;
    let recovered = tokio::time::timeout(RECOVERY_TIMEOUT, site.await_service()).await;
    let summary = supervisor.stop(&mut site).await;
    let injected = injected.into_inner().expect("no holder panics");
    println!(
        "soak: seed {seed}: {} faults, {} starts, at most {} bytes held, {} ends by itself",
        injected.len(),
        summary.starts,
        summary.peak_bytes,
        summary.own_ends.len()
    );
    let ends: Vec<_> = summary
        .own_ends
        .into_iter()
        .map(|end| explain(seed, end, &injected, started_at))
        .inspect(|end| println!("{end}"))
        .collect();
    assert!(started.is_ok(), "seed {seed}: {started:?}");
    assert!(
        recovered.is_ok(),
        "seed {seed}: the site does not serve again"
    );
    check_runs(&site, &outcomes, seed).await;
    ends
}

fn allow_large_bodies(spec: &mut Value) {
    spec["limits"]["max_body_bytes"] = MAX_BODY_BYTES.into();
}

/// Finds the faults during which an entry has ended by itself.
fn explain(seed: u64, end: OwnEnd, injected: &[Injected], started_at: Instant) -> ExplainedEnd {
    let is_cause = |fault: &&Injected| {
        let is_there = end.name == format!("entry-{}", fault.planned.entry);
        is_there && (fault.begin..fault.end + LATE_TIME).contains(&end.seen_at)
    };
    let faults = injected.iter().filter(is_cause);
    let faults = faults.map(|fault| fault.planned.fault.clone()).collect();
    ExplainedEnd {
        seed,
        after: end.seen_at.duration_since(started_at),
        end,
        faults,
    }
}

/// Waits for the begin of a fault, injects it and clears it.
async fn inject(
    site: &Site,
    supervisor: &EntrySupervisor,
    planned: &Planned,
    injected: &Mutex<Vec<Injected>>,
) {
    tokio::time::sleep(planned.after).await;
    let begin = Instant::now();
    let entry = planned.entry;
    let address = |port: usize| SocketAddr::new(site.entries[entry].ip, ENTRY_PORTS[port]);
    let timed = |times: &[Duration], signal| times.iter().map(|time| (*time, signal)).collect();
    match &planned.fault {
        Fault::Hangups(times) => {
            let signals = timed(times, Signal::SIGHUP);
            supervisor.signal_at(entry, signals).await;
        }
        Fault::HangupsAtStart(times) => {
            let start = supervisor.restart(entry, || {});
            start.signal_at(timed(times, Signal::SIGHUP)).await;
        }
        Fault::TerminateAtStart(time) => {
            let start = supervisor.restart(entry, || {});
            start.signal_at(timed(&[*time], Signal::SIGTERM)).await;
        }
        Fault::TerminateTwice(gap) => {
            let signals = timed(&[Duration::ZERO, *gap], Signal::SIGTERM);
            supervisor.signal_at(entry, signals).await;
        }
        Fault::Kill => supervisor.restart(entry, || {}).wait().await,
        Fault::PortHeld(port, time) => hold_port(supervisor, entry, *port, address, *time).await,
        Fault::Settings(damage, time) => {
            let file = supervisor.settings_file(entry);
            let whole = &site.entries[entry].settings;
            let mut start = supervisor.restart(entry, || damage_settings(&file, whole, *damage));
            start.wait().await;
            tokio::time::sleep(*time).await;
            std::fs::write(&file, whole).expect("the settings can be written");
        }
        Fault::LargeBodies => hold_bodies(address(0)).await,
        Fault::EndlessHeads => hold_heads(address(0)).await,
        Fault::Configs(count) => {
            for _ in 0..*count {
                // The store may be down; then the write fails, as an operator would see.
                site.apply_config_with(allow_large_bodies).await;
            }
        }
        Fault::Store(time) => {
            site.set_store_fault(503).await;
            tokio::time::sleep(*time).await;
            site.set_store_fault(0).await;
        }
        Fault::Haste(haste, time) => {
            site.control_store("haste", json!(haste)).await;
            tokio::time::sleep(*time).await;
            site.control_store("haste", json!("none")).await;
        }
    }
    let planned = planned.clone();
    let end = Instant::now();
    let mut injected = injected.lock().expect("no holder panics");
    injected.push(Injected {
        planned,
        begin,
        end,
    });
}

/// Restarts an entry while another socket holds one of its ports.
async fn hold_port(
    supervisor: &EntrySupervisor,
    entry: usize,
    port: Port,
    address: impl Fn(usize) -> SocketAddr,
    time: Duration,
) {
    let (mut tcp, mut udp) = (None, None);
    let mut start = supervisor.restart(entry, || match port {
        Port::Tcp(port) => tcp = Some(TcpListener::bind(address(port))),
        Port::Gossip => udp = Some(UdpSocket::bind(address(3))),
    });
    start.wait().await;
    tokio::time::sleep(time).await;
    // Another fault may hold the port already.
    println!("soak: entry-{entry}: port held: {tcp:?} {udp:?}");
}

fn damage_settings(file: &Path, whole: &str, damage: Damage) {
    let damaged = match damage {
        // Another fault may have removed it already.
        Damage::Missing => return drop(std::fs::remove_file(file)),
        Damage::Empty => "",
        Damage::Half(share) => &whole[..(whole.len() as f64 * share) as usize],
    };
    std::fs::write(file, damaged).expect("the settings can be written");
}
