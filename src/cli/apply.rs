//! The `apply` and `diff` commands.

use std::collections::BTreeSet;
use std::path::Path;

use http::Method;
use pistachioyard_wire::{
    AcceptedConfig, ApplyAnswer, ApplyId, ApplyRequest, Config, EntryState, ForceStatus,
};

use super::call::call_any;
use super::status::read_status;
use super::{ExitStatus, Output, Target, output};
use crate::client::Call;
use crate::prelude::*;

/// How long `apply` waits for the file to be in force everywhere, in milliseconds.
const IN_FORCE_WAIT_MS: u64 = 15_000;
/// The interval between two status checks while `apply` waits, in milliseconds.
const IN_FORCE_POLL_MS: u64 = 100;
/// The maximum number of attempts while the outcome of an apply is undecided.
const MAX_APPLY_ATTEMPTS: u32 = 5;

/// Applies an operators' file and waits until it is in force on every entry that is not lost.
pub(crate) async fn apply(
    file: &Path,
    base: Option<Revision>,
    target: &Target,
) -> eyre::Result<ExitStatus> {
    let text = std::fs::read_to_string(file)?;
    if let Err(errors) = Config::parse(&text) {
        return Ok(output::print_errors(&errors));
    }
    let base = match base {
        Some(base) => base,
        None => read_config(target).await?.revision,
    };
    let req = ApplyRequest {
        apply: ApplyId::generate(),
        base,
        text,
    };
    match send_until_decided(&req, target).await? {
        ApplyAnswer::Accepted { revision } => wait_in_force(revision, target).await,
        ApplyAnswer::Conflict { revision } => {
            eprintln!(
                "conflict: the file is based on revision {base}, but the last accepted revision \
                 is {revision}; the file was not applied; run diff, then apply again"
            );
            Ok(ExitStatus::Conflict)
        }
        ApplyAnswer::Rejected { faults } => Ok(output::print_errors(&faults)),
        ApplyAnswer::Undecided { detail } => {
            eprintln!("undecided: {detail}");
            Ok(ExitStatus::Undecided)
        }
    }
}

/// Sends an apply request and repeats it while its outcome is undecided.
async fn send_until_decided(req: &ApplyRequest, target: &Target) -> eyre::Result<ApplyAnswer> {
    let mut attempts = 0;
    loop {
        let sent = call_any(&target.entries, |to| {
            Call::new(Method::POST, to, "/v1/config").json(req)
        });
        let answer: ApplyAnswer = sent.await?.parse()?;
        attempts += 1;
        if !matches!(answer, ApplyAnswer::Undecided { .. }) || attempts == MAX_APPLY_ATTEMPTS {
            return Ok(answer);
        }
    }
}

/// Waits until a revision is in force on every entry that is not lost, or the wait time is over.
async fn wait_in_force(revision: Revision, target: &Target) -> eyre::Result<ExitStatus> {
    println!("accepted: revision {revision}");
    let started_at = Instant::now();
    loop {
        let status = read_status(target).await?;
        let (reached, known) = count_in_force(&status, revision);
        let has_timed_out = started_at.elapsed() > Duration::from_millis(IN_FORCE_WAIT_MS);
        if reached == known || has_timed_out {
            println!("in force on {reached} of {known} entries");
            if target.output == Output::Json {
                println!("{}", serde_json::to_string_pretty(&status)?);
            }
            return Ok(if reached == known {
                ExitStatus::Done
            } else {
                ExitStatus::NotYetInForce
            });
        }
        tokio::time::sleep(Duration::from_millis(IN_FORCE_POLL_MS)).await;
    }
}

/// Returns how many of the entries that are not lost have the revision in force, and how many there
/// are.
fn count_in_force(status: &ForceStatus, revision: Revision) -> (usize, usize) {
    let not_lost = status
        .entries
        .iter()
        .filter(|e| e.state != EntryState::Lost);
    let known = not_lost.clone().count();
    let reached = not_lost.filter(|e| e.revision >= revision).count();
    (reached, known)
}

async fn read_config(target: &Target) -> eyre::Result<AcceptedConfig> {
    let answer = call_any(&target.entries, |to| Call::get(to, "/v1/config")).await?;
    Ok(answer.parse()?)
}

/// Prints the settings that differ between an operators' file and the configuration in force.
pub(crate) async fn diff(file: &Path, target: &Target) -> eyre::Result<ExitStatus> {
    let text = std::fs::read_to_string(file)?;
    if let Err(errors) = Config::parse(&text) {
        return Ok(output::print_errors(&errors));
    }
    let accepted = read_config(target).await?;
    println!("in force: revision {}", accepted.revision);
    let old = settings_of(&accepted.text)?;
    let new = settings_of(&text)?;
    for line in old.difference(&new) {
        println!("- {line}");
    }
    for line in new.difference(&old) {
        println!("+ {line}");
    }
    Ok(ExitStatus::Done)
}

/// Flattens a file to a set with one line per value, so that the order of the file does not matter.
fn settings_of(text: &str) -> eyre::Result<BTreeSet<String>> {
    let table: toml::Table = toml::from_str(text)?;
    let mut lines = BTreeSet::new();
    flatten("", &toml::Value::Table(table), &mut lines);
    Ok(lines)
}

fn flatten(path: &str, value: &toml::Value, lines: &mut BTreeSet<String>) {
    match value {
        toml::Value::Table(table) => {
            for (key, value) in table {
                let path = if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                };
                flatten(&path, value, lines);
            }
        }
        value => {
            lines.insert(format!("{path} = {value}"));
        }
    }
}
