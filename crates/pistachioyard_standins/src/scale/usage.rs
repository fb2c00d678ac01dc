//! Resource usage of entries, read from `/proc`, their metrics and the platform.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use serde::Serialize;

use super::ScaleError;
use crate::CallCounts;
use crate::cluster::Cluster;

/// The clock ticks per second of the times in `/proc/PID/stat` on Linux.
const TICKS_PER_SECOND: f64 = 100.0;
/// The index of the user time among the fields of `/proc/PID/stat` that follow the command
/// name.
const UTIME_FIELD: usize = 11;
/// The metric that counts the bytes that an entry queued for its peers.
const PEER_SENT: &str = "pistachioyard_peer_sent_bytes_total";
/// The metric that counts the bytes that an entry received from its peers.
const PEER_RECEIVED: &str = "pistachioyard_peer_received_bytes_total";

/// Holds the average cost of one entry, in resources and platform calls.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Cost {
    /// The CPU usage, in percent of one core.
    pub(crate) cpu_percent: f64,
    /// The resident memory, in mebibytes.
    pub(crate) rss_mb: f64,
    /// Kilobytes sent to peers per second.
    pub(crate) peer_sent_kb_s: f64,
    /// Kilobytes received from peers per second.
    pub(crate) peer_received_kb_s: f64,
    /// Reads of objects, object lists and the host list per second.
    pub(crate) platform_reads_s: f64,
    /// Watches started per second.
    pub(crate) platform_watches_s: f64,
    /// Writes per second.
    pub(crate) platform_writes_s: f64,
    /// The minimum, over all entries, of the number of live entries that an entry sees.
    pub(crate) least_live_seen: usize,
    /// The longest time from applying a change until it is in force at all entries, in
    /// milliseconds.
    pub(crate) in_force_ms: Option<f64>,
}

/// Holds the usage totals of all entries at one instant.
pub(super) struct UsageSample {
    at: Instant,
    entries: f64,
    cpu_seconds: f64,
    rss_kb: f64,
    sent: f64,
    received: f64,
    counts: CallCounts,
}

impl UsageSample {
    /// Reads the usage of all entries and the call counts of the platform.
    pub(super) async fn read(cluster: &Cluster) -> Result<Self, ScaleError> {
        let counts = cluster
            .client
            .get_json(cluster.platform, "/control/counts")
            .await?;
        let mut sample = Self {
            at: Instant::now(),
            entries: cluster.entries.len() as f64,
            cpu_seconds: 0.0,
            rss_kb: 0.0,
            sent: 0.0,
            received: 0.0,
            counts,
        };
        for entry in &cluster.entries {
            let id = entry.child.id();
            let unreadable = || ScaleError::Process { id };
            sample.cpu_seconds += cpu_seconds(id).ok_or_else(unreadable)?;
            sample.rss_kb += rss_kb(id).ok_or_else(unreadable)?;
            let answer = cluster
                .client
                .send(Method::GET, entry.caller, "/metrics", &[], Bytes::new())
                .await?;
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            sample.sent += metric_value(&text, PEER_SENT);
            sample.received += metric_value(&text, PEER_RECEIVED);
        }
        Ok(sample)
    }

    /// Returns the average cost of one entry since an earlier sample.
    pub(super) fn cost_since(&self, before: &Self, live: usize, slowest: Option<Duration>) -> Cost {
        let seconds = (self.at - before.at).as_secs_f64();
        let rate = |now: f64, then: f64| (now - then) / seconds / self.entries;
        let call_rate =
            |of: fn(&CallCounts) -> u64| rate(of(&self.counts) as f64, of(&before.counts) as f64);
        Cost {
            cpu_percent: 100.0 * rate(self.cpu_seconds, before.cpu_seconds),
            rss_mb: self.rss_kb / self.entries / 1_024.0,
            peer_sent_kb_s: rate(self.sent, before.sent) / 1_000.0,
            peer_received_kb_s: rate(self.received, before.received) / 1_000.0,
            platform_reads_s: call_rate(|c| c.reads + c.lists + c.hosts),
            platform_watches_s: call_rate(|c| c.watches),
            platform_writes_s: call_rate(|c| c.writes),
            least_live_seen: live,
            in_force_ms: slowest.map(|time| time.as_secs_f64() * 1_000.0),
        }
    }
}

/// Reads the CPU time of a process, user and system, in seconds.
fn cpu_seconds(id: u32) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let (_, rest) = text.rsplit_once(") ")?;
    let mut fields = rest.split(' ').skip(UTIME_FIELD);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}

/// Reads the resident memory of a process, in kibibytes.
fn rss_kb(id: u32) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Returns the value of a metric without labels, or 0 if it is missing.
fn metric_value(text: &str, name: &str) -> f64 {
    text.lines()
        .filter_map(|line| line.split_once(' '))
        .find(|(found, _)| *found == name)
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0.0)
}
