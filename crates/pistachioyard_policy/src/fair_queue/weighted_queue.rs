//! Start-time fair queue of the requests of one priority.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use pistachioyard_wire::WorkspaceName;

use super::QueuedRequest;

/// The virtual time that one admission costs at weight 1.
const ADMISSION_COST: u64 = 1 << 24;

/// The waiting requests of one workspace in order of arrival.
#[derive(Clone, Debug)]
struct Flow<T> {
    waiting: VecDeque<QueuedRequest<T>>,
    /// The virtual time at which the next admission of the flow starts.
    start_tag: u64,
}

/// The waiting requests of one priority, shared by weight among workspaces.
#[derive(Clone, Debug)]
pub(crate) struct WeightedQueue<T> {
    flows: BTreeMap<WorkspaceName, Flow<T>>,
    /// The start tag of the newest admission. A flow that was idle starts from
    /// here, so that idle time earns no credit.
    virtual_time: u64,
}

impl<T> Default for WeightedQueue<T> {
    fn default() -> Self {
        Self {
            flows: BTreeMap::new(),
            virtual_time: 0,
        }
    }
}

impl<T> WeightedQueue<T> {
    pub(crate) fn push(&mut self, request: QueuedRequest<T>) {
        let virtual_time = self.virtual_time;
        let flow = self
            .flows
            .entry(request.workspace.clone())
            .or_insert_with(|| Flow {
                waiting: VecDeque::new(),
                start_tag: virtual_time,
            });
        if flow.waiting.is_empty() {
            flow.start_tag = flow.start_tag.max(virtual_time);
        }
        flow.waiting.push_back(request);
    }

    pub(crate) fn pop(
        &mut self,
        eligible: &mut impl FnMut(&WorkspaceName, &T) -> bool,
        external_usage: &BTreeMap<WorkspaceName, u32>,
        now: Instant,
    ) -> Option<QueuedRequest<T>> {
        let (workspace, position) = self.next_eligible(eligible, now)?;
        let flow = self.flows.get_mut(&workspace)?;
        let request = flow.waiting.remove(position)?;
        let elsewhere = external_usage.get(&workspace).copied().unwrap_or(0);
        let weight = u64::from(request.weight.max(1));
        let cost = ADMISSION_COST * (1 + u64::from(elsewhere)) / weight;
        self.virtual_time = self.virtual_time.max(flow.start_tag);
        flow.start_tag = flow.start_tag.saturating_add(cost);
        self.remove_idle_flows();
        Some(request)
    }

    pub(crate) fn take_where(
        &mut self,
        condition: &mut impl FnMut(&QueuedRequest<T>) -> bool,
    ) -> Vec<QueuedRequest<T>> {
        let mut taken = Vec::new();
        for flow in self.flows.values_mut() {
            let waiting = std::mem::take(&mut flow.waiting);
            for request in waiting {
                if condition(&request) {
                    taken.push(request);
                } else {
                    flow.waiting.push_back(request);
                }
            }
        }
        self.remove_idle_flows();
        taken
    }

    pub(crate) fn len(&self) -> usize {
        self.flows.values().map(|flow| flow.waiting.len()).sum()
    }

    pub(crate) fn waiting(&self) -> impl Iterator<Item = (&WorkspaceName, usize)> {
        let flows = self.flows.iter().map(|(w, flow)| (w, flow.waiting.len()));
        flows.filter(|(_, waiting)| *waiting > 0)
    }

    pub(crate) fn waiting_of(&self, workspace: &WorkspaceName) -> usize {
        self.flows.get(workspace).map_or(0, |f| f.waiting.len())
    }

    /// Estimates how many requests are admitted before a new one: all waiting
    /// requests of the workspace and the share that the others get meanwhile.
    pub(crate) fn waiting_ahead(&self, workspace: &WorkspaceName, weight: u32) -> usize {
        let own = self.waiting_of(workspace);
        let turns = own + 1;
        let others = self.flows.iter().filter(|(w, _)| *w != workspace);
        let others = others.filter_map(|(_, flow)| {
            let front = flow.waiting.front()?;
            let share = (turns * front.weight.max(1) as usize).div_ceil(weight.max(1) as usize);
            Some(share.min(flow.waiting.len()))
        });
        own + others.sum::<usize>()
    }

    /// Returns the flow with the smallest start tag that has an eligible request,
    /// and the position of that request.
    ///
    /// Flows that are skipped for lack of an eligible request have their start tag
    /// moved forward, so that they earn no credit meanwhile.
    fn next_eligible(
        &mut self,
        eligible: &mut impl FnMut(&WorkspaceName, &T) -> bool,
        now: Instant,
    ) -> Option<(WorkspaceName, usize)> {
        let mut order: Vec<(u64, WorkspaceName)> = self
            .flows
            .iter()
            .filter(|(_, flow)| !flow.waiting.is_empty())
            .map(|(workspace, flow)| (flow.start_tag, workspace.clone()))
            .collect();
        order.sort_unstable();
        let mut skipped = Vec::new();
        for (start_tag, workspace) in order {
            let position = self.flows[&workspace]
                .waiting
                .iter()
                .position(|request| request.deadline > now && eligible(&workspace, &request.item));
            let Some(position) = position else {
                skipped.push(workspace);
                continue;
            };
            for workspace in skipped {
                if let Some(flow) = self.flows.get_mut(&workspace) {
                    flow.start_tag = flow.start_tag.max(start_tag);
                }
            }
            return Some((workspace, position));
        }
        None
    }

    /// Removes idle flows whose start tag the virtual time has reached, and all
    /// flows once nothing waits.
    fn remove_idle_flows(&mut self) {
        let virtual_time = self.virtual_time;
        self.flows
            .retain(|_, flow| !flow.waiting.is_empty() || flow.start_tag > virtual_time);
        if self.flows.values().all(|flow| flow.waiting.is_empty()) {
            self.flows.clear();
        }
    }
}
