//! Entries of another writer that name no worker, when all processes start again.

use std::io::Result;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, RECOVERY, record_in};
use crate::record::Record;
use crate::worker::Behaviour;

/// What is wrong with the entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Odd {
    /// An entry for each worker's address lacks `version`, `cold_remaining_ms` and `sequence`.
    Fields,
    /// One entry holds bytes that are no text.
    Bytes,
}

pub fn play(folder: &str, has_trouble: bool) -> Result<bool> {
    let record = record_in(folder)?;
    let mut held = true;
    for odd in [Odd::Fields, Odd::Bytes] {
        held &= play_one(&record, odd, has_trouble)?;
    }
    Ok(held)
}

fn play_one(record: &Arc<Record>, odd: Odd, has_trouble: bool) -> Result<bool> {
    let behaviour = Behaviour {
        work: Duration::from_millis(30),
        down: Duration::from_secs(2),
        goes_dark: false,
    };
    let fleet = Fleet::start(record.clone(), 4, 3, behaviour)?;
    let (before, _) = ask_for(&fleet, Duration::from_secs(3));
    if has_trouble {
        put_odd(&fleet, odd);
        record.say(&format!("{odd:?}: another writer puts entries that name no worker"));
    }
    thread::sleep(Duration::from_secs(1));
    let (with_entries, _) = ask_for(&fleet, Duration::from_secs(3));
    record.say("all processes are killed and start again");
    for machine in &fleet.machines {
        machine.kill();
    }
    thread::sleep(Duration::from_secs(1));
    for machine in &fleet.machines {
        machine.start()?;
    }
    let back = Instant::now();
    ask_for(&fleet, RECOVERY.saturating_sub(back.elapsed()));
    let (after, example) = ask_for(&fleet, Duration::from_secs(10));
    let ready = fleet.machines.iter().filter(|machine| machine.is_ready()).count();
    record.say(&format!(
        "{odd:?}: served: {before:.2} before, {with_entries:.2} with the entries, {after:.2} later \
         than recovery_s after the machines are back; {ready} machines are ready; the last answer \
         was: {example}"
    ));
    if before < 0.25 {
        return Err(std::io::Error::other("too little is served before the fault"));
    }
    Ok(after >= 0.25)
}

fn put_odd(fleet: &Fleet, odd: Odd) {
    match odd {
        Odd::Bytes => {
            let entry: &[u8] = b"{\"service\":\"registar\",\"address\":\"\xff\xfe\"}";
            fleet.store.put("servers", "odd", entry);
        }
        Odd::Fields => {
            for worker in &fleet.workers {
                let entry = format!(
                    "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"slots\":6,\
                     \"state\":\"ready\"}}",
                    worker.service, worker.address, worker.zone
                );
                fleet.store.put("servers", &format!("odd-{}", worker.name), entry.as_bytes());
            }
        }
    }
}

/// Sends requests for some time; returns the share that was served and the last answer.
fn ask_for(fleet: &Fleet, time: Duration) -> (f64, String) {
    let began = Instant::now();
    let (mut sent, mut served, mut last) = (0, 0, String::new());
    while began.elapsed() < time {
        for machine in &fleet.machines {
            let outcome = fleet.send(machine, "GET", &format!("/status/{sent}"), b"");
            sent += 1;
            served += usize::from(outcome.status() == 200);
            last = outcome.text();
        }
        thread::sleep(Duration::from_millis(100));
    }
    (f64::from(served as u32) / f64::from(sent.max(1)), last)
}
