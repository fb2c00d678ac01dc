//! The `status` command, which shows where the configuration is in force.

use pistachioyard_wire::{EntryState, ForceStatus};

use super::call::call_any;
use super::output::print_table;
use super::{ExitStatus, Output, Target};
use crate::client::Call;

/// Reads the status as seen by one of the entries.
pub(crate) async fn read_status(target: &Target) -> eyre::Result<ForceStatus> {
    let answer = call_any(&target.entries, |to| Call::get(to, "/v1/status")).await?;
    Ok(answer.parse()?)
}

/// Prints on which entries the configuration is in force.
pub(crate) async fn status(target: &Target) -> eyre::Result<ExitStatus> {
    let status = read_status(target).await?;
    if target.output == Output::Json {
        println!("{}", serde_json::to_string_pretty(&status)?);
    } else {
        print_status(&status);
    }
    Ok(ExitStatus::Done)
}

/// Prints a status as a table.
pub(crate) fn print_status(status: &ForceStatus) {
    let rows: Vec<[String; 5]> = status
        .entries
        .iter()
        .map(|e| {
            [
                e.entry.to_string(),
                e.address.to_string(),
                e.data_centre.to_string(),
                state_name(e.state).to_owned(),
                e.revision.to_string(),
            ]
        })
        .collect();
    print_table(
        ["ENTRY", "ADDRESS", "DATA CENTRE", "STATE", "REVISION"],
        &rows,
    );
    let platform = if status.platform_reachable {
        "answers"
    } else {
        "does not answer"
    };
    println!(
        "revision {} as seen by {}; the platform {platform}",
        status.revision, status.entry
    );
}

fn state_name(state: EntryState) -> &'static str {
    match state {
        EntryState::Live => "live",
        EntryState::Draining => "draining",
        EntryState::Lost => "lost",
    }
}
