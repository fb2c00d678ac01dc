//! An entry of another writer that cannot be read, when all processes start again.

use std::io::Result;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, RECOVERY, record_in};
use crate::worker::Behaviour;

pub fn play(folder: &str, has_trouble: bool) -> Result<bool> {
    let record = record_in(folder)?;
    let behaviour = Behaviour {
        work: Duration::from_millis(30),
        down: Duration::from_secs(2),
        goes_dark: false,
    };
    let fleet = Fleet::start(record.clone(), 4, 3, behaviour)?;
    let (before, _) = ask_for(&fleet, Duration::from_secs(3));
    if has_trouble {
        let odd: &[u8] = b"{\"service\":\"registar\",\"address\":\"\xff\xfe\"}";
        fleet.store.put("servers", "i-odd", odd);
        record.say("another writer puts an entry that cannot be read");
    }
    thread::sleep(Duration::from_secs(1));
    let (with_entry, _) = ask_for(&fleet, Duration::from_secs(3));
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
        "served: {before:.2} before, {with_entry:.2} with the entry, {after:.2} later than \
         recovery_s after the machines are back; {ready} machines are ready; the last answer \
         was: {example}"
    ));
    if before < 0.25 {
        return Err(std::io::Error::other("too little is served before the fault"));
    }
    Ok(after >= 0.25)
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
