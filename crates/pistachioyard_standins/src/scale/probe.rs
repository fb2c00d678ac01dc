//! What entries spend, read from the system, their metrics and the platform.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use serde::Serialize;

use super::ScaleError;
use crate::CallCounts;
use crate::cluster::Cluster;

/// The clock ticks of `/proc/PID/stat` in a second, as Linux shows them.
const TICKS_PER_SECOND: f64 = 100.0;
/// The place of user time in `/proc/PID/stat` after the command's name.
const UTIME_FIELD: usize = 11;
/// The metric of bytes that an entry queued for its peers.
const PEER_SENT: &str = "pistachioyard_peer_sent_bytes_total";
/// The metric of bytes that an entry received from its peers.
const PEER_RECEIVED: &str = "pistachioyard_peer_received_bytes_total";

/// What one entry spent on average, and the platform's calls.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Cost {
    /// The share of one core, in percent.
    pub(crate) cpu_percent: f64,
    /// The resident memory, in megabytes.
    pub(crate) rss_mb: f64,
    /// Kilobytes sent to peers a second.
    pub(crate) peer_sent_kb_s: f64,
    /// Kilobytes received from peers a second.
    pub(crate) peer_received_kb_s: f64,
    /// Reads of objects, lists and the host list a second, by one entry.
    pub(crate) platform_reads_s: f64,
    /// Watches begun a second, by one entry.
    pub(crate) platform_watches_s: f64,
    /// Writes a second, by one entry.
    pub(crate) platform_writes_s: f64,
    /// The lowest number of live entries that any entry sees.
    pub(crate) least_live_seen: usize,
    /// The longest time from apply to in force at every entry, in milliseconds.
    pub(crate) in_force_ms: Option<f64>,
}

/// Figures at one moment, summed over the entries.
pub(super) struct Reading {
    at: Instant,
    entries: f64,
    cpu_seconds: f64,
    rss_kb: f64,
    sent: f64,
    received: f64,
    counts: CallCounts,
}

impl Reading {
    /// Reads all entries and the platform.
    pub(super) async fn take(cluster: &Cluster) -> Result<Self, ScaleError> {
        let counts = cluster
            .client
            .get_json(cluster.platform, "/control/counts")
            .await?;
        let mut reading = Self {
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
            let gone = || ScaleError::Process { id };
            reading.cpu_seconds += cpu_seconds(id).ok_or_else(gone)?;
            reading.rss_kb += rss_kb(id).ok_or_else(gone)?;
            let answer = cluster
                .client
                .send(Method::GET, entry.caller, "/metrics", &[], Bytes::new())
                .await?;
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            reading.sent += metric(&text, PEER_SENT);
            reading.received += metric(&text, PEER_RECEIVED);
        }
        Ok(reading)
    }

    /// Returns what one entry spent on average since an earlier reading.
    pub(super) fn since(&self, before: &Self, live: usize, slowest: Option<Duration>) -> Cost {
        let seconds = (self.at - before.at).as_secs_f64();
        let each = |now: f64, then: f64| (now - then) / seconds / self.entries;
        let calls =
            |of: fn(&CallCounts) -> u64| each(of(&self.counts) as f64, of(&before.counts) as f64);
        Cost {
            cpu_percent: 100.0 * each(self.cpu_seconds, before.cpu_seconds),
            rss_mb: self.rss_kb / self.entries / 1_024.0,
            peer_sent_kb_s: each(self.sent, before.sent) / 1_000.0,
            peer_received_kb_s: each(self.received, before.received) / 1_000.0,
            platform_reads_s: calls(|c| c.reads + c.lists + c.hosts),
            platform_watches_s: calls(|c| c.watches),
            platform_writes_s: calls(|c| c.writes),
            least_live_seen: live,
            in_force_ms: slowest.map(|time| time.as_secs_f64() * 1_000.0),
        }
    }
}

/// Reads the processor time of a process, user and system.
fn cpu_seconds(id: u32) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let (_, rest) = text.rsplit_once(") ")?;
    let mut fields = rest.split(' ').skip(UTIME_FIELD);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}

/// Reads the resident memory of a process, in kilobytes.
fn rss_kb(id: u32) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Reads a metric without labels; 0 where it is missing.
fn metric(text: &str, name: &str) -> f64 {
    text.lines()
        .filter_map(|line| line.split_once(' '))
        .find(|(found, _)| *found == name)
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0.0)
}
