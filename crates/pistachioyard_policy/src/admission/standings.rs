//! How the workspaces that compete for a service stand.

use std::collections::BTreeMap;

/// The multiple of the mean usage of all workspaces above which one is far above its share.
const FAR_ABOVE_SHARE: f64 = 2.0;

/// Holds what the workspaces of a service have in progress at all entries.
#[derive(Clone, Debug, Default)]
pub struct Standings {
    /// The tokens by the key of the workspace.
    in_progress: BTreeMap<u32, f64>,
    mean: f64,
}

impl Standings {
    pub(super) fn new(in_progress: BTreeMap<u32, f64>) -> Self {
        let mean = in_progress.values().sum::<f64>() / in_progress.len().max(1) as f64;
        Self { in_progress, mean }
    }

    /// Returns the tokens that a workspace has in progress.
    pub(super) fn in_progress(&self, workspace: Option<u32>) -> f64 {
        let usage = workspace.and_then(|workspace| self.in_progress.get(&workspace));
        usage.copied().unwrap_or_default()
    }

    /// Returns whether a workspace has far more in progress than its share.
    pub(super) fn is_far_above(&self, workspace: Option<u32>) -> bool {
        self.in_progress.len() > 1 && self.in_progress(workspace) > FAR_ABOVE_SHARE * self.mean
    }
}
