//! Which layers each card holds.

use pistachioyard_policy::{CardState, plan_cards};

use super::fixture::{LAYERS, TOKENS, cards, carry_out, gaps, spec};

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
        let room = spec.token_layers_beside(&card.card, held);
        assert!(
            room >= 0.9 * TOKENS * f64::from(held),
            "{card:?} keeps {room}"
        );
    }
}

#[test]
fn a_placement_that_holds_is_left_alone() {
    assert_eq!(plan_cards(&spec(), &placed(), TOKENS), Vec::new());
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
