//! The `apply` and `diff` commands.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;

use http::Method;
use pistachioyard_wire::{
    AcceptedConfig, ApplyAnswer, ApplyId, ApplyRequest, Config, EntryState, ForceStatus,
};

use super::call::call_any;
use super::file::read_text;
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
    let text = match read_valid(file) {
        Ok(text) => text,
        Err(status) => return Ok(status),
    };
    let base = match base {
        Some(base) => base,
        None => read_config(&target.entries).await?.revision,
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

async fn read_config(entries: &[SocketAddr]) -> eyre::Result<AcceptedConfig> {
    let answer = call_any(entries, |to| Call::get(to, "/v1/config")).await?;
    Ok(answer.parse()?)
}

/// Prints the settings that differ between an operators' file and the configuration in force.
pub(crate) async fn diff(
    file: &Path,
    entries: &[SocketAddr],
    format: Output,
) -> eyre::Result<ExitStatus> {
    let text = match read_valid(file) {
        Ok(text) => text,
        Err(status) => return Ok(status),
    };
    let accepted = read_config(entries).await?;
    let revision = format!("revision {}", accepted.revision);
    print_difference(Some(&revision), &accepted.text, &text, format)
}

/// Prints the settings that differ between an operators' file and another one.
pub(crate) fn diff_files(file: &Path, in_force: &Path, format: Output) -> eyre::Result<ExitStatus> {
    let read = |file| read_valid(file).inspect_err(|_| output::print_source(file));
    match read(file).and_then(|new| Ok((new, read(in_force)?))) {
        Ok((new, old)) => print_difference(None, &old, &new, format),
        Err(status) => Ok(status),
    }
}

/// Reads an operators' file; prints its errors if it has some.
fn read_valid(file: &Path) -> Result<String, ExitStatus> {
    let text = read_text(file).map_err(|e| output::print_errors(&[e]))?;
    match Config::parse(&text) {
        Ok(_) => Ok(text),
        Err(errors) => Err(output::print_errors(&errors)),
    }
}

fn print_difference(
    in_force: Option<&str>,
    old: &str,
    new: &str,
    format: Output,
) -> eyre::Result<ExitStatus> {
    let (old, new) = (settings_of(old)?, settings_of(new)?);
    let removed = old.difference(&new).map(|line| format!("- {line}"));
    let added = new.difference(&old).map(|line| format!("+ {line}"));
    let lines: Vec<_> = removed.chain(added).collect();
    output::print_differences(in_force, &lines, format);
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
