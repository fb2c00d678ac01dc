//! The tickets of one priority, shared by weight among workspaces.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use pistachioyard_wire::WorkspaceName;

use super::Ticket;

/// The virtual time that one admission takes at weight 1.
const ADMISSION_COST: u64 = 1 << 24;

/// The tickets of one workspace in order of arrival.
#[derive(Clone, Debug)]
struct Flow<T> {
    waiting: VecDeque<Ticket<T>>,
    /// The virtual time at which its next admission starts.
    start: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Lane<T> {
    flows: BTreeMap<WorkspaceName, Flow<T>>,
    /// The start of the newest admission; a flow that was idle starts from here,
    /// so that it has no credit.
    virtual_time: u64,
}

impl<T> Default for Lane<T> {
    fn default() -> Self {
        Self {
            flows: BTreeMap::new(),
            virtual_time: 0,
        }
    }
}

impl<T> Lane<T> {
    pub(crate) fn push(&mut self, ticket: Ticket<T>) {
        let virtual_time = self.virtual_time;
        let flow = self
            .flows
            .entry(ticket.workspace.clone())
            .or_insert_with(|| Flow {
                waiting: VecDeque::new(),
                start: virtual_time,
            });
        if flow.waiting.is_empty() {
            flow.start = flow.start.max(virtual_time);
        }
        flow.waiting.push_back(ticket);
    }

    pub(crate) fn pop(
        &mut self,
        eligible: &mut impl FnMut(&WorkspaceName, &T) -> bool,
        external_usage: &BTreeMap<WorkspaceName, u32>,
        now: Instant,
    ) -> Option<Ticket<T>> {
        let (workspace, place) = self.next_eligible(eligible, now)?;
        let flow = self.flows.get_mut(&workspace)?;
        let ticket = flow.waiting.remove(place)?;
        let elsewhere = external_usage.get(&workspace).copied().unwrap_or(0);
        let weight = u64::from(ticket.weight.max(1));
        let cost = ADMISSION_COST * (1 + u64::from(elsewhere)) / weight;
        self.virtual_time = self.virtual_time.max(flow.start);
        flow.start = flow.start.saturating_add(cost);
        self.settle_flows();
        Some(ticket)
    }

    pub(crate) fn take_where(
        &mut self,
        condition: &mut impl FnMut(&Ticket<T>) -> bool,
    ) -> Vec<Ticket<T>> {
        let mut taken = Vec::new();
        for flow in self.flows.values_mut() {
            let waiting = std::mem::take(&mut flow.waiting);
            for ticket in waiting {
                if condition(&ticket) {
                    taken.push(ticket);
                } else {
                    flow.waiting.push_back(ticket);
                }
            }
        }
        self.settle_flows();
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

    /// Estimates the admissions before a new ticket: all earlier ones of the
    /// workspace, and what the shares of the others come to meanwhile.
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

    /// Finds the flow that starts first and has an eligible ticket.
    ///
    /// Flows that are passed over have no eligible ticket, so they get no credit
    /// for the time.
    fn next_eligible(
        &mut self,
        eligible: &mut impl FnMut(&WorkspaceName, &T) -> bool,
        now: Instant,
    ) -> Option<(WorkspaceName, usize)> {
        let mut order: Vec<(u64, WorkspaceName)> = self
            .flows
            .iter()
            .filter(|(_, flow)| !flow.waiting.is_empty())
            .map(|(workspace, flow)| (flow.start, workspace.clone()))
            .collect();
        order.sort_unstable();
        let mut passed_over = Vec::new();
        for (start, workspace) in order {
            let place = self.flows[&workspace]
                .waiting
                .iter()
                .position(|t| t.give_up_at > now && eligible(&workspace, &t.item));
            let Some(place) = place else {
                passed_over.push(workspace);
                continue;
            };
            for workspace in passed_over {
                if let Some(flow) = self.flows.get_mut(&workspace) {
                    flow.start = flow.start.max(start);
                }
            }
            return Some((workspace, place));
        }
        None
    }

    /// Forgets flows that are idle and owe nothing; with none left waiting, all.
    fn settle_flows(&mut self) {
        let virtual_time = self.virtual_time;
        self.flows
            .retain(|_, flow| !flow.waiting.is_empty() || flow.start > virtual_time);
        if self.flows.values().all(|flow| flow.waiting.is_empty()) {
            self.flows.clear();
        }
    }
}
