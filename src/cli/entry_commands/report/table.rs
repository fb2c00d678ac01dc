//! Renders the burn-rate report as a table.

use std::collections::BTreeMap;
use std::fmt::Write;

use pistachioyard_policy::{BurnAlert, BurnReport};
use pistachioyard_wire::{Objective, ServiceLevel};

use super::FleetBurn;
use crate::cli::entry_commands::output::format_table;

/// Renders the whole report.
pub(super) fn render(report: &FleetBurn) -> String {
    let mut text = render_levels(&report.levels);
    text.push_str(&render_counts("ended requests", &report.ended));
    text.push_str(&render_counts("ended operations", &report.operations));
    text.push_str(&render_entries(report));
    text
}

fn render_levels(levels: &[BurnReport]) -> String {
    if levels.is_empty() {
        return "no service levels are configured\n".to_owned();
    }
    let header = [
        "SERVICE LEVEL",
        "TARGET",
        "WINDOWS",
        "BURN RATE",
        "ALERT AT",
        "ALERT",
        "BUDGET LEFT",
    ];
    let rows: Vec<[String; 7]> = levels.iter().flat_map(level_rows).collect();
    format_table(header, &rows)
}

/// Renders one row for each alert and its two windows. The first row names the service level.
fn level_rows(report: &BurnReport) -> Vec<[String; 7]> {
    let rows = report.alerts.iter().enumerate().map(|(index, alert)| {
        let [name, target, budget] = if index == 0 {
            [
                level_name(&report.level),
                format_percent(report.level.target),
                format_percent(report.budget_left),
            ]
        } else {
            [const { String::new() }; 3]
        };
        [
            name,
            target,
            format!(
                "{} / {}",
                format_window(alert.short_s),
                format_window(alert.long_s)
            ),
            format!(
                "{} / {}",
                format_rate(report, alert.short_s),
                format_rate(report, alert.long_s)
            ),
            alert.burn_rate.to_string(),
            alert_name(alert).to_owned(),
            budget,
        ]
    });
    rows.collect()
}

fn alert_name(alert: &BurnAlert) -> &'static str {
    if alert.firing { "FIRING" } else { "-" }
}

/// Formats the burn rate of a window and the numbers of bad and total events.
fn format_rate(report: &BurnReport, window_s: u64) -> String {
    let window = report.windows.iter().find(|w| w.window_s == window_s);
    window.map_or_else(
        || "-".to_owned(),
        |w| format!("{:.2} ({} of {})", w.burn_rate, w.total - w.good, w.total),
    )
}

/// Formats the name of a service level: its objective, threshold, workspace and priority.
pub(super) fn level_name(level: &ServiceLevel) -> String {
    let mut name = match level.objective {
        Objective::FirstToken => "first_token".to_owned(),
        Objective::BetweenTokens => "between_tokens".to_owned(),
        Objective::Success => "success".to_owned(),
        Objective::Recovery => "recovery".to_owned(),
    };
    if let Some(ms) = level.threshold_ms {
        let _ = write!(name, " <= {ms} ms");
    }
    if let Some(workspace) = &level.workspace {
        let _ = write!(name, " {workspace}");
    }
    if let Some(priority) = level.priority {
        let _ = write!(name, " {}", priority.as_str());
    }
    name
}

/// Formats the length of a window.
pub(super) fn format_window(seconds: u64) -> String {
    if seconds.is_multiple_of(3_600) {
        format!("{} h", seconds / 3_600)
    } else {
        format!("{} min", seconds / 60)
    }
}

fn format_percent(ratio: f64) -> String {
    let text = format!("{:.2}", ratio * 100.0);
    format!("{}%", text.trim_end_matches('0').trim_end_matches('.'))
}

fn render_counts(title: &str, counts: &BTreeMap<String, u64>) -> String {
    if counts.is_empty() {
        return format!("{title}: none\n");
    }
    let parts: Vec<String> = counts
        .iter()
        .map(|(label, count)| format!("{label} {count}"))
        .collect();
    format!("{title}: {}\n", parts.join(", "))
}

fn render_entries(report: &FleetBurn) -> String {
    let names: Vec<&str> = report.answered.iter().map(|e| e.as_str()).collect();
    let mut text = format!("counted by: {}\n", names.join(", "));
    for silent in &report.silent {
        let name = silent
            .entry
            .as_ref()
            .map_or("an entry", |entry| entry.as_str());
        let _ = writeln!(
            text,
            "not counted: {name} at {}: {}",
            silent.address, silent.why
        );
    }
    text
}
