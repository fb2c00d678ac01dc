//! Settings and operators' files, parsed in this process.

use pistachioyard::EntrySettings;
use pistachioyard_wire::Config;

use crate::support::{DEPLOYMENT, damage, seeded};

const ROUNDS: usize = 4_000;

const SETTINGS: &str = "entry = \"entry-0\"\ndata_centre = \"macon\"\n\
    caller_address = \"127.0.0.1:7400\"\npeer_address = \"127.0.0.1:7401\"\n\
    platform = \"127.0.0.1:7300\"\npeers = [\"127.0.0.2:7401\"]\nentries_valid_ms = 5000\n\
    drain_limit_ms = 600000\nin_force_ms = 3000\nlog_level = \"info\"\n";

#[test]
fn damaged_settings_are_read_or_refused_with_their_faults() {
    let mut rng = seeded(6);
    assert!(EntrySettings::parse(SETTINGS).is_ok());
    for _ in 0..ROUNDS {
        let text = damage(&mut rng, SETTINGS.as_bytes());
        if let Err(faults) = EntrySettings::parse(&String::from_utf8_lossy(&text)) {
            assert!(!faults.is_empty());
        }
    }
}

#[test]
fn a_damaged_operators_file_is_read_or_refused_with_its_faults() {
    let mut rng = seeded(7);
    let good = DEPLOYMENT.config_text();
    assert!(Config::parse(good).is_ok());
    for _ in 0..ROUNDS / 4 {
        let text = damage(&mut rng, good.as_bytes());
        if let Err(faults) = Config::parse(&String::from_utf8_lossy(&text)) {
            assert!(!faults.is_empty());
        }
    }
}
