//! Holds the slots of an admitted request.

use pistachioyard_wire::StageRef;

use crate::prelude::*;

/// Holds the right to run one request, and releases its slots when dropped.
pub(crate) struct Grant {
    node: Arc<Node>,
    workspace: WorkspaceName,
    stages: Arc<[StageRef]>,
}

impl Grant {
    /// Occupies a slot at each stage of a chain for a request of a workspace.
    pub(super) fn new(node: &Arc<Node>, workspace: WorkspaceName, stages: Arc<[StageRef]>) -> Self {
        node.fleet.lock().begin_stream(&stages, Instant::now());
        *node
            .admission
            .in_flight
            .lock()
            .entry(workspace.clone())
            .or_default() += 1;
        Self {
            node: node.clone(),
            workspace,
            stages,
        }
    }

    /// Returns the chain that the request runs on.
    pub(crate) fn stages(&self) -> &Arc<[StageRef]> {
        &self.stages
    }

    /// Moves the request to another chain, and releases the slots of the current one.
    pub(crate) fn replace(&mut self, stages: Arc<[StageRef]>) {
        let now = Instant::now();
        let mut fleet = self.node.fleet.lock();
        fleet.end_stream(&self.stages, now);
        fleet.begin_stream(&stages, now);
        self.stages = stages;
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        let now = Instant::now();
        self.node.fleet.lock().end_stream(&self.stages, now);
        let admission = &self.node.admission;
        let is_idle = {
            let mut in_flight = admission.in_flight.lock();
            if let Some(count) = in_flight.get_mut(&self.workspace) {
                *count = count.saturating_sub(1);
            }
            in_flight.retain(|_, count| *count > 0);
            in_flight.is_empty()
        };
        {
            let mut rate = admission.rate.lock();
            rate.on_completion(now);
            if is_idle {
                rate.on_idle();
            }
        }
        admission.wake();
    }
}
