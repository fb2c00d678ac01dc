//! Mutated settings and configuration files, parsed in the test's own process.

use pistachioyard::EntrySettings;
use pistachioyard_wire::Config;

use crate::support::{DEPLOYMENT, mutate, seeded_rng};

const MUTATIONS: usize = 4_000;

const SETTINGS: &str = "entry = \"entry-0\"\ndata_centre = \"macon\"\n\
    caller_address = \"127.0.0.1:7400\"\npeer_address = \"127.0.0.1:7401\"\n\
    platform = \"127.0.0.1:7300\"\npeers = [\"127.0.0.2:7401\"]\nentries_valid_ms = 5000\n\
    drain_limit_ms = 600000\nin_force_ms = 3000\nlog_level = \"info\"\n";

#[test]
fn mutated_settings_parse_or_report_problems() {
    let mut rng = seeded_rng(6);
    assert!(EntrySettings::parse(SETTINGS).is_ok());
    for _ in 0..MUTATIONS {
        let text = mutate(&mut rng, SETTINGS.as_bytes());
        if let Err(problems) = EntrySettings::parse(&String::from_utf8_lossy(&text)) {
            assert!(!problems.is_empty());
        }
    }
}

#[test]
fn a_mutated_configuration_file_parses_or_reports_problems() {
    let mut rng = seeded_rng(7);
    let valid = DEPLOYMENT.config_text();
    assert!(Config::parse(valid).is_ok());
    for _ in 0..MUTATIONS / 4 {
        let text = mutate(&mut rng, valid.as_bytes());
        if let Err(problems) = Config::parse(&String::from_utf8_lossy(&text)) {
            assert!(!problems.is_empty());
        }
    }
}
