//! Reports service-level burn from counts merged over entries.

use std::time::Duration;

use pistachioyard_wire::{ServiceLevel, WindowCount};
use serde::{Deserialize, Serialize};

/// The pairs of windows that raise an alert when both reach the burn rate.
///
/// The long window shows that the burn is significant, the short one that it continues.
const ALERT_PAIRS: [AlertPair; 2] = [
    AlertPair {
        short_s: 5 * 60,
        long_s: 60 * 60,
        burn_rate: 14.4,
    },
    AlertPair {
        short_s: 30 * 60,
        long_s: 6 * 60 * 60,
        burn_rate: 6.0,
    },
];

/// Defines an alert over two windows, given by their lengths in seconds.
struct AlertPair {
    short_s: u64,
    long_s: u64,
    burn_rate: f64,
}

/// Returns an empty count for a window.
pub(crate) fn empty_count(window: Duration) -> WindowCount {
    WindowCount {
        window_s: window.as_secs(),
        good: 0,
        total: 0,
    }
}

/// Adds the counts of another entry to `into`, window by window.
pub fn merge_counts(into: &mut Vec<WindowCount>, other: &[WindowCount]) {
    for count in other {
        match into.iter_mut().find(|c| c.window_s == count.window_s) {
            Some(known) => {
                known.good += count.good;
                known.total += count.total;
            }
            None => into.push(*count),
        }
    }
}

/// Holds the counts and the burn rate of one window.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct BurnWindow {
    /// The length of the window, in seconds.
    pub window_s: u64,
    /// The number of events that met the service level.
    pub good: u64,
    /// The number of all events.
    pub total: u64,
    /// The share of bad events relative to the allowed share; a rate of 1 uses up the
    /// budget exactly.
    pub burn_rate: f64,
}

/// Tells whether a pair of windows burns too fast.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct BurnAlert {
    /// The length of the short window, in seconds.
    pub short_s: u64,
    /// The length of the long window, in seconds.
    pub long_s: u64,
    /// The burn rate at which the alert fires, if both windows reach it.
    pub burn_rate: f64,
    /// Whether both windows reach the burn rate.
    pub firing: bool,
}

/// Holds the burn of one service level.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct BurnReport {
    /// The service level.
    pub level: ServiceLevel,
    /// The windows, the shortest first.
    pub windows: Vec<BurnWindow>,
    /// The alerts, one for each pair of windows.
    pub alerts: Vec<BurnAlert>,
    /// The share of the error budget that is left in the longest window; negative if the
    /// budget is overspent.
    pub budget_left: f64,
}

impl BurnReport {
    /// Builds the report from counts merged over entries.
    pub fn new(level: ServiceLevel, counts: &[WindowCount]) -> Self {
        let mut windows: Vec<BurnWindow> = counts
            .iter()
            .map(|count| BurnWindow {
                window_s: count.window_s,
                good: count.good,
                total: count.total,
                burn_rate: burn_rate(count, level.target),
            })
            .collect();
        windows.sort_by_key(|window| window.window_s);
        let alerts = ALERT_PAIRS
            .iter()
            .map(|pair| alert(pair, &windows))
            .collect();
        let budget_left = windows.last().map_or(1.0, |window| 1.0 - window.burn_rate);
        Self {
            level,
            windows,
            alerts,
            budget_left,
        }
    }
}

/// Returns the share of bad events relative to the allowed share.
fn burn_rate(count: &WindowCount, target: f64) -> f64 {
    if count.total == 0 {
        return 0.0;
    }
    let bad = count.total.saturating_sub(count.good) as f64;
    bad / count.total as f64 / (1.0 - target).max(f64::EPSILON)
}

fn alert(pair: &AlertPair, windows: &[BurnWindow]) -> BurnAlert {
    let reaches_rate = |window_s: u64| {
        windows
            .iter()
            .any(|window| window.window_s == window_s && window.burn_rate >= pair.burn_rate)
    };
    BurnAlert {
        short_s: pair.short_s,
        long_s: pair.long_s,
        burn_rate: pair.burn_rate,
        firing: reaches_rate(pair.short_s) && reaches_rate(pair.long_s),
    }
}
