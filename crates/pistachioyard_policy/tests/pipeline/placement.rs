//! Which layers each card holds.

use pistachioyard_policy::{CardState, first_loads, plan_cards};
use pistachioyard_wire::LayerRange;

use super::fixture::{LAYERS, TOKENS, cards, carry_out, gaps, id, spec};

fn placed() -> Vec<CardState> {
    let spec = spec();
    let mut cards = cards(&spec);
    let moves = plan_cards(&spec, &cards, TOKENS);
    carry_out(&mut cards, &moves);
    cards
}

#[test]
fn every_data_centre_holds_all_layers_and_keeps_room_for_requests() {
    let spec = spec();
    let cards = placed();
    for place in ["a", "b", "c"] {
        assert_eq!(gaps(&cards, place), Vec::<u32>::new(), "{place}");
    }
    for card in &cards {
        let held = card.held.expect("every card is used").len();
        assert!(held <= spec.max_layers(&card.card), "{card:?}");
    }
    // The holders of a layer share the requests, so their room counts together.
    for place in ["a", "b", "c"] {
        for layer in 0..LAYERS {
            let room = room(&cards, place, layer);
            assert!(room >= 0.9 * TOKENS, "layer {layer} of {place}: {room}");
        }
    }
}

/// Returns the tokens of requests that the holders of a layer have room for together.
fn room(cards: &[CardState], place: &str, layer: u32) -> f64 {
    let rooms = holders(cards, place, layer).map(|card| {
        let held = card.held.expect("it holds the layer").len();
        spec().token_layers_beside(&card.card, held) / f64::from(held)
    });
    rooms.sum()
}

fn holders<'a>(
    cards: &'a [CardState],
    place: &'a str,
    layer: u32,
) -> impl Iterator<Item = &'a CardState> {
    cards.iter().filter(move |card| {
        let holds = |held: LayerRange| held.first() <= layer && layer < held.end();
        card.data_centre.as_str() == place && card.held.is_some_and(holds)
    })
}

/// Replays the death of each card in turn: the streams through most of them must find
/// another holder of every layer in their own data centre, so that their paths can be
/// mended without a pipe and without reading all layers again.
#[test]
fn most_cards_are_backed_up_in_their_data_centre() {
    let cards = placed();
    let backed_up = backed_up(&cards);
    assert!(
        backed_up * 2 > cards.len(),
        "{backed_up} of {}",
        cards.len()
    );
}

/// Counts the cards all of whose layers another one of their data centre holds too.
fn backed_up(cards: &[CardState]) -> usize {
    let is_backed_up = |card: &&CardState| {
        let held = card.held.expect("every card is used");
        let place = card.data_centre.as_str();
        (held.first()..held.end()).all(|layer| holders(cards, place, layer).count() > 1)
    };
    cards.iter().filter(is_backed_up).count()
}

/// Replays a larger fleet: where there are cards enough for two copies, none of them
/// gives up room for requests to hold more layers.
#[test]
fn with_cards_for_two_copies_each_keeps_its_room() {
    let spec = spec();
    let mut cards = Vec::new();
    for copy in 0..3 {
        let mut more = super::fixture::cards(&spec);
        for card in &mut more {
            card.endpoint = id(&format!("{}-{copy}", card.endpoint));
        }
        cards.extend(more);
    }
    let moves = plan_cards(&spec, &cards, TOKENS);
    carry_out(&mut cards, &moves);
    for card in &cards {
        let held = card.held.expect("every card is used").len();
        let room = spec.token_layers_beside(&card.card, held);
        assert!(room >= TOKENS * f64::from(held), "{card:?} keeps {room}");
    }
    assert_eq!(backed_up(&cards), cards.len());
}

/// Replays the loss of all workers at once: loads that run together slow each other, so
/// one data centre has to serve again long before all do.
#[test]
fn after_a_loss_of_all_cards_one_data_centre_is_whole_first() {
    let spec = spec();
    let mut cards = cards(&spec);
    let mut loads_until_first = 0;
    let mut loads = 0;
    loop {
        let moves = plan_cards(&spec, &cards, TOKENS);
        let now = first_loads(&spec, &cards, moves);
        if now.is_empty() {
            break;
        }
        assert!(now.len() <= spec.loads_at_once as usize);
        loads += now.len();
        carry_out(&mut cards, &now);
        let is_whole = |place: &&str| gaps(&cards, place).is_empty();
        if loads_until_first == 0 && ["a", "b", "c"].iter().any(is_whole) {
            loads_until_first = loads;
        }
    }
    for place in ["a", "b", "c"] {
        assert_eq!(gaps(&cards, place), Vec::<u32>::new(), "{place}");
    }
    // Two turns of loads more than the fewest cards that hold all layers.
    assert!(
        loads_until_first <= 9 + 2 * 6,
        "{loads_until_first} of {loads}"
    );
    assert!(loads >= cards.len());
}

#[test]
fn loads_in_progress_are_counted_and_few_loads_are_not_held_back() {
    let spec = spec();
    let mut cards = placed();
    cards[0].held = None;
    let moves = plan_cards(&spec, &cards, TOKENS);
    assert!(!moves.is_empty());
    assert_eq!(first_loads(&spec, &cards, moves.clone()), moves);
    let busy = cards.iter_mut().rev().take(spec.loads_at_once as usize);
    busy.for_each(|card| card.is_loading = true);
    assert_eq!(first_loads(&spec, &cards, moves), Vec::new());
}

/// Replays a worker that died and came back empty: as many cards are backed up as
/// before, and no layer is left with the room of half a pair.
#[test]
fn a_card_that_comes_back_empty_backs_up_as_many_as_before() {
    let spec = spec();
    let before = backed_up(&placed());
    for at in 0..placed().len() {
        let mut cards = placed();
        let place = cards[at].data_centre.as_str().to_owned();
        cards[at].held = None;
        let moves = plan_cards(&spec, &cards, TOKENS);
        carry_out(&mut cards, &moves);
        let after = backed_up(&cards);
        assert!(after >= before, "{}: {after}", cards[at].endpoint);
        for layer in 0..LAYERS {
            let room = room(&cards, &place, layer);
            assert!(room >= 0.9 * TOKENS, "layer {layer} of {place}: {room}");
        }
    }
}

/// Replays the loss of any single card under load: the gap is closed by the cards that
/// are left, and no order exceeds a card.
#[test]
fn the_loss_of_any_card_is_made_up_for_in_its_data_centre() {
    let spec = spec();
    for lost in 0..placed().len() {
        let mut cards = placed();
        let gone = cards.remove(lost);
        let moves = plan_cards(&spec, &cards, TOKENS);
        for order in &moves {
            let card = cards.iter().find(|card| card.endpoint == order.endpoint);
            let card = card.expect("orders go to known cards");
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
        carry_out(&mut cards, &moves);
        let place = gone.data_centre.as_str();
        assert_eq!(
            gaps(&cards, place),
            Vec::<u32>::new(),
            "after {}",
            gone.endpoint
        );
    }
}

/// Replays a start at which the cards register one after the other: those that came
/// first must not be crammed, so the rest of the layers fit later.
#[test]
fn cards_that_join_take_what_is_missing() {
    let spec = spec();
    let all = cards(&spec);
    let (first, rest) = all.split_at(25);
    let mut known = first.to_vec();
    let moves = plan_cards(&spec, &known, TOKENS);
    carry_out(&mut known, &moves);
    known.extend(rest.iter().cloned());
    for _ in 0..3 {
        let moves = plan_cards(&spec, &known, TOKENS);
        carry_out(&mut known, &moves);
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
    let moves = plan_cards(&spec, &cards, 1_000.0);
    carry_out(&mut cards, &moves);
    let held = |layer: u32| {
        cards
            .iter()
            .filter_map(|c| c.held)
            .any(|r| r.first() <= layer && layer < r.end())
    };
    assert!((0..LAYERS).all(held));
}
