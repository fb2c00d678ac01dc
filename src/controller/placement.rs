//! Assigns layer ranges to endpoints, at the entry that holds the placement lease.
//!
//! Each round reads the fleet view and the configuration in force, plans what endpoints are to
//! hold, and sends orders where reports differ. No state passes from one lease holder to the
//! next: the plan is computed from the current state (`docs/design/placement.md`).

mod moves;
mod survey;

use std::collections::BTreeMap;

use pistachioyard_policy::{
    ActiveConfig, PlacementChange, PlacementInput, PlacementModel, next_rollout_step,
    plan_placement, serving_version,
};
use pistachioyard_wire::Fence;

use self::moves::Moves;
use self::survey::Survey;
use super::lease::Lease;
use super::orders::{AdapterOrders, Orders};
use crate::prelude::*;

/// How often the lease holder checks the placement, in milliseconds.
const ROUND_INTERVAL_MS: u64 = 500;
/// The share of a model's endpoints that a rollout may take out of service at a time.
const ROLLOUT_SHARE: f64 = 0.25;

/// Checks and corrects the placement at every interval while this entry holds the lease.
pub(super) async fn run(node: Arc<Node>, lease: Arc<Lease>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(ROUND_INTERVAL_MS));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut controller: Option<Controller> = None;
    loop {
        ticks.tick().await;
        let now = Instant::now();
        let Some(fence) = lease.fence(now) else {
            controller = None;
            continue;
        };
        let current = match controller.take() {
            Some(current) if current.orders.fence() == fence => current,
            _ => Controller::new(&node, &lease, fence, now),
        };
        controller = Some(current.run_round().await);
    }
}

/// Holds the state that the lease holder keeps under one fencing token, beside the fleet view.
struct Controller {
    node: Arc<Node>,
    survey: Survey,
    moves: Moves,
    adapters: AdapterOrders,
    orders: Orders,
}

impl Controller {
    fn new(node: &Arc<Node>, lease: &Arc<Lease>, fence: Fence, now: Instant) -> Self {
        Self {
            node: node.clone(),
            survey: Survey::default(),
            moves: Moves::default(),
            adapters: AdapterOrders::default(),
            orders: Orders::new(node.clone(), lease.clone(), fence, now),
        }
    }

    /// Plans the placement once, and sends the orders that are due.
    async fn run_round(mut self) -> Self {
        // Without a confirmed configuration no order may be sent.
        let Ok(active) = self.node.config_for_new_work() else {
            return self;
        };
        let now = Instant::now();
        let Some(mut input) = self.observe(&active, now) else {
            return self;
        };
        self.moves.update(&self.node, &input, now);
        self.moves.apply_to(&mut input);
        let serving = self.serving_versions(&active, now);
        let (input, changes) = plan(input, serving.clone()).await;
        self.moves
            .begin(&self.node, &input, &serving, changes, Instant::now());
        self.moves.order(&self.node, &mut self.orders).await;
        self.adapters
            .order(&self.node, &input, &mut self.orders)
            .await;
        self
    }

    fn observe(&mut self, active: &ActiveConfig, now: Instant) -> Option<PlacementInput> {
        let fleet = self.node.fleet.lock();
        self.survey.observe(&fleet, active, now)
    }

    /// Returns the version of each model that serves requests now.
    fn serving_versions(&mut self, active: &ActiveConfig, now: Instant) -> ServingVersions {
        let fleet = self.node.fleet.lock();
        let versions = active.config.models().iter().map(|(name, policy)| {
            let version = serving_version(&fleet, name, policy, None, now);
            (name.clone(), version)
        });
        let versions = versions.collect();
        self.survey.record_serving(versions, now)
    }
}

/// Holds the serving version of each model, and whether all entries use it by now.
#[derive(Clone, Debug, Default)]
struct ServingVersions {
    versions: BTreeMap<ModelName, VersionName>,
    is_settled: bool,
}

impl ServingVersions {
    fn version_of(&self, model: &ModelName) -> Option<&VersionName> {
        self.versions.get(model)
    }
}

/// Plans the changes on a blocking thread, since planning would delay requests.
async fn plan(
    input: PlacementInput,
    serving: ServingVersions,
) -> (PlacementInput, Vec<PlacementChange>) {
    let planned = tokio::task::spawn_blocking(move || {
        let changes = plan_changes(&input, &serving);
        (input, changes)
    });
    planned.await.unwrap_or_default()
}

/// Plans the placement of the configured versions, and their rollout where others still serve.
///
/// While an older version serves, changes only repair its coverage. Once no repair is due, the
/// rest of the fleet moves to the configured version step by step.
fn plan_changes(input: &PlacementInput, serving: &ServingVersions) -> Vec<PlacementChange> {
    let served: Vec<PlacementModel> = input
        .models
        .iter()
        .map(|model| PlacementModel {
            version: serving
                .version_of(&model.name)
                .unwrap_or(&model.version)
                .clone(),
            ..model.clone()
        })
        .collect();
    let in_rollout: Vec<&PlacementModel> = input
        .models
        .iter()
        .filter(|model| has_other_version(input, model))
        .collect();
    let placed = plan_placement(&PlacementInput {
        endpoints: input.endpoints.clone(),
        models: served,
    });
    if in_rollout.is_empty() {
        return placed;
    }
    let mut changes: Vec<PlacementChange> = placed
        .into_iter()
        .filter(|change| is_repair(input, change))
        .collect();
    if changes.is_empty() {
        for model in in_rollout {
            changes.extend(next_rollout_step(input, model, ROLLOUT_SHARE));
        }
    }
    changes
}

fn has_other_version(input: &PlacementInput, model: &PlacementModel) -> bool {
    input.endpoints.iter().any(|endpoint| {
        let held = endpoint.current.as_ref();
        endpoint.usable
            && held.is_some_and(|held| held.model == model.name && held.version != model.version)
    })
}

/// Tells whether a change covers a layer that no usable endpoint holds.
fn is_repair(input: &PlacementInput, change: &PlacementChange) -> bool {
    let hold = &change.hold;
    (hold.layers.first()..hold.layers.end()).any(|layer| {
        !input.endpoints.iter().any(|endpoint| {
            let held = endpoint.current.as_ref();
            endpoint.usable
                && held.is_some_and(|held| {
                    held.model == hold.model
                        && held.version == hold.version
                        && (held.layers.first()..held.layers.end()).contains(&layer)
                })
        })
    })
}
