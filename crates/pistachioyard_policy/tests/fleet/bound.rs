//! Tests of the throughput bound against graphs solved by hand.

use std::time::Instant;

use pistachioyard_policy::{throughput_bound, throughput_bound_with_links};
use pistachioyard_wire::{EndpointReport, LayerRange};

use crate::fixture::{QueryInput, endpoint, layers, report, view_of};

fn held(id: &str, range: LayerRange, tokens_per_second: f64) -> EndpointReport {
    let mut report = report(id, range);
    report.tokens_per_second = tokens_per_second;
    report
}

fn bound(fleet: &[EndpointReport]) -> f64 {
    let now = Instant::now();
    let input = QueryInput::new(8);
    throughput_bound(&view_of(fleet, now), &input.model, &input.version, 8, now)
}

#[test]
fn the_bound_matches_graphs_solved_by_hand() {
    assert_eq!(bound(&[held("a", layers(0, 8), 100.5)]), 100.5);
    let two_stages = [
        held("a", layers(0, 4), 100.0),
        held("b", layers(0, 4), 50.0),
        held("c", layers(4, 8), 120.0),
    ];
    assert_eq!(bound(&two_stages), 120.0);
    // The endpoint with all layers adds 100; the two halves add the lesser of 50 and 70.
    let mixed = [
        held("a", layers(0, 8), 100.0),
        held("b", layers(0, 4), 50.0),
        held("c", layers(4, 8), 70.0),
    ];
    assert_eq!(bound(&mixed), 150.0);
    // With overlapping ranges, b continues where a ends, and c only from layer 6 on.
    let overlapping = [
        held("a", layers(0, 5), 100.0),
        held("b", layers(3, 6), 40.0),
        held("c", layers(6, 8), 70.0),
        held("d", layers(4, 8), 10.0),
    ];
    assert_eq!(bound(&overlapping), 50.0);
    assert_eq!(bound(&[held("a", layers(0, 7), 100.0)]), 0.0);
}

#[test]
fn links_and_dead_endpoints_lower_the_bound() {
    let now = Instant::now();
    let fleet = [
        held("a", layers(0, 4), 100.0),
        held("b", layers(4, 8), 60.0),
        held("c", layers(4, 8), 60.0),
    ];
    let mut view = view_of(&fleet, now);
    let input = QueryInput::new(8);
    let (model, version) = (&input.model, &input.version);
    assert_eq!(throughput_bound(&view, model, version, 8, now), 100.0);
    let slow_link = |from: &_, to: &_| {
        let is_slow = *from == endpoint("a") && *to == endpoint("b");
        is_slow.then_some(25.0)
    };
    let limited = throughput_bound_with_links(&view, model, version, 8, now, slow_link);
    assert_eq!(limited, 85.0);
    view.note_unreachable(&endpoint("c"), now);
    assert_eq!(throughput_bound(&view, model, version, 8, now), 60.0);
}
