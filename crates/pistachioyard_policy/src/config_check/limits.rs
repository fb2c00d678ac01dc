//! Checks limits.

use std::time::Duration;

use super::setting::Setting;
use super::{ConfigFault, ConfigFinding, ConfigPlace};
use crate::routing::CallerLimits;

/// Checks the limits on what callers may send.
pub(super) fn check(limits: &CallerLimits, findings: &mut Vec<ConfigFinding>) {
    let sizes = [
        (Setting::MaxHeader, limits.max_header_bytes),
        (Setting::MaxBody, limits.max_body_bytes),
    ];
    let times = [
        (Setting::HeaderTimeout, limits.header_timeout),
        (Setting::IdleTimeout, limits.idle_timeout),
    ];
    let place = ConfigPlace::Limits;
    for (setting, bytes) in sizes {
        check_positive(&place, setting, bytes as f64, "bytes", findings);
    }
    for (setting, time) in times {
        check_time(&place, setting, time, findings);
    }
    let [header, idle] = times;
    check_order(&place, header, idle, findings);
}

/// Checks that a time is not zero.
pub(super) fn check_time(
    place: &ConfigPlace,
    setting: Setting,
    time: Duration,
    findings: &mut Vec<ConfigFinding>,
) {
    check_positive(place, setting, time.as_millis() as f64, "ms", findings);
}

/// Checks that a value is above 0.
pub(super) fn check_positive(
    place: &ConfigPlace,
    setting: Setting,
    value: f64,
    unit: &str,
    findings: &mut Vec<ConfigFinding>,
) {
    if value <= 0.0 {
        findings.push(ConfigFinding {
            place: place.clone(),
            fault: ConfigFault::NotPositive {
                setting,
                value: with_unit(value, unit),
            },
        });
    }
}

/// Checks that a value is not below 0.
pub(super) fn check_not_negative(
    place: &ConfigPlace,
    setting: Setting,
    value: f64,
    unit: &str,
    findings: &mut Vec<ConfigFinding>,
) {
    if value < 0.0 {
        findings.push(ConfigFinding {
            place: place.clone(),
            fault: ConfigFault::Negative {
                setting,
                value: with_unit(value, unit),
            },
        });
    }
}

/// Checks that a time is not above another one that ends the same wait.
pub(super) fn check_order(
    place: &ConfigPlace,
    (setting, time): (Setting, Duration),
    (limit, limit_time): (Setting, Duration),
    findings: &mut Vec<ConfigFinding>,
) {
    if time > limit_time {
        findings.push(ConfigFinding {
            place: place.clone(),
            fault: ConfigFault::Above {
                setting,
                value: ms(time),
                limit,
                limit_value: ms(limit_time),
            },
        });
    }
}

/// Returns a time as text with its unit.
pub(super) fn ms(time: Duration) -> String {
    with_unit(time.as_millis() as f64, "ms")
}

/// Returns a value as text with its unit, if it has one.
pub(super) fn with_unit(value: f64, unit: &str) -> String {
    format!("{value} {unit}").trim_end().to_owned()
}
