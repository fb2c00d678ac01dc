//! Prints tables and the results of file checks.

use std::fmt::Display;
use std::path::Path;

use pistachioyard_policy::Severity;

use super::{ExitStatus, Output};

/// The number of characters of a message's line that are printed; a message may hold what a broken
/// file holds in place of a name or line.
const MAX_LINE_CHARS: usize = 400;

/// Prints a message about a file, each of its lines cut to a bounded length.
pub(crate) fn print_message(severity: Severity, message: &impl Display) {
    let message = format!("{}: {message}", severity.as_str());
    for line in message.split('\n') {
        let shown = line.chars().take(MAX_LINE_CHARS);
        let shown = shown.map(|c| if c.is_control() { ' ' } else { c });
        eprintln!("{}", shown.collect::<String>());
    }
}

/// Prints every error of a file and returns the exit status for invalid input.
pub(crate) fn print_errors(errors: &[impl Display]) -> ExitStatus {
    for error in errors {
        print_message(Severity::Error, error);
    }
    eprintln!("{} error(s); nothing was changed", errors.len());
    ExitStatus::BadInput
}

/// Prints which of several files the errors above are in.
pub(crate) fn print_source(file: &Path) {
    eprintln!("in {}", file.display());
}

/// Prints that a file is valid.
pub(crate) fn print_valid(file: &Path) -> ExitStatus {
    println!("{}: no errors", file.display());
    ExitStatus::Done
}

/// Prints the lines that tell how a file differs from the one in force.
pub(crate) fn print_differences(in_force: Option<&str>, lines: &[String], output: Output) {
    match output {
        Output::Table => {
            if let Some(in_force) = in_force {
                println!("in force: {in_force}");
            }
            for line in lines {
                println!("{line}");
            }
        }
        Output::Json => {
            println!(
                "{}",
                serde_json::json!({ "in_force": in_force, "differences": lines })
            );
        }
    }
}

/// Prints a table whose columns are as wide as their widest cell.
pub(crate) fn print_table<const N: usize>(header: [&str; N], rows: &[[String; N]]) {
    print!("{}", format_table(header, rows));
}

/// Formats a table whose columns are as wide as their widest cell.
pub(crate) fn format_table<const N: usize>(header: [&str; N], rows: &[[String; N]]) -> String {
    let mut widths = header.map(str::len);
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let format_row = |cells: &[String; N]| {
        let line: Vec<String> = cells
            .iter()
            .zip(widths)
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        format!("{}\n", line.join("  ").trim_end())
    };
    let header = format_row(&header.map(str::to_owned));
    std::iter::once(header)
        .chain(rows.iter().map(format_row))
        .collect()
}
