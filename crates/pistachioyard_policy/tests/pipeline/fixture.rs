//! A model of 80 layers on cards of three kinds in three data centres.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use pistachioyard_policy::{
    Card, CardState, EndpointRecord, EndpointReport, LayerMove, PipelineSpec, RequestSize,
    StageOffer, plan_cards,
};
use pistachioyard_wire::{DataCentre, EndpointId, LayerRange};

pub(crate) const LAYERS: u32 = 80;
/// Tokens of requests that each card keeps room for.
pub(crate) const TOKENS: f64 = 100_000.0;

pub(crate) fn spec() -> PipelineSpec {
    let card = |memory_mb, step_factor, read_factor| Card {
        memory_mb,
        step_factor,
        read_factor,
    };
    let cards = [
        ("fast", card(36_000.0, 3.0, 3.0)),
        ("middle", card(21_600.0, 16.0, 8.0)),
        ("small", card(14_400.0, 15.0, 15.0)),
    ];
    PipelineSpec {
        model: "m".try_into().expect("it is a name"),
        layers: LAYERS,
        layer_mb: 1_750.0,
        token_bytes: 459_000.0,
        slots: 192,
        step_ms: 0.85,
        step_per_request_ms: 0.003,
        step_per_1k_context_ms: 0.004,
        read_tokens_per_ms: 252.0,
        load_ms: 14_000.0,
        loads_at_once: 6,
        usual_prompt: 770.0,
        usual_answer: 154.0,
        activation_bytes: 22_900.0,
        pipe_mbps: Some(7_900.0),
        crossing_delay_ms: 0.25,
        report_lag_ms: 200.0,
        cards: cards
            .map(|(name, card)| (Arc::from(name), card))
            .into_iter()
            .collect::<BTreeMap<_, _>>(),
    }
}

pub(crate) fn data_centre(name: &str) -> DataCentre {
    name.try_into().expect("it is a name")
}

pub(crate) fn id(name: &str) -> EndpointId {
    name.try_into().expect("it is a name")
}

pub(crate) fn range(first: u32, end: u32) -> LayerRange {
    LayerRange::new(first, end).expect("it is a range")
}

pub(crate) fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Returns the empty cards of three data centres that differ in their cards.
pub(crate) fn cards(spec: &PipelineSpec) -> Vec<CardState> {
    let counts = [("a", [3, 3, 5]), ("b", [1, 5, 8]), ("c", [1, 7, 5])];
    let mut cards = Vec::new();
    for (place, counts) in counts {
        for (kind, count) in ["fast", "middle", "small"].into_iter().zip(counts) {
            for at in 0..count {
                cards.push(CardState {
                    endpoint: id(&format!("{place}-{kind}-{at}")),
                    data_centre: data_centre(place),
                    card: spec.cards[kind],
                    held: None,
                    takes_orders: true,
                    is_loading: false,
                });
            }
        }
    }
    cards
}

/// Carries out orders.
pub(crate) fn carry_out(cards: &mut [CardState], moves: &[LayerMove]) {
    for order in moves {
        let card = cards
            .iter_mut()
            .find(|card| card.endpoint == order.endpoint);
        card.expect("orders go to known cards").held = Some(order.layers);
    }
}

/// Returns the layers that no card of a data centre holds.
pub(crate) fn gaps(cards: &[CardState], place: &str) -> Vec<u32> {
    let of_place = cards
        .iter()
        .filter(|card| card.data_centre.as_str() == place);
    let held: Vec<LayerRange> = of_place.filter_map(|card| card.held).collect();
    let is_held = |layer: u32| held.iter().any(|r| r.first() <= layer && layer < r.end());
    (0..LAYERS).filter(|layer| !is_held(*layer)).collect()
}

/// Turns placed cards into what they offer while they carry nothing.
pub(crate) fn offers(cards: &[CardState]) -> Vec<StageOffer> {
    let placed = cards.iter().enumerate();
    let offers = placed.filter_map(|(at, card)| {
        Some(StageOffer {
            endpoint: card.endpoint.clone(),
            address: address(1_000 + at as u16),
            data_centre: card.data_centre.clone(),
            layers: card.held?,
            card: card.card,
            slowdown: 1.0,
            requests: 0,
            token_layers: 0.0,
        })
    });
    offers.collect()
}

/// Returns an endpoint's entry.
pub(crate) fn record(name: &str, port: u16, layers: Option<LayerRange>) -> EndpointRecord {
    EndpointRecord {
        endpoint: id(name),
        service: "model".try_into().expect("it is a name"),
        address: address(port),
        data_centre: data_centre("a"),
        is_leaving: false,
        slots: 192,
        state: EndpointReport {
            layers,
            card: Some("small".into()),
            started_unix_ms: Some(1),
            slowdown: 1.0,
            ..EndpointReport::default()
        },
    }
}

/// A usual request.
pub(crate) const SIZE: RequestSize = RequestSize {
    prompt: 770.0,
    answer: 154.0,
};

/// Returns what the cards offer after their first placement.
pub(crate) fn placed_offers() -> Vec<StageOffer> {
    let spec = spec();
    let mut cards = cards(&spec);
    let moves = plan_cards(&spec, &cards, TOKENS);
    carry_out(&mut cards, &moves);
    offers(&cards)
}
