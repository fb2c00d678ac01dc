//! Prints tables and the results of file checks.

use std::fmt::Display;
use std::path::Path;

use super::ExitStatus;

/// Prints every error of a file and returns the exit status for invalid input.
pub(crate) fn print_errors(errors: &[impl Display]) -> ExitStatus {
    for error in errors {
        eprintln!("error: {error}");
    }
    eprintln!("{} error(s); nothing was changed", errors.len());
    ExitStatus::BadInput
}

/// Prints that a file is valid.
pub(crate) fn print_valid(file: &Path) -> ExitStatus {
    println!("{}: no errors", file.display());
    ExitStatus::Done
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
