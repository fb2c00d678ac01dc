//! What a check found.

use std::fmt;

use super::{ConfigFault, ConfigPlace, Severity};

/// Holds a fault and its place.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigFinding {
    /// The entry that has the fault.
    pub place: ConfigPlace,
    /// What is wrong with it.
    pub fault: ConfigFault,
}

impl ConfigFinding {
    /// Returns how bad it is.
    pub fn severity(&self) -> Severity {
        self.fault.severity(&self.place)
    }
}

impl fmt::Display for ConfigFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.fault)
    }
}
