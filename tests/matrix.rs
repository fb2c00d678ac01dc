//! The fault matrix for generation requests: each fault at each step of a request,
//! run against real processes behind the fault proxy.
//!
//! `matrix/table.rs` lists every cell; a cell without a test is listed as not run.
//! `cargo test --test matrix` runs all tests, `cargo test --test matrix NAME` runs
//! one, and `cargo test --test matrix table -- --nocapture` prints the table.

#[path = "matrix/cut.rs"]
mod cut;
#[path = "matrix/engine_faults.rs"]
mod engine_faults;
#[path = "matrix/entry_faults.rs"]
mod entry_faults;
#[path = "matrix/leaving.rs"]
mod leaving;
#[path = "matrix/link_faults.rs"]
mod link_faults;
#[path = "matrix/pairs.rs"]
mod pairs;
#[path = "matrix/planned_stop.rs"]
mod planned_stop;
#[path = "matrix/poison.rs"]
mod poison;
#[path = "matrix/support.rs"]
mod support;
#[path = "matrix/table.rs"]
mod table;

/// Prints every cell and checks that the names of the cells are unique.
#[test]
fn table() {
    let cells = table::cells();
    let names: std::collections::BTreeSet<String> = cells.iter().map(ToString::to_string).collect();
    assert_eq!(names.len(), cells.len());
    for cell in cells {
        match cell.status {
            table::Status::Covered(test) => println!("{cell}: {test}"),
            table::Status::NotRun => println!("{cell}: not run"),
        }
    }
}
