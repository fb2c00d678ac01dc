//! A histogram of durations whose size does not grow with their number.

use std::fmt::Write;
use std::time::Duration;

/// The upper bounds of the buckets; they surround the limits for late events (120 ms) and for
/// silence (2.5 s).
const BOUNDS: [Duration; 10] = [
    Duration::from_millis(1),
    Duration::from_millis(5),
    Duration::from_millis(10),
    Duration::from_millis(30),
    Duration::from_millis(60),
    Duration::from_millis(120),
    Duration::from_millis(250),
    Duration::from_millis(500),
    Duration::from_millis(1_000),
    Duration::from_millis(2_500),
];

/// Counts durations by their length.
#[derive(Clone, Debug, Default)]
pub struct TimeHistogram {
    /// The counts of the buckets, each without those of the smaller ones.
    counts: [u64; BOUNDS.len()],
    total: u64,
    sum: Duration,
    longest: Duration,
}

impl TimeHistogram {
    /// Records a duration.
    pub fn record(&mut self, length: Duration) {
        let bucket = BOUNDS.iter().position(|bound| length <= *bound);
        if let Some(count) = bucket.and_then(|bucket| self.counts.get_mut(bucket)) {
            *count += 1;
        }
        self.total += 1;
        self.sum = self.sum.saturating_add(length);
        self.longest = self.longest.max(length);
    }

    /// Returns the longest duration so far.
    pub fn longest(&self) -> Duration {
        self.longest
    }

    /// Renders the histogram in the Prometheus text format, under the name of a metric.
    pub fn render(&self, name: &str, help: &str) -> String {
        let mut text = format!("# HELP {name} {help}\n# TYPE {name} histogram\n");
        let mut below = 0;
        for (bound, count) in BOUNDS.iter().zip(self.counts) {
            below += count;
            let le = bound.as_secs_f64();
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{name}_bucket{{le=\"{le}\"}} {below}");
        }
        let (sum, total) = (self.sum.as_secs_f64(), self.total);
        let _ = write!(
            text,
            "{name}_bucket{{le=\"+Inf\"}} {total}\n{name}_sum {sum}\n{name}_count {total}\n"
        );
        text
    }
}
