//! Figures over the records of a load.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::record::{Record, RecordEnd};

/// The longest time that is told apart, in microseconds.
const MAX_US: u64 = 120_000_000;
/// The significant digits of times.
const DIGITS: u8 = 3;

/// Three quantiles, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct Quantiles {
    pub(super) p50: f64,
    pub(super) p95: f64,
    pub(super) p99: f64,
}

/// A histogram of times.
pub(super) struct Times(Histogram<u64>);

impl Times {
    /// Makes an empty histogram.
    pub(super) fn new() -> Self {
        let histogram = Histogram::new_with_max(MAX_US, DIGITS);
        Self(histogram.expect("the constants are in range"))
    }

    /// Counts a time.
    pub(super) fn record(&mut self, time: Duration) {
        self.0.saturating_record(time.as_micros() as u64);
    }

    /// Counts something that did not come at all.
    pub(super) fn record_never(&mut self) {
        self.0.saturating_record(MAX_US);
    }

    /// Returns the number of times counted.
    pub(super) fn len(&self) -> u64 {
        self.0.len()
    }

    /// Returns a quantile in milliseconds.
    pub(super) fn quantile_ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Returns the usual quantiles.
    pub(super) fn quantiles(&self) -> Quantiles {
        Quantiles {
            p50: self.quantile_ms(0.50),
            p95: self.quantile_ms(0.95),
            p99: self.quantile_ms(0.99),
        }
    }
}

/// What the callers saw in a stretch of time.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Figures {
    pub(super) tokens_per_second: f64,
    pub(super) first_token_ms: Quantiles,
    pub(super) between_tokens_ms: Quantiles,
    pub(super) done: u64,
    pub(super) not_run: BTreeMap<String, u64>,
    pub(super) failed: u64,
    pub(super) failed_kinds: BTreeMap<String, u64>,
    pub(super) wrong: u64,
    /// Answers that went on at another entry.
    pub(super) moved: u64,
}

impl Figures {
    /// Reckons up the requests; rates and times are those between two instants.
    pub(super) fn new<'a>(
        records: impl Iterator<Item = &'a Record> + Clone,
        from: Instant,
        to: Instant,
    ) -> Self {
        let mut figures = Self {
            tokens_per_second: rate(records.clone(), from, to),
            ..Self::default()
        };
        let is_within = |at: Instant| from <= at && at < to;
        let mut first = Times::new();
        let mut between = Times::new();
        for record in records {
            figures.count(record);
            if is_within(record.sent_at) {
                record
                    .first_token()
                    .into_iter()
                    .for_each(|t| first.record(t));
            }
            let gaps = record.token_times.windows(2).filter(|w| is_within(w[1]));
            gaps.for_each(|w| between.record(w[1] - w[0]));
        }
        figures.first_token_ms = first.quantiles();
        figures.between_tokens_ms = between.quantiles();
        figures
    }

    fn count(&mut self, record: &Record) {
        self.moved += u64::from(record.has_moved);
        match record.end {
            RecordEnd::Done => self.done += 1,
            RecordEnd::NotRun(kind) => {
                *self.not_run.entry(kind.as_str().to_owned()).or_default() += 1;
            }
            RecordEnd::Failed(kind) => self.count_failure(kind.as_str()),
            RecordEnd::Broken => self.count_failure("broken"),
            RecordEnd::Wrong => self.wrong += 1,
        }
    }

    fn count_failure(&mut self, kind: &str) {
        self.failed += 1;
        *self.failed_kinds.entry(kind.to_owned()).or_default() += 1;
    }

    /// Returns the number of refused requests.
    pub(super) fn refused(&self) -> u64 {
        self.not_run.values().sum()
    }
}

/// Returns the tokens a second that came between two instants.
pub(super) fn rate<'a>(
    records: impl Iterator<Item = &'a Record>,
    from: Instant,
    to: Instant,
) -> f64 {
    let times = records.flat_map(|record| &record.token_times);
    let count = times.filter(|at| from <= **at && **at < to).count();
    count as f64 / (to - from).as_secs_f64()
}
