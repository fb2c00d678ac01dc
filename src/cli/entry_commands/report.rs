//! The `report burn` command, which shows the burn rates of the service levels over all entries.
//!
//! Each entry counts events in the same windows, so the counts are merged by exact addition
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

/// The timeout for reading the counts of an entry, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 3_000;

/// Describes an entry whose counts could not be read.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
struct SilentEntry {
    /// The entry's name, if the other entries know it.
    entry: Option<EntryId>,
    /// The address that was called.
    address: SocketAddr,
    /// The error of the call.
    why: String,
}

/// Holds the merged counts of the entries.
#[derive(Clone, Debug, Serialize)]
struct FleetBurn {
    /// The entries whose counts are in the report.
    answered: Vec<EntryId>,
    /// The entries whose counts are missing.
    silent: Vec<SilentEntry>,
    /// The burn rates and error budgets of the service levels.
    levels: Vec<BurnReport>,
    /// The generation requests that ended since the entries started, by how they ended.
    ended: BTreeMap<String, u64>,
    /// The operations that ended since the entries started, by how they ended.
    operations: BTreeMap<String, u64>,
}

/// Prints the report, and writes it as a chart if a file is named.
pub(crate) async fn burn(target: &Target, svg: Option<&Path>) -> eyre::Result<ExitStatus> {
    let status = read_status(target).await?;
    let report = collect_counts(&status, target).await;
    if let Some(path) = svg {
        std::fs::write(path, chart::draw(&report)?)?;
    }
    match target.output {
        Output::Json => println!("{}", serde_json::to_string_pretty(&report)?),
        Output::Table => print!("{}", table::render(&report)),
    }
    Ok(ExitStatus::Done)
}

/// Reads the counts of all known entries and of those on the command line, concurrently.
async fn collect_counts(status: &ForceStatus, target: &Target) -> FleetBurn {
    let known = status
        .entries
        .iter()
        .map(|e| (Some(e.entry.clone()), e.address));
    let named = target.entries.iter().map(|address| (None, *address));
    let mut seen = BTreeSet::new();
    let targets: Vec<(Option<EntryId>, SocketAddr)> = known
        .chain(named)
        .filter(|(_, address)| seen.insert(*address))
        .collect();
    let client = HttpClient::new(None, Reuse::Fresh);
    let calls = targets
        .iter()
        .map(|(_, address)| read_counts(&client, *address));
    let answers = futures_util::future::join_all(calls).await;
    let mut burns = BTreeMap::new();
    let mut silent = Vec::new();
    for ((entry, address), answer) in targets.into_iter().zip(answers) {
        match answer {
            // An entry that answers at two addresses is counted once.
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

async fn read_counts(client: &HttpClient, address: SocketAddr) -> Result<EntryBurn, CallError> {
    let timeout = Duration::from_millis(ANSWER_TIMEOUT_MS);
    client
        .send(Call::get(address, "/v1/burn"), timeout)
        .await?
        .parse_success()
}

/// Merges the counts of the entries. Drops the silent addresses of entries that
/// answered at another address.
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

/// Adds the counts of each label to a total.
fn add_labels(total: &mut BTreeMap<String, u64>, other: &BTreeMap<String, u64>) {
    for (label, count) in other {
        *total.entry(label.clone()).or_default() += count;
    }
}
