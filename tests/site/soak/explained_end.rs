//! Ends of entries and the faults that may have caused them.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use super::plan::Fault;
use crate::own_end::OwnEnd;

/// An end by itself, and the faults at its entry at that time.
pub(super) struct ExplainedEnd {
    pub(super) seed: u64,
    pub(super) after: Duration,
    pub(super) end: OwnEnd,
    pub(super) faults: Vec<Fault>,
}

impl fmt::Display for ExplainedEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let after = self.after.as_millis();
        writeln!(
            f,
            "soak: seed {}: after {after} ms, {}",
            self.seed, self.end
        )?;
        write!(f, "  during: {:?}", self.faults)
    }
}

/// Counts ends by how they occurred and by each kind of fault at that time.
pub(super) fn count_by_kinds(ends: &[ExplainedEnd]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for ExplainedEnd { end, faults, .. } in ends {
        let kinds: BTreeSet<_> = faults.iter().map(Fault::kind).collect();
        for kind in kinds {
            *counts
                .entry(format!("{} during {kind}", end.why))
                .or_default() += 1;
        }
    }
    counts
}
