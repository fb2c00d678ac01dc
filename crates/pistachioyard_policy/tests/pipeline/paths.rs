//! Which path a request takes.

use std::collections::BTreeMap;

use pistachioyard_policy::{
    LoadBook, NoPath, Path, PathQuery, StageOffer, choose_path, crossing_ms,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::fixture::{LAYERS, SIZE, TOKENS, data_centre, placed_offers, spec};

fn choose(offers: &[StageOffer], crossing: bool, seed: u64) -> Result<Path, NoPath> {
    let spec = spec();
    let home = data_centre("a");
    let query = PathQuery {
        size: SIZE,
        home: &home,
        crossing_ms: crossing.then(|| crossing_ms(&spec)),
        first: None,
    };
    choose_path(&spec, offers, &query, &mut ChaCha8Rng::seed_from_u64(seed))
}

/// Every layer once and in order, each endpoint once and within what it holds.
fn check(path: &Path, offers: &[StageOffer]) {
    let mut next = 0;
    for stage in &path.stages {
        assert_eq!(stage.layers.first(), next);
        next = stage.layers.end();
        let offer = offers
            .iter()
            .find(|o| o.endpoint == stage.endpoint)
            .expect("it is offered");
        assert!(offer.layers.covers(stage.layers));
        assert_eq!(
            path.stages
                .iter()
                .filter(|s| s.endpoint == stage.endpoint)
                .count(),
            1
        );
    }
    assert_eq!(next, LAYERS);
    assert!(path.stages.len() <= 32);
}

#[test]
fn a_path_runs_every_layer_once_and_stays_in_one_data_centre_if_it_can() {
    let offers = placed_offers();
    for seed in 0..50 {
        let path = choose(&offers, true, seed).expect("there is a path");
        check(&path, &offers);
        assert_eq!(path.crossings, 0);
    }
}

/// Replays gaps in every data centre at once.
#[test]
fn gaps_everywhere_are_crossed_while_the_pipes_have_room() {
    let mut offers = placed_offers();
    for (place, layer) in [("a", 75), ("b", 40), ("c", 50)] {
        offers.retain(|o| {
            let holds = o.layers.first() <= layer && layer < o.layers.end();
            o.data_centre.as_str() != place || !holds
        });
    }
    let path = choose(&offers, true, 1).expect("there is a path over the pipes");
    check(&path, &offers);
    assert!(path.crossings >= 1);
    assert_eq!(choose(&offers, false, 1), Err(NoPath::NoCrossing));
}

#[test]
fn a_layer_that_nobody_holds_is_named() {
    let mut offers = placed_offers();
    offers.retain(|o| o.layers.end() <= 20 || o.layers.first() > 20);
    assert!(matches!(choose(&offers, true, 1), Err(NoPath::Gap { layer }) if layer <= 20));
}

/// Replays requests that arrive faster than they end: the memory of no card is given
/// out twice, the data centres share the load, and the first request that finds no
/// memory is told so.
#[test]
fn requests_spread_until_the_memory_is_used_and_then_find_no_room() {
    let spec = spec();
    let mut book = LoadBook::default();
    let mut heads: BTreeMap<String, u32> = BTreeMap::new();
    let mut taken = 0;
    loop {
        let mut offers = placed_offers();
        for offer in &mut offers {
            offer.requests = book.requests(&offer.endpoint);
            offer.token_layers = book.token_layers(&offer.endpoint);
            let room = spec.token_layers_beside(&offer.card, offer.layers.len());
            assert!(offer.token_layers <= room, "{offer:?}");
        }
        match choose(&offers, false, taken) {
            Ok(path) => {
                check(&path, &offers);
                let head = path.stages[0].endpoint.as_str();
                *heads.entry(head[..1].to_owned()).or_default() += 1;
                book.begin(&path.stages, SIZE);
                taken += 1;
            }
            Err(no_path) => {
                assert!(matches!(
                    no_path,
                    NoPath::NoRoom { .. } | NoPath::NoCrossing
                ));
                break;
            }
        }
    }
    // Each data centre keeps room for about 100,000 tokens, 85 in 100 of it given out.
    let each = TOKENS * 0.85 / SIZE.resident();
    assert!(taken as f64 >= 3.0 * each * 0.9, "{taken} taken");
    assert!(
        heads.values().all(|count| f64::from(*count) >= each * 0.7),
        "{heads:?}"
    );
}

#[test]
fn an_endpoint_that_has_turned_slow_is_passed_by() {
    let mut offers = placed_offers();
    let slow = offers
        .iter()
        .position(|o| o.data_centre.as_str() == "a")
        .expect("there is one");
    offers[slow].slowdown = 12.0;
    let slow = offers[slow].endpoint.clone();
    for seed in 0..20 {
        let path = choose(&offers, true, seed).expect("there is a path");
        assert!(path.stages.iter().all(|stage| stage.endpoint != slow));
    }
}

#[test]
fn what_was_counted_is_taken_back() {
    let offers = placed_offers();
    let path = choose(&offers, true, 1).expect("there is a path");
    let mut book = LoadBook::default();
    book.begin(&path.stages, SIZE);
    book.end(&path.stages, SIZE);
    for stage in &path.stages {
        assert_eq!(book.requests(&stage.endpoint), 0);
        assert!(book.token_layers(&stage.endpoint).abs() < 1e-6);
    }
}
