//! Printing of results.

use std::fmt::Display;
use std::path::Path;

use super::ExitStatus;

/// Prints every fault of a file.
pub(crate) fn print_faults(faults: &[impl Display]) -> ExitStatus {
    for fault in faults {
        eprintln!("error: {fault}");
    }
    eprintln!("{} fault(s); nothing was touched", faults.len());
    ExitStatus::BadInput
}

/// Says that a file has no faults.
pub(crate) fn print_fine(file: &Path) -> ExitStatus {
    println!("{}: no faults", file.display());
    ExitStatus::Done
}

/// Prints rows as columns that are as wide as their widest cell.
pub(crate) fn print_table<const N: usize>(header: [&str; N], rows: &[[String; N]]) {
    print!("{}", format_table(header, rows));
}

/// Formats rows as columns that are as wide as their widest cell.
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
