//! Checks workspaces and their API keys.

use std::collections::{HashMap, HashSet};

use xxhash_rust::xxh3::xxh3_64;

use super::{ConfigFault, ConfigFinding, ConfigParts, ConfigPlace};

/// Checks the workspaces.
pub(super) fn check(parts: &ConfigParts, findings: &mut Vec<ConfigFinding>) {
    let mut names = HashSet::new();
    let mut holders = HashMap::new();
    for (at, (workspace, keys)) in parts.workspaces.iter().enumerate() {
        let mut faults = Vec::new();
        if !names.insert(&workspace.name) {
            faults.push(ConfigFault::NameTwice);
        }
        if keys.is_empty() {
            faults.push(ConfigFault::NoKeys);
        }
        for key in keys {
            let digest = key_digest(key);
            match holders.get(key) {
                None => {
                    holders.insert(key, (at, &workspace.name));
                }
                Some((holder, _)) if *holder == at => faults.push(ConfigFault::KeyTwice { digest }),
                Some((_, other)) => faults.push(ConfigFault::KeyOfTwo {
                    digest,
                    other: (*other).clone(),
                }),
            }
        }
        findings.extend(faults.into_iter().map(|fault| ConfigFinding {
            place: ConfigPlace::Workspace(workspace.name.clone()),
            fault,
        }));
    }
}

/// Returns a digest that tells keys apart and is too short to lead back to one.
pub(super) fn key_digest(key: &str) -> String {
    format!("#{:08x}", xxh3_64(key.as_bytes()) as u32)
}
