//! What an entry tells the others of the demand that it sees.

use std::ops::AddAssign;

use super::demand::Demand;

/// Holds what a workspace has in progress and asks for at a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkspaceLoad {
    /// The tokens of its requests in progress.
    pub in_progress: f64,
    /// The tokens that its requests ask for.
    pub demand: Demand,
}

impl AddAssign for WorkspaceLoad {
    fn add_assign(&mut self, other: Self) {
        self.in_progress += other.in_progress;
        self.demand += other.demand;
    }
}

/// Holds the demand that one entry, or all entries of a data centre, see.
///
/// Services and workspaces are named by keys that stand for them in messages.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ContentionReport {
    /// The demand by service and urgency.
    pub by_urgency: Vec<((u32, u8), Demand)>,
    /// The largest workspaces by service and workspace.
    pub by_workspace: Vec<((u32, u32), WorkspaceLoad)>,
}
