//! Tests of the rollout of another version.

use pistachioyard_policy::{PlacementInput, PlacementModel, next_rollout_step};

use crate::placement::{holders, holding, model};

fn covers(input: &PlacementInput, target: &PlacementModel) -> bool {
    holders(input, target).iter().all(|count| *count > 0)
}

/// Starts the loads of a rollout step and returns their number.
fn start_step(input: &mut PlacementInput, target: &PlacementModel, share: f64) -> usize {
    let changes = next_rollout_step(input, target, share);
    for change in &changes {
        let found = input.endpoints.iter_mut().find(|e| e.id == change.endpoint);
        let endpoint = found.unwrap();
        assert!(!endpoint.loading && change.hold.version == target.version);
        endpoint.current = Some(change.hold.clone());
        endpoint.loading = true;
    }
    changes.len()
}

#[test]
fn a_rollout_keeps_every_layer_covered_and_stays_within_its_share() {
    let old = model("v1", 16);
    let new = model("v2", 16);
    let mut input = PlacementInput {
        endpoints: (0..12)
            .map(|i| holding(i, 4, Some(4 * (i as u32 % 4))))
            .collect(),
        models: vec![new.clone()],
    };
    let done = |input: &PlacementInput| {
        let mut held = input.endpoints.iter().map(|e| e.current.as_ref().unwrap());
        held.all(|held| held.version == new.version)
    };
    let mut steps = 0;
    while !done(&input) {
        steps += 1;
        assert!(steps < 100, "the rollout does not end");
        start_step(&mut input, &new, 0.25);
        let loading = input.endpoints.iter().filter(|e| e.loading).count();
        assert!(
            loading <= 3,
            "at most a quarter of the twelve endpoints may load"
        );
        assert!(covers(&input, &old) || covers(&input, &new));
        // The loads finish one at a time, the last endpoint first.
        if let Some(loaded) = input.endpoints.iter_mut().rev().find(|e| e.loading) {
            loaded.loading = false;
        }
    }
    input.endpoints.iter_mut().for_each(|e| e.loading = false);
    assert!(covers(&input, &new));
}

#[test]
fn last_holders_wait_for_a_spare_endpoint() {
    let new = model("v2", 16);
    let last_holders: Vec<_> = (0..4).map(|i| holding(i, 4, Some(4 * i as u32))).collect();
    let mut input = PlacementInput {
        endpoints: last_holders,
        models: vec![new.clone()],
    };
    assert_eq!(next_rollout_step(&input, &new, 1.0), []);
    input.endpoints.extend((4..8).map(|i| holding(i, 4, None)));
    assert_eq!(start_step(&mut input, &new, 1.0), 4);
    assert!(covers(&input, &model("v1", 16)));
    input.endpoints.iter_mut().for_each(|e| e.loading = false);
    assert!(covers(&input, &new));
    assert_eq!(start_step(&mut input, &new, 1.0), 4);
}
