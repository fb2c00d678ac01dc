//! Checks a configuration before it is sent, and compares it with the one in force.
//!
//! See `docs/operators/check-before-sending.md`.

mod compare;
mod config_change;
mod config_fault;
mod config_finding;
mod config_parts;
mod config_place;
mod limits;
mod pipelines;
mod routes;
mod setting;
mod severity;
mod workspaces;

pub use compare::compare_configs;
pub use config_change::ConfigChange;
pub use config_fault::ConfigFault;
pub use config_finding::ConfigFinding;
pub use config_parts::ConfigParts;
pub use config_place::ConfigPlace;
pub use setting::Setting;
pub use severity::Severity;

/// Returns what is wrong with a configuration, in the order of its entries.
pub fn check_config(parts: &ConfigParts) -> Vec<ConfigFinding> {
    let mut findings = Vec::new();
    limits::check(&parts.limits, &mut findings);
    routes::check(parts, &mut findings);
    pipelines::check(parts, &mut findings);
    workspaces::check(parts, &mut findings);
    findings
}
