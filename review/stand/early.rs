//! Clients connect to a machine that has just started again, while the store is slow, and keep
//! their connections. Later they send requests with long heads.

use std::io::Result;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, SETTLE, record_in};
use crate::http::Client;
use crate::worker::Behaviour;

const CLIENTS: usize = 20;
/// How many times as long the store takes to answer, and for how long.
const SLOW_TIMES: u32 = 60;
const SLOW_TIME: Duration = Duration::from_millis(4_500);
/// How long a killed process is away.
const DOWN: Duration = Duration::from_millis(500);
/// The pause between two requests of a client; well below four fifths of `idle_timeout_ms`.
const PAUSE: Duration = Duration::from_millis(500);
/// The length of the header that makes a head long; `max_header_bytes` is 16,384.
const LONG: usize = 11_000;
/// A machine's wrong refusals: at most 5, and one in 500 of all requests.
const MAX_DENIED: f64 = 5.0;
const MAX_SHARE: f64 = 1.0 / 500.0;

#[derive(Default)]
struct Counts {
    sent: usize,
    denied: usize,
    /// The requests with long heads that were served, on the same or on a new connection.
    served_long: usize,
}

pub fn play(folder: &str, has_trouble: bool) -> Result<bool> {
    let record = record_in(folder)?;
    let behaviour = Behaviour {
        work: Duration::from_millis(30),
        down: Duration::from_secs(2),
        goes_dark: false,
    };
    let fleet = Arc::new(Fleet::start(record.clone(), 4, 3, behaviour)?);
    let began = Instant::now();
    if has_trouble {
        record.say("the store is slow");
        fleet.store.slow_down(SLOW_TIMES);
        thread::sleep(Duration::from_millis(500));
        record.say(&format!("{} is killed", fleet.machines[3].name));
        fleet.machines[3].kill();
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let fleet = fleet.clone();
            thread::spawn(move || play_client(&fleet, n))
        })
        .collect();
    if has_trouble {
        thread::sleep(DOWN);
        fleet.machines[3].start()?;
        record.say("the process starts again");
        thread::sleep(SLOW_TIME.saturating_sub(began.elapsed()));
        record.say("the store is as usual");
        fleet.store.slow_down(1);
    }
    let mut counts = Counts::default();
    for client in clients {
        let of_client = client.join().unwrap_or_default();
        counts.sent += of_client.sent;
        counts.denied += of_client.denied;
        counts.served_long += of_client.served_long;
    }
    let allowed = MAX_DENIED + counts.sent as f64 * MAX_SHARE;
    record.say(&format!(
        "{} of {} requests were denied, {allowed:.1} may be; {} with long heads were served",
        counts.denied, counts.sent, counts.served_long
    ));
    if counts.served_long == 0 {
        return Err(std::io::Error::other("no request with a long head was served at all"));
    }
    Ok(counts.denied as f64 <= allowed)
}

/// Connects as soon as the machine listens, keeps the connection, and sends a request with a long
/// head once the machine has been in touch for a while; and another one on a new connection.
fn play_client(fleet: &Fleet, n: usize) -> Counts {
    let machine = &fleet.machines[3];
    let mut counts = Counts::default();
    let mut kept = Client::new(machine.front());
    // The processes of a killed machine refuse connections until they start again.
    let began = Instant::now();
    while !kept.connect() && began.elapsed() < Duration::from_secs(10) {
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(PAUSE);
    let until = Instant::now() + SLOW_TIME + SETTLE + Duration::from_secs(2);
    while Instant::now() < until {
        fleet.send_on(&mut kept, machine, "GET", &format!("/status/{n}"), b"");
        counts.sent += 1;
        thread::sleep(PAUSE);
    }
    let text = "x".repeat(LONG);
    let long = [("X-Note", text.as_str())];
    let mut new = Client::new(machine.front());
    for client in [&mut kept, &mut new] {
        let path = format!("/status/long-{n}");
        let outcome = fleet.send_with(client, machine, "GET", &path, &long, b"");
        counts.sent += 1;
        let is_denied = matches!(outcome.status(), 300..=499)
            && !matches!(outcome.status(), 408 | 421 | 429);
        counts.denied += usize::from(is_denied);
        counts.served_long += usize::from(outcome.status() == 200);
    }
    counts
}
