//! Statistics over the request records of a load.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::record::{Record, RecordEnd};

/// The largest value of the histogram, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;
/// The number of significant digits that the histogram keeps.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Holds three quantiles of a histogram, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct Quantiles {
    pub(super) p50: f64,
    pub(super) p95: f64,
    pub(super) p99: f64,
}

/// Collects latencies in a histogram.
pub(super) struct LatencyHistogram(Histogram<u64>);

impl LatencyHistogram {
    /// Creates an empty histogram.
    pub(super) fn new() -> Self {
        let histogram = Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        Self(histogram.expect("the histogram bounds are valid"))
    }

    /// Records a latency.
    pub(super) fn record(&mut self, time: Duration) {
        self.0.saturating_record(time.as_micros() as u64);
    }

    /// Records a token that never came, as the largest value.
    pub(super) fn record_missing(&mut self) {
        self.0.saturating_record(MAX_LATENCY_US);
    }

    /// Returns the number of recorded values.
    pub(super) fn len(&self) -> u64 {
        self.0.len()
    }

    /// Returns a quantile, in milliseconds.
    pub(super) fn quantile_ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Returns the quantiles that reports contain.
    pub(super) fn quantiles(&self) -> Quantiles {
        Quantiles {
            p50: self.quantile_ms(0.50),
            p95: self.quantile_ms(0.95),
            p99: self.quantile_ms(0.99),
        }
    }
}

/// Summarises what the callers observed.
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
    /// The number of answers that continued at another entry.
    pub(super) moved: u64,
}

impl Figures {
    /// Summarises the requests. All requests count towards the outcomes; rates and
    /// latencies cover only the interval from `from` to `to`.
    pub(super) fn new<'a>(
        records: impl Iterator<Item = &'a Record> + Clone,
        from: Instant,
        to: Instant,
    ) -> Self {
        let mut figures = Self {
            tokens_per_second: token_rate(records.clone(), from, to),
            ..Self::default()
        };
        let is_within = |at: Instant| from <= at && at < to;
        let mut first = LatencyHistogram::new();
        let mut between = LatencyHistogram::new();
        for record in records {
            figures.count(record);
            if is_within(record.sent_at) {
                record
                    .time_to_first_token()
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
        self.moved += u64::from(record.was_resumed);
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

/// Returns the tokens per second received between two instants.
pub(super) fn token_rate<'a>(
    records: impl Iterator<Item = &'a Record>,
    from: Instant,
    to: Instant,
) -> f64 {
    let times = records.flat_map(|record| &record.token_times);
    let count = times.filter(|at| from <= **at && **at < to).count();
    count as f64 / (to - from).as_secs_f64()
}
