//! Tests of the placement of layer ranges.

use std::time::Instant;

use pistachioyard_policy::{
    HeldLayers, LoadPacer, PlacementEndpoint, PlacementInput, PlacementModel, plan_placement,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fixture::{data_centre, endpoint, layers, millis};

pub(crate) fn model(version: &str, layer_count: u32) -> PlacementModel {
    PlacementModel {
        name: "m".parse().unwrap(),
        version: version.parse().unwrap(),
        layers: layer_count,
        weight: 1.0,
        adapters: Vec::new(),
    }
}

pub(crate) fn holding(i: usize, capacity: u32, first: Option<u32>) -> PlacementEndpoint {
    PlacementEndpoint {
        id: endpoint(&format!("e{i}")),
        layer_tokens_per_second: 400.0,
        layer_capacity: capacity,
        data_centre: data_centre("split-a"),
        current: first.map(|first| HeldLayers {
            model: "m".parse().unwrap(),
            version: "v1".parse().unwrap(),
            layers: layers(first, first + capacity),
        }),
        usable: true,
        loading: false,
    }
}

/// Returns the number of ready endpoints that hold each layer of a version.
pub(crate) fn holders(input: &PlacementInput, target: &PlacementModel) -> Vec<usize> {
    let holds = |layer: u32, endpoint: &PlacementEndpoint| {
        endpoint.usable
            && !endpoint.loading
            && endpoint.current.as_ref().is_some_and(|held| {
                held.version == target.version
                    && held.layers.first() <= layer
                    && layer < held.layers.end()
            })
    };
    (0..target.layers)
        .map(|layer| input.endpoints.iter().filter(|e| holds(layer, e)).count())
        .collect()
}

/// Applies the placement and returns the number of changes.
fn apply_placement(input: &mut PlacementInput) -> usize {
    let changes = plan_placement(input);
    for change in &changes {
        let found = input.endpoints.iter_mut().find(|e| e.id == change.endpoint);
        let endpoint = found.unwrap();
        assert!(endpoint.usable && change.hold.layers.len() <= endpoint.layer_capacity);
        endpoint.current = Some(change.hold.clone());
    }
    changes.len()
}

fn covered(input: &PlacementInput) -> bool {
    holders(input, &input.models[0])
        .iter()
        .all(|count| *count > 0)
}

/// Returns twelve endpoints, three for each quarter of sixteen layers.
fn quarters() -> PlacementInput {
    PlacementInput {
        endpoints: (0..12)
            .map(|i| holding(i, 4, Some(4 * (i as u32 % 4))))
            .collect(),
        models: vec![model("v1", 16)],
    }
}

#[test]
fn an_even_placement_is_left_alone() {
    assert_eq!(plan_placement(&quarters()), []);
}

#[test]
fn a_loss_is_repaired_with_few_moves() {
    let mut input = quarters();
    for lost in [1, 5, 9] {
        input.endpoints[lost].usable = false;
    }
    assert!(!covered(&input));
    // One endpoint can hold the four lost layers; two more may move to rebalance.
    assert!(apply_placement(&mut input) <= 3);
    assert!(covered(&input));
    let settles = (0..4).any(|_| apply_placement(&mut input) == 0);
    assert!(settles, "placement keeps moving endpoints");
    let counts = holders(&input, &input.models[0]);
    // An even spread of nine endpoints over four quarters has at least two in each.
    assert!(counts.iter().all(|count| *count >= 2), "{counts:?}");
}

#[test]
fn a_loading_endpoint_is_not_placed_again() {
    let mut input = quarters();
    for lost in [1, 5] {
        input.endpoints[lost].usable = false;
    }
    input.endpoints[9].loading = true;
    let moved: Vec<_> = plan_placement(&input)
        .into_iter()
        .map(|c| c.endpoint)
        .collect();
    assert!(!moved.contains(&endpoint("e9")));
    assert!(moved.len() <= 2, "{moved:?}");
}

#[test]
fn random_empty_fleets_are_covered_where_they_suffice() {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    for _ in 0..100 {
        let mut endpoints: Vec<_> = (0..rng.random_range(1..12))
            .map(|i| holding(i, rng.random_range(1..9), None))
            .collect();
        for endpoint in &mut endpoints {
            endpoint.layer_tokens_per_second = rng.random_range(50.0..900.0);
        }
        let held: u32 = endpoints.iter().map(|e| e.layer_capacity).sum();
        let models = vec![model("v1", 16)];
        let mut input = PlacementInput { endpoints, models };
        apply_placement(&mut input);
        assert_eq!(covered(&input), held >= 16, "{held} layers fit");
    }
}

#[test]
fn weight_loads_keep_their_rate_from_the_start() {
    let start = Instant::now();
    let mut pacer = LoadPacer::new(2.0, 3, start);
    assert!(!pacer.try_take(start));
    assert_eq!(pacer.wait(start), millis(500));
    let taken = (1..=100)
        .filter(|tick| pacer.try_take(start + millis(100 * tick)))
        .count();
    assert_eq!(taken, 20);
}

/// Returns a fleet of three kinds of accelerators, each spread evenly.
fn deployment() -> PlacementInput {
    // The stages, the replicas of each stage, and the tokens per second of a replica.
    let kinds = [(2_u32, 4, 545.0), (3, 6, 363.0), (4, 4, 174.0)];
    let mut endpoints = Vec::new();
    for (stages, replicas, rate) in kinds {
        let width = 48 / stages;
        for place in 0..stages * replicas {
            let mut endpoint = holding(endpoints.len(), width, Some(place % stages * width));
            endpoint.layer_tokens_per_second = rate * f64::from(width);
            endpoints.push(endpoint);
        }
    }
    PlacementInput {
        endpoints,
        models: vec![model("v1", 48)],
    }
}

#[test]
fn losing_one_endpoint_and_its_return_cost_at_most_one_move_each() {
    assert_eq!(plan_placement(&deployment()), []);
    for lost in 0..deployment().endpoints.len() {
        let mut input = deployment();
        input.endpoints[lost].usable = false;
        let moved: usize = (0..3).map(|_| apply_placement(&mut input)).sum();
        assert_eq!(plan_placement(&input), [], "after losing endpoint {lost}");
        input.endpoints[lost].usable = true;
        let returned: usize = (0..3).map(|_| apply_placement(&mut input)).sum();
        assert_eq!(
            plan_placement(&input),
            [],
            "after the return of endpoint {lost}"
        );
        assert!(
            moved <= 1 && returned <= 1,
            "endpoint {lost}: {moved} moves after its loss, {returned} after its return"
        );
    }
}
