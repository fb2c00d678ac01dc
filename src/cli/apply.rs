//! `pistachioyard apply` and `pistachioyard diff`.

use std::collections::BTreeSet;
use std::path::Path;

use http::Method;
use pistachioyard_wire::{
    AcceptedConfig, ApplyAnswer, ApplyId, ApplyRequest, Config, EntryState, ForceStatus,
};

use super::call::ask_any;
use super::status::read_status;
use super::{ExitStatus, Output, Target, output};
use crate::client::Call;
use crate::prelude::*;

/// How long `apply` waits for the file to be in force everywhere, in milliseconds.
const IN_FORCE_WAIT_MS: u64 = 15_000;
/// The pause between two looks, in milliseconds.
const IN_FORCE_POLL_MS: u64 = 100;
/// How often an apply whose outcome is open is sent again.
const SETTLE_TRIES: u32 = 5;

/// Applies a file and waits until it is in force.
pub(crate) async fn apply(
    file: &Path,
    base: Option<Revision>,
    target: &Target,
) -> eyre::Result<ExitStatus> {
    let text = std::fs::read_to_string(file)?;
    if let Err(faults) = Config::parse(&text) {
        return Ok(output::print_faults(&faults));
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
                "conflict: revision {revision} was accepted since {base}; nothing has changed; \
                 run diff, then apply again"
            );
            Ok(ExitStatus::Conflict)
        }
        ApplyAnswer::Rejected { faults } => Ok(output::print_faults(&faults)),
        ApplyAnswer::Undecided { detail } => {
            eprintln!("undecided: {detail}");
            Ok(ExitStatus::Undecided)
        }
    }
}

/// Sends the same apply again while its outcome is open.
async fn send_until_decided(req: &ApplyRequest, target: &Target) -> eyre::Result<ApplyAnswer> {
    let mut tries = 0;
    loop {
        let sent = ask_any(&target.entries, |to| {
            Call::new(Method::POST, to, "/v1/config").json(req)
        });
        let answer: ApplyAnswer = sent.await?.parse()?;
        tries += 1;
        if !matches!(answer, ApplyAnswer::Undecided { .. }) || tries == SETTLE_TRIES {
            return Ok(answer);
        }
    }
}

async fn wait_in_force(revision: Revision, target: &Target) -> eyre::Result<ExitStatus> {
    println!("accepted: revision {revision}");
    let started_at = Instant::now();
    loop {
        let status = read_status(target).await?;
        let (reached, known) = count_in_force(&status, revision);
        let is_late = started_at.elapsed() > Duration::from_millis(IN_FORCE_WAIT_MS);
        if reached == known || is_late {
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

fn count_in_force(status: &ForceStatus, revision: Revision) -> (usize, usize) {
    let live = status
        .entries
        .iter()
        .filter(|e| e.state != EntryState::Lost);
    let known = live.clone().count();
    let reached = live.filter(|e| e.revision >= revision).count();
    (reached, known)
}

async fn read_config(target: &Target) -> eyre::Result<AcceptedConfig> {
    let answer = ask_any(&target.entries, |to| Call::get(to, "/v1/config")).await?;
    Ok(answer.parse()?)
}

/// Prints the lines that differ between a file and the configuration in force.
pub(crate) async fn diff(file: &Path, target: &Target) -> eyre::Result<ExitStatus> {
    let text = std::fs::read_to_string(file)?;
    if let Err(faults) = Config::parse(&text) {
        return Ok(output::print_faults(&faults));
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

/// Flattens a file to one line a value, so that its order does not matter.
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
