//! The `entries` command, which shows the entries that callers should use.

use pistachioyard_wire::EntryList;

use super::call::call_any;
use super::output::print_table;
use super::{ExitStatus, Output, Target};
use crate::client::Call;
use crate::prelude::*;

/// Prints the entries that callers should use.
pub(crate) async fn entries(
    workspace: Option<&WorkspaceName>,
    target: &Target,
) -> eyre::Result<ExitStatus> {
    let path = workspace.map_or_else(
        || "/v1/entries".to_owned(),
        |name| format!("/v1/entries?workspace={name}"),
    );
    let answer = call_any(&target.entries, |to| Call::get(to, path.clone())).await?;
    let list: EntryList = answer.parse()?;
    if target.output == Output::Json {
        println!("{}", serde_json::to_string_pretty(&list)?);
        return Ok(ExitStatus::Done);
    }
    let rows: Vec<[String; 3]> = list
        .entries
        .iter()
        .map(|e| {
            [
                e.entry.to_string(),
                e.address.to_string(),
                e.data_centre.to_string(),
            ]
        })
        .collect();
    print_table(["ENTRY", "ADDRESS", "DATA CENTRE"], &rows);
    println!("valid for {} ms", list.valid_ms);
    Ok(ExitStatus::Done)
}
