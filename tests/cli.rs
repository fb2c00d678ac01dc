//! Tests the exit codes and messages of the command line.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::net::TcpListener;
use std::process::{Command, Output};

use expect_test::{Expect, expect};

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pistachioyard"))
        .args(args)
        .output()
        .unwrap()
}

/// Writes a file, runs a command on it and checks the exit code and the messages.
fn check_file(args: &[&str], text: &str, code: i32, expected: &Expect) {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("given.toml");
    std::fs::write(&path, text).unwrap();
    let path = path.to_str().unwrap();
    let args: Vec<&str> = args
        .iter()
        .map(|arg| if *arg == "FILE" { path } else { arg })
        .collect();
    let output = run(&args);
    let printed = [output.stdout, output.stderr].concat();
    let printed = String::from_utf8(printed).unwrap().replace(path, "FILE");
    expected.assert_eq(&printed);
    assert_eq!(output.status.code(), Some(code));
}

const BAD_CONFIG: &str = r#"
[models.draft]
layers = 0
version = "v1"

[workspaces.one]
weight = 0
max_in_flight = 0
models = ["missing"]
services = ["absent"]

[[service_levels]]
objective = "success"
threshold_ms = 5
target = 1.5
"#;

#[test]
fn every_error_in_an_operators_file_is_reported_and_nothing_is_changed() {
    let expected = expect![[r#"
        error: models.draft.layers is 0; expected 1 to 1024
        error: workspaces.one.weight is 0; expected 1 to 1000
        error: workspaces.one.max_in_flight is 0; expected 1 or more
        error: workspaces.one.models names 'missing', which the file does not declare; declare it or remove the name
        error: workspaces.one.services names 'absent', which the file does not declare; declare it or remove the name
        error: service_levels[0].target is 1.5; expected a share above 0 and below 1
        error: service_levels[0] has a threshold_ms, which objective 'success' does not use; remove it
        7 error(s); nothing was changed
    "#]];
    check_file(&["check", "FILE"], BAD_CONFIG, 2, &expected);
    // No entry listens on this address: an invalid file is rejected before any entry is called.
    let apply = ["apply", "FILE", "--entry", "127.0.0.1:9"];
    check_file(&apply, BAD_CONFIG, 2, &expected);
    let diff = ["diff", "FILE", "--entry", "127.0.0.1:9"];
    check_file(&diff, BAD_CONFIG, 2, &expected);
}

#[test]
fn the_daemon_does_not_start_with_an_invalid_settings_file() {
    // The address is in use, so that a daemon that tried to listen would report an error.
    let in_use = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = in_use.local_addr().unwrap();
    let text = format!(
        "entry = \"one\"\ncaller_address = \"{address}\"\npeer_address = \"{address}\"\n\
         platform = \"nowhere\"\nin_force_ms = 1\n"
    );
    let expected = expect![[r#"
        error: data_centre is missing; give a name of 1 to 64 letters, digits, '-', '_' and '.'
        error: platform is 'nowhere'; expected an IP address and port such as 10.0.0.1:8080
        error: in_force_ms is '1'; expected 500 to 60000
        3 error(s); nothing was changed
    "#]];
    check_file(&["entry", "--config", "FILE"], &text, 2, &expected);
    let check = ["check", "FILE", "--kind", "settings"];
    check_file(&check, &text, 2, &expected);
}

#[test]
fn a_valid_file_passes_the_check() {
    let text = include_str!("../examples/obnova.toml");
    let expected = expect![[r#"
        FILE: no errors
    "#]];
    check_file(&["check", "FILE"], text, 0, &expected);
}

#[test]
fn a_command_that_reaches_no_entry_fails_and_names_the_address() {
    let output = run(&["status", "--entry", "127.0.0.1:9"]);
    assert_eq!(output.status.code(), Some(1));
    let printed = String::from_utf8(output.stderr).unwrap();
    assert!(
        printed.contains("none of the 1 entries answered with a success status; last error: "),
        "{printed}"
    );
    assert!(printed.contains("127.0.0.1:9"), "{printed}");
}

#[test]
fn an_unknown_command_is_invalid_input() {
    assert_eq!(run(&["frobnicate"]).status.code(), Some(2));
}
