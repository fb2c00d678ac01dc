//! Tests the placement of layers on cards.

use pistachioyard_policy::{CardState, PipelineSpec, loads_to_start, plan_moves};
use pistachioyard_wire::LayerRange;

use super::fixture::{LAYERS, RESERVED_TOKENS, apply_moves, cards, gaps, id, spec};

fn placed() -> Vec<CardState> {
    let spec = spec();
    let mut cards = cards(&spec);
    let moves = plan_moves(&spec, &cards, RESERVED_TOKENS);
    apply_moves(&mut cards, &moves);
    cards
}

#[test]
fn every_data_centre_holds_all_layers_and_keeps_room_for_requests() {
    let spec = spec();
    let cards = placed();
    for dc in ["a", "b", "c"] {
        assert_eq!(gaps(&cards, dc), Vec::<u32>::new(), "{dc}");
    }
    for card in &cards {
        let held = card.held.expect("every card is used").len();
        assert!(held <= spec.max_layers(&card.card), "{card:?}");
    }
    // The holders of a layer share the requests, so their capacity is added up.
    for dc in ["a", "b", "c"] {
        for layer in 0..LAYERS {
            let capacity = token_capacity(&cards, dc, layer);
            assert!(
                capacity >= 0.9 * RESERVED_TOKENS,
                "layer {layer} of {dc}: {capacity}"
            );
        }
    }
}

/// Returns the request tokens for which the holders of a layer have memory together.
fn token_capacity(cards: &[CardState], dc: &str, layer: u32) -> f64 {
    let capacities = holders(cards, dc, layer).map(|card| {
        let held = card.held.expect("the card holds the layer").len();
        spec().token_layer_capacity(&card.card, held) / f64::from(held)
    });
    capacities.sum()
}

fn holders<'a>(
    cards: &'a [CardState],
    dc: &'a str,
    layer: u32,
) -> impl Iterator<Item = &'a CardState> {
    cards.iter().filter(move |card| {
        let holds = |held: LayerRange| held.first() <= layer && layer < held.end();
        card.data_centre.as_str() == dc && card.held.is_some_and(holds)
    })
}

#[test]
fn the_time_of_a_load_is_bounded() {
    let load_time = |load_ms: f64, layers: u32| {
        let spec = PipelineSpec { load_ms, ..spec() };
        spec.load_time(layers).as_secs_f64()
    };
    assert_eq!(load_time(8_000.0, LAYERS / 2), 4.0);
    for load_ms in [-1.0, f64::MIN, f64::NEG_INFINITY, f64::NAN] {
        assert_eq!(load_time(load_ms, LAYERS), 0.0, "{load_ms}");
    }
    for load_ms in [1e300, f64::MAX, f64::INFINITY] {
        assert_eq!(load_time(load_ms, 1), 3_600.0, "{load_ms}");
    }
}

/// When a card fails, its streams need another holder of every layer in their own data centre.
/// Otherwise their paths can only be repaired over links between data centres, or all layers
/// have to prefill the prompt again. Most cards must be redundant in this sense.
#[test]
fn most_cards_are_redundant_in_their_data_centre() {
    let cards = placed();
    let redundant = count_redundant(&cards);
    assert!(
        redundant * 2 > cards.len(),
        "{redundant} of {}",
        cards.len()
    );
}

/// Counts the cards whose layers all have another holder in their data centre.
fn count_redundant(cards: &[CardState]) -> usize {
    let is_redundant = |card: &&CardState| {
        let held = card.held.expect("every card is used");
        let dc = card.data_centre.as_str();
        (held.first()..held.end()).all(|layer| holders(cards, dc, layer).count() > 1)
    };
    cards.iter().filter(is_redundant).count()
}

/// A larger fleet has enough cards for two copies of all layers. No card may give up memory
/// for requests to hold more layers.
#[test]
fn with_cards_for_two_copies_each_keeps_memory_for_all_requests() {
    let spec = spec();
    let mut cards = Vec::new();
    for copy in 0..3 {
        let mut copies = super::fixture::cards(&spec);
        for card in &mut copies {
            card.endpoint = id(&format!("{}-{copy}", card.endpoint));
        }
        cards.extend(copies);
    }
    let moves = plan_moves(&spec, &cards, RESERVED_TOKENS);
    apply_moves(&mut cards, &moves);
    for card in &cards {
        let held = card.held.expect("every card is used").len();
        let capacity = spec.token_layer_capacity(&card.card, held);
        assert!(
            capacity >= RESERVED_TOKENS * f64::from(held),
            "{card:?} has memory for {capacity} token-layers"
        );
    }
    assert_eq!(count_redundant(&cards), cards.len());
}

/// All cards are lost at once. Loads that run together slow each other down, so one data
/// centre has to serve again long before all do.
#[test]
fn after_the_loss_of_all_cards_one_data_centre_is_complete_first() {
    let spec = spec();
    let mut cards = cards(&spec);
    let mut loads_until_first = 0;
    let mut loads = 0;
    loop {
        let moves = plan_moves(&spec, &cards, RESERVED_TOKENS);
        let started = loads_to_start(&spec, &cards, moves);
        if started.is_empty() {
            break;
        }
        assert!(started.len() <= spec.loads_at_once as usize);
        loads += started.len();
        apply_moves(&mut cards, &started);
        let is_complete = |dc: &&str| gaps(&cards, dc).is_empty();
        if loads_until_first == 0 && ["a", "b", "c"].iter().any(is_complete) {
            loads_until_first = loads;
        }
    }
    for dc in ["a", "b", "c"] {
        assert_eq!(gaps(&cards, dc), Vec::<u32>::new(), "{dc}");
    }
    // The bound is the fewest cards that hold all layers plus two rounds of loads.
    assert!(
        loads_until_first <= 9 + 2 * 6,
        "{loads_until_first} of {loads}"
    );
    assert!(loads >= cards.len());
}

#[test]
fn loads_in_progress_count_against_the_limit_and_few_loads_are_not_delayed() {
    let spec = spec();
    let mut cards = placed();
    cards[0].held = None;
    let moves = plan_moves(&spec, &cards, RESERVED_TOKENS);
    assert!(!moves.is_empty());
    assert_eq!(loads_to_start(&spec, &cards, moves.clone()), moves);
    let busy = cards.iter_mut().rev().take(spec.loads_at_once as usize);
    busy.for_each(|card| card.is_loading = true);
    assert_eq!(loads_to_start(&spec, &cards, moves), Vec::new());
}

/// A card failed and came back empty. As many cards as before must be redundant, and no
/// layer may be left with only the memory of one card of a pair.
#[test]
fn a_card_that_comes_back_empty_restores_the_redundancy() {
    let spec = spec();
    let before = count_redundant(&placed());
    for at in 0..placed().len() {
        let mut cards = placed();
        let dc = cards[at].data_centre.as_str().to_owned();
        cards[at].held = None;
        let moves = plan_moves(&spec, &cards, RESERVED_TOKENS);
        apply_moves(&mut cards, &moves);
        let after = count_redundant(&cards);
        assert!(after >= before, "{}: {after}", cards[at].endpoint);
        for layer in 0..LAYERS {
            let capacity = token_capacity(&cards, &dc, layer);
            assert!(
                capacity >= 0.9 * RESERVED_TOKENS,
                "layer {layer} of {dc}: {capacity}"
            );
        }
    }
}

/// A single card is lost under load. The remaining cards of its data centre must close the gap
/// with few orders, and no order may exceed the capacity of a card.
#[test]
fn the_remaining_cards_of_a_data_centre_close_the_gap_of_a_lost_card() {
    let spec = spec();
    for lost in 0..placed().len() {
        let mut cards = placed();
        let gone = cards.remove(lost);
        let moves = plan_moves(&spec, &cards, RESERVED_TOKENS);
        for order in &moves {
            let card = cards.iter().find(|card| card.endpoint == order.endpoint);
            let card = card.expect("an order names a known card");
            assert!(
                order.layers.len() <= spec.max_layers(&card.card),
                "{order:?}"
            );
        }
        assert!(
            moves.len() <= 3,
            "{} moves for {}",
            moves.len(),
            gone.endpoint
        );
        apply_moves(&mut cards, &moves);
        let dc = gone.data_centre.as_str();
        assert_eq!(
            gaps(&cards, dc),
            Vec::<u32>::new(),
            "after {}",
            gone.endpoint
        );
    }
}

/// The cards register one after the other during a start. The first ones must not be
/// overfilled, so that the cards that join later can hold the remaining layers.
#[test]
fn cards_that_join_take_the_missing_layers() {
    let spec = spec();
    let all = cards(&spec);
    let (first, rest) = all.split_at(25);
    let mut known = first.to_vec();
    let moves = plan_moves(&spec, &known, RESERVED_TOKENS);
    apply_moves(&mut known, &moves);
    known.extend(rest.iter().cloned());
    for _ in 0..3 {
        let moves = plan_moves(&spec, &known, RESERVED_TOKENS);
        apply_moves(&mut known, &moves);
    }
    assert_eq!(gaps(&known, "c"), Vec::<u32>::new());
}

#[test]
fn data_centres_that_cannot_hold_all_layers_hold_them_together() {
    let spec = spec();
    let mut cards: Vec<_> = cards(&spec)
        .into_iter()
        .filter(|card| card.endpoint.as_str().contains("small"))
        .collect();
    let moves = plan_moves(&spec, &cards, 1_000.0);
    apply_moves(&mut cards, &moves);
    let held = |layer: u32| {
        cards
            .iter()
            .filter_map(|c| c.held)
            .any(|r| r.first() <= layer && layer < r.end())
    };
    assert!((0..LAYERS).all(held));
}
