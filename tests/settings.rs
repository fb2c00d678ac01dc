//! Tests the validation of an entry's settings.

use std::collections::BTreeSet;

use expect_test::expect;
use pistachioyard::EntrySettings;

/// Returns the messages of all errors in the settings, one per line.
fn error_messages(text: &str) -> String {
    let errors = EntrySettings::parse(text).expect_err("the settings are invalid");
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

#[test]
fn all_errors_are_reported_at_once_with_key_value_and_allowed_values() {
    let text = r#"
        entry = "one two"
        data_centre = ""
        caller_address = "localhost:8080"
        advertised_peer_address = "10.0.0.1"
        platform = "10.0.0.9"
        peers = ["10.0.0.2:8081", "peer"]
        entries_valid_ms = 1
        drain_limit_ms = "10 minutes"
        in_force_ms = 60001
        choice = 1
        log_level = "loud"
        entry_name = "one"
    "#;
    expect![[r#"
        entry is 'one two'; expected a name of 1 to 64 letters, digits, '-', '_' and '.'
        data_centre is ''; expected a name of 1 to 64 letters, digits, '-', '_' and '.'
        caller_address is 'localhost:8080'; expected an IP address and port such as 10.0.0.1:8080
        peer_address is missing; give an IP address and port such as 10.0.0.1:8080
        advertised_peer_address is '10.0.0.1'; expected an IP address and port such as 10.0.0.1:8080
        platform is '10.0.0.9'; expected an IP address and port such as 10.0.0.1:8080
        peers[1] is 'peer'; expected an IP address and port such as 10.0.0.1:8080
        entries_valid_ms is '1'; expected 100 to 600000
        drain_limit_ms is '10 minutes'; expected 1000 to 86400000
        in_force_ms is '60001'; expected 500 to 60000
        choice is '1'; expected cost, least_reported, random or round_robin
        log_level is 'loud'; expected error, warn, info, debug or trace
        entry_name is not a setting; remove it or write one of entry, data_centre, caller_address, peer_address, advertised_caller_address, advertised_peer_address, platform, peers, entries_valid_ms, drain_limit_ms, in_force_ms, choice, log_level"#]]
    .assert_eq(&error_messages(text));
}

#[test]
fn a_file_that_is_not_toml_is_rejected_with_the_position() {
    let message = error_messages("entry = one");
    assert!(message.contains("line 1"), "{message}");
}

/// Reads the known keys from the error for an unknown key.
fn known_keys() -> BTreeSet<String> {
    let message = error_messages("no_such_key = 1");
    let (_, list) = message
        .split_once("no_such_key is not a setting; remove it or write one of ")
        .expect("the error lists the keys");
    list.split(", ").map(str::to_owned).collect()
}

#[test]
fn the_settings_page_lists_exactly_the_known_keys() {
    let page = include_str!("../docs/operators/settings.md");
    let listed: BTreeSet<String> = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .filter_map(|rest| rest.split_once('`'))
        .map(|(key, _)| key.to_owned())
        .collect();
    assert_eq!(listed, known_keys());
}

#[test]
fn the_example_on_the_settings_page_is_valid() {
    let page = include_str!("../docs/operators/settings.md");
    let example = page
        .split("```toml\n")
        .nth(1)
        .and_then(|rest| rest.split("```").next())
        .expect("the page has an example");
    assert!(
        EntrySettings::parse(example).is_ok(),
        "{}",
        error_messages(example)
    );
}
