//! Ends of processes that nothing requested.

use std::fmt;
use std::time::Instant;

use super::support::Site;

/// The number of the last log lines that are shown.
const SHOWN_LINES: usize = 12;

/// Describes the end of a process that ended by itself.
#[derive(Clone, Debug)]
pub(crate) struct OwnEnd {
    pub(crate) name: String,
    pub(crate) id: u32,
    /// The exit code, the signal, or the limit that it exceeded.
    pub(crate) why: String,
    /// When it was seen.
    pub(crate) seen_at: Instant,
    /// The last lines of its log.
    pub(crate) log: String,
}

impl OwnEnd {
    pub(crate) fn new(name: &str, id: u32, why: String, log: &str) -> Self {
        let lines: Vec<&str> = log.lines().collect();
        let first = lines.len().saturating_sub(SHOWN_LINES);
        Self {
            name: name.to_owned(),
            id,
            why,
            seen_at: Instant::now(),
            log: lines[first..].join("\n"),
        }
    }
}

impl fmt::Display for OwnEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            name, id, why, log, ..
        } = self;
        write!(f, "{name} ({id}) ended by itself, {why}:\n{log}")
    }
}

impl Site {
    /// Checks that no entry has ended by itself since the site was started.
    pub(crate) fn check_own_ends(&mut self) {
        let entries = self.entries.iter_mut();
        let ends = entries.flat_map(|entry| entry.process.own_ends().to_vec());
        let ends: Vec<String> = ends.map(|end| end.to_string()).collect();
        assert!(ends.is_empty(), "{}", ends.join("\n"));
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            self.check_own_ends();
        }
    }
}
