//! Tests of chain selection.

use std::collections::BTreeMap;
use std::time::Instant;

use pistachioyard_policy::{
    Chain, ChoicePolicy, FleetView, NoChain, PrefixIndex, choose_chain, choose_chain_by, free_slots,
};
use pistachioyard_wire::{EndpointReport, HostState};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fixture::{QueryInput, endpoint, host, layers, millis, report, view_of};

const POLICIES: [ChoicePolicy; 4] = [
    ChoicePolicy::Cost,
    ChoicePolicy::LeastReported,
    ChoicePolicy::Random,
    ChoicePolicy::RoundRobin,
];

fn choose(view: &FleetView, input: &QueryInput, now: Instant, seed: u64) -> Result<Chain, NoChain> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    choose_chain(view, &PrefixIndex::new(), &input.query(), now, &mut rng)
}

fn ids(chain: &Chain) -> Vec<String> {
    let endpoints = chain.stages.iter().map(|stage| stage.endpoint.to_string());
    endpoints.collect()
}

/// Asserts that the stages run each layer once, in order, on distinct endpoints.
fn assert_whole(chain: &Chain, view: &FleetView, input: &QueryInput) {
    let mut next_layer = 0;
    let mut seen = Vec::new();
    for stage in chain.stages.iter() {
        assert_eq!(stage.layers.first(), next_layer, "{:?}", chain.stages);
        next_layer = stage.layers.end();
        let known = view.get(&stage.endpoint).unwrap();
        assert!(known.report().unwrap().layers.unwrap().covers(stage.layers));
        assert!(!input.exclude.contains(&stage.endpoint));
        assert!(!seen.contains(&&stage.endpoint), "{:?}", chain.stages);
        seen.push(&stage.endpoint);
    }
    assert_eq!(next_layer, input.layers);
}

fn random_fleet(rng: &mut ChaCha8Rng, layer_count: u32) -> Vec<EndpointReport> {
    let count = rng.random_range(1..24);
    let random_report = |i| {
        let first = rng.random_range(0..layer_count);
        let end = rng.random_range(first + 1..=layer_count);
        let mut report = report(&format!("e{i}"), layers(first, end));
        report.running = rng.random_range(0..20);
        report.step_ms = rng.random_range(1.0..40.0);
        report
    };
    (0..count).map(random_report).collect()
}

/// Returns whether the usable, allowed endpoints hold every layer, by brute force.
fn can_cover(view: &FleetView, input: &QueryInput, now: Instant) -> bool {
    (0..input.layers).all(|layer| {
        view.endpoints().any(|e| {
            let held = e.report().and_then(|r| r.layers).unwrap();
            let holds = held.first() <= layer && layer < held.end();
            holds && e.is_usable(now) && !input.exclude.contains(e.id())
        })
    })
}

#[test]
fn chains_cover_every_layer_once_in_order_over_random_fleets() {
    let now = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut found = 0;
    for round in 0..2_000 {
        let layer_count = rng.random_range(1..12);
        let fleet = random_fleet(&mut rng, layer_count);
        let mut view = view_of(&fleet, now);
        let mut input = QueryInput::new(layer_count);
        for held in &fleet {
            match rng.random_range(0..10) {
                0 => drop(input.exclude.insert(held.endpoint.clone())),
                1 => view.note_unreachable(&held.endpoint, now + millis(1)),
                2..5 => input
                    .keep
                    .push((held.endpoint.clone(), held.layers.unwrap())),
                _ => {}
            }
        }
        for policy in POLICIES {
            let prefixes = PrefixIndex::new();
            let later = now + millis(2);
            let query = input.query();
            let chain = choose_chain_by(policy, &view, &prefixes, &query, later, &mut rng);
            assert_eq!(
                chain.is_ok(),
                can_cover(&view, &input, later),
                "round {round}"
            );
            if let Ok(chain) = chain {
                assert_whole(&chain, &view, &input);
                found += 1;
            }
        }
    }
    assert!(
        found > 1_000,
        "expected more than 1000 chains, found {found}"
    );
}

#[test]
fn leaving_dead_and_loading_endpoints_get_no_new_work() {
    let now = Instant::now();
    let mut loading = report("loading", layers(0, 8));
    loading.loading = true;
    let mut other_version = report("other-version", layers(0, 8));
    other_version.version = Some("v2".parse().unwrap());
    let fleet = [
        report("dead", layers(0, 8)),
        report("leaving", layers(0, 8)),
        loading,
        other_version,
        report("slow", layers(0, 8)),
    ];
    let mut view = view_of(&fleet, now);
    let mut hosts: Vec<_> = fleet
        .iter()
        .map(|r| host(r.endpoint.as_str(), "split-a"))
        .collect();
    hosts[1].state = HostState::Leaving;
    view.apply_hosts(&hosts, now);
    view.note_unreachable(&endpoint("dead"), now);
    view.note_suspect(&endpoint("slow"), now);
    let mut input = QueryInput::new(8);
    for seed in 0..20 {
        assert_eq!(ids(&choose(&view, &input, now, seed).unwrap()), ["slow"]);
    }
    input.exclude.insert(endpoint("slow"));
    assert_eq!(choose(&view, &input, now, 0), Err(NoChain::AllExcluded));
    view.note_unreachable(&endpoint("slow"), now);
    assert_eq!(choose(&view, &input, now, 0), Err(NoChain::NotCovered));
}

#[test]
fn entries_with_the_same_stale_view_do_not_herd() {
    const ENTRIES: u32 = 4;
    const ROUNDS: u32 = 200;
    const ENDPOINTS_PER_STAGE: u32 = 10;
    let now = Instant::now();
    let fleet: Vec<_> = (0..2 * ENDPOINTS_PER_STAGE)
        .map(|i| {
            let first = if i < ENDPOINTS_PER_STAGE { 0 } else { 4 };
            report(&format!("e{i}"), layers(first, first + 4))
        })
        .collect();
    let view = view_of(&fleet, now);
    let input = QueryInput::new(8);
    let mut picks: BTreeMap<String, u32> = BTreeMap::new();
    for seed in 0..u64::from(ENTRIES * ROUNDS) {
        for id in ids(&choose(&view, &input, now, seed).unwrap()) {
            *picks.entry(id).or_default() += 1;
        }
    }
    // With uniform draws, an endpoint's count is binomial. None of twenty endpoints
    // plausibly exceeds the mean by five standard deviations.
    let draws = f64::from(ENTRIES * ROUNDS);
    let share = 1.0 / f64::from(ENDPOINTS_PER_STAGE);
    let most = draws * share + 5.0 * (draws * share * (1.0 - share)).sqrt();
    for (id, count) in picks {
        assert!(f64::from(count) <= most, "{id} got {count} of {draws}");
    }
}

#[test]
fn kept_stages_stay_and_only_the_lost_one_is_replaced() {
    let now = Instant::now();
    let mut busy = report("second", layers(4, 8));
    busy.running = 8;
    let mut long = report("long", layers(0, 12));
    // Its step takes six times as long as that of the idle endpoint.
    long.step_ms = 60.0;
    let fleet = [
        report("first", layers(0, 4)),
        report("idle", layers(4, 8)),
        long,
        report("third", layers(8, 12)),
        busy,
    ];
    let mut view = view_of(&fleet, now);
    let mut input = QueryInput::new(12);
    input.keep = vec![
        (endpoint("first"), layers(0, 4)),
        (endpoint("second"), layers(4, 8)),
        (endpoint("third"), layers(8, 12)),
    ];
    for seed in 0..20 {
        let chain = choose(&view, &input, now, seed).unwrap();
        assert_eq!(ids(&chain), ["first", "second", "third"]);
    }
    view.note_unreachable(&endpoint("second"), now);
    let chain = choose(&view, &input, now, 1).unwrap();
    assert_eq!(ids(&chain), ["first", "idle", "third"]);
    // An endpoint that holds more layers can also take over; it stops where the next
    // kept stage starts.
    input.exclude.insert(endpoint("idle"));
    let chain = choose(&view, &input, now, 1).unwrap();
    assert_eq!(ids(&chain), ["first", "long", "third"]);
    assert_eq!(chain.stages[1].layers, layers(4, 8));
}

#[test]
fn a_degraded_link_is_avoided_for_a_while() {
    let now = Instant::now();
    let mut slow = report("spare", layers(4, 8));
    slow.step_ms = 100.0;
    let fleet = [report("a", layers(0, 4)), report("b", layers(4, 8)), slow];
    let mut view = view_of(&fleet, now);
    let mut input = QueryInput::new(8);
    input.keep = vec![(endpoint("a"), layers(0, 4)), (endpoint("b"), layers(4, 8))];
    view.set_degraded_link(&endpoint("a"), &endpoint("b"), now);
    let second = |at| ids(&choose(&view, &input, at, 1).unwrap())[1].clone();
    assert_eq!(second(now + millis(9_999)), "spare");
    assert_eq!(second(now + millis(10_000)), "b");
}

#[test]
fn free_slots_are_those_of_the_layer_with_the_fewest() {
    let now = Instant::now();
    let mut busy = report("b", layers(2, 8));
    busy.running = 5;
    let fleet = [report("a", layers(0, 4)), busy];
    let view = view_of(&fleet, now);
    let input = QueryInput::new(8);
    assert_eq!(free_slots(&view, &input.query(), now), 3);
    assert_eq!(free_slots(&view, &QueryInput::new(9).query(), now), 0);
    assert!(choose(&view, &input, now, 1).unwrap().has_free_slots);
}

#[test]
fn a_chain_with_free_slots_goes_before_a_faster_full_one() {
    let now = Instant::now();
    let mut fast = report("fast", layers(0, 8));
    fast.step_ms = 0.1;
    fast.running = fast.slots;
    let mut slow = report("slow", layers(0, 8));
    slow.step_ms = 100.0;
    let mut view = view_of(&[fast.clone(), slow.clone()], now);
    let input = QueryInput::new(8);
    let chain = choose(&view, &input, now, 1).unwrap();
    assert_eq!(
        (ids(&chain), chain.has_free_slots),
        (vec!["slow".to_owned()], true)
    );
    slow.running = slow.slots;
    view.apply_report(slow, now + millis(1));
    let chain = choose(&view, &input, now + millis(1), 1).unwrap();
    assert_eq!(
        (ids(&chain), chain.has_free_slots),
        (vec!["fast".to_owned()], false)
    );
}

#[test]
fn an_endpoint_takes_only_the_streams_that_it_can_step_within_the_token_gap() {
    let now = Instant::now();
    let view = view_of(&[report("a", layers(0, 8))], now);
    let input = QueryInput::new(8);
    let free = |gap_ms| {
        let mut query = input.query();
        query.token_gap = Some(millis(gap_ms));
        free_slots(&view, &query, now)
    };
    assert_eq!(free(50), 5);
    assert_eq!(free(1), 1);
    assert_eq!(free(1_000), 8);
}

#[test]
fn round_robin_takes_turns_though_streams_end_at_once() {
    let now = Instant::now();
    let fleet = ["a", "b", "c"].map(|id| report(id, layers(0, 8)));
    let mut view = view_of(&fleet, now);
    let input = QueryInput::new(8);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut picks: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..9 {
        let (policy, prefixes) = (ChoicePolicy::RoundRobin, PrefixIndex::new());
        let query = input.query();
        let chain = choose_chain_by(policy, &view, &prefixes, &query, now, &mut rng).unwrap();
        view.begin_stream(&chain.stages, now);
        view.end_stream(&chain.stages, now);
        *picks
            .entry(chain.stages[0].endpoint.to_string())
            .or_default() += 1;
    }
    assert!(picks.values().all(|count| *count == 3), "{picks:?}");
    assert_eq!(picks.len(), 3);
}
