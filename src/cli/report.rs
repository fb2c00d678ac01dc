//! `pistachioyard report burn`: service-level burn over all entries.
//!
//! Each entry sums its own windows, so merging them is exact addition
//! (`docs/design/service-level-burn.md`).

mod chart;
mod table;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;

use pistachioyard_policy::{BurnReport, merge_counts};
use pistachioyard_wire::{EntryBurn, ForceStatus, LevelCounts};
use serde::Serialize;

use super::status::read_status;
use super::{ExitStatus, Output, Target};
use crate::client::{Call, HttpClient, Reuse};
use crate::error::CallError;
use crate::prelude::*;

/// How long an entry may take to answer, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 3_000;

/// An entry that did not answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
struct SilentEntry {
    /// Its name, where the entries know it.
    entry: Option<EntryId>,
    /// Where it was asked.
    address: SocketAddr,
    /// What was seen.
    why: String,
}

/// What the entries counted, merged.
#[derive(Clone, Debug, Serialize)]
struct FleetBurn {
    /// The entries whose counts are in the report.
    answered: Vec<EntryId>,
    /// The entries whose counts are missing.
    silent: Vec<SilentEntry>,
    /// The service levels.
    levels: Vec<BurnReport>,
    /// Ended requests for answers since the entries' starts, by how they ended.
    ended: BTreeMap<String, u64>,
    /// Ended operations since the entries' starts, by how they ended.
    operations: BTreeMap<String, u64>,
}

/// Prints the report, and draws it where a file is named.
pub(crate) async fn burn(target: &Target, svg: Option<&Path>) -> eyre::Result<ExitStatus> {
    let status = read_status(target).await?;
    let report = gather(&status, target).await;
    if let Some(path) = svg {
        std::fs::write(path, chart::draw(&report)?)?;
    }
    match target.output {
        Output::Json => println!("{}", serde_json::to_string_pretty(&report)?),
        Output::Table => print!("{}", table::render(&report)),
    }
    Ok(ExitStatus::Done)
}

/// Asks every known entry, and those named on the command line, at once.
async fn gather(status: &ForceStatus, target: &Target) -> FleetBurn {
    let known = status
        .entries
        .iter()
        .map(|e| (Some(e.entry.clone()), e.address));
    let named = target.entries.iter().map(|address| (None, *address));
    let mut seen = BTreeSet::new();
    let asked: Vec<(Option<EntryId>, SocketAddr)> = known
        .chain(named)
        .filter(|(_, address)| seen.insert(*address))
        .collect();
    let client = HttpClient::new(None, Reuse::Fresh);
    let asks = asked.iter().map(|(_, address)| ask(&client, *address));
    let answers = futures_util::future::join_all(asks).await;
    let mut burns = BTreeMap::new();
    let mut silent = Vec::new();
    for ((entry, address), answer) in asked.into_iter().zip(answers) {
        match answer {
            // An entry that is reached at two addresses counts once.
            Ok(burn) => {
                burns.insert(burn.entry.clone(), burn);
            }
            Err(e) => silent.push(SilentEntry {
                entry,
                address,
                why: e.to_string(),
            }),
        }
    }
    merge(burns, silent)
}

async fn ask(client: &HttpClient, address: SocketAddr) -> Result<EntryBurn, CallError> {
    let timeout = Duration::from_millis(ANSWER_TIMEOUT_MS);
    client
        .send(Call::get(address, "/v1/burn"), timeout)
        .await?
        .parse_success()
}

fn merge(burns: BTreeMap<EntryId, EntryBurn>, mut silent: Vec<SilentEntry>) -> FleetBurn {
    silent.retain(|s| {
        s.entry
            .as_ref()
            .is_none_or(|name| !burns.contains_key(name))
    });
    let mut levels: Vec<LevelCounts> = Vec::new();
    let mut ended = BTreeMap::new();
    let mut operations = BTreeMap::new();
    for burn in burns.values() {
        for counts in &burn.levels {
            match levels.iter_mut().find(|known| known.level == counts.level) {
                Some(known) => merge_counts(&mut known.windows, &counts.windows),
                None => levels.push(counts.clone()),
            }
        }
        add_labels(&mut ended, &burn.ended);
        add_labels(&mut operations, &burn.operations);
    }
    FleetBurn {
        answered: burns.into_keys().collect(),
        silent,
        levels: levels
            .into_iter()
            .map(|counts| BurnReport::new(counts.level, &counts.windows))
            .collect(),
        ended,
        operations,
    }
}

fn add_labels(into: &mut BTreeMap<String, u64>, other: &BTreeMap<String, u64>) {
    for (label, count) in other {
        *into.entry(label.clone()).or_default() += count;
    }
}
