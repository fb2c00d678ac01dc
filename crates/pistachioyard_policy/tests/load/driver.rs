//! Plays the requests of many entries at the cards of one data centre.
//!
//! Each entry chooses paths by what it knows: its own load, and what each peer told in its turn.
//! The cards know the truth: they refuse a request that does not fit into their memory.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use pistachioyard_policy::{
    Card, CardState, LoadShare, LoadTracker, NoPath, PathQuery, PathStage, PipelineSpec,
    RequestSize, StageOffer, choose_path, plan_moves,
};
use pistachioyard_wire::{DataCentre, EndpointId, EntryId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The size of each request.
pub(crate) const SIZE: RequestSize = RequestSize {
    prompt: 800.0,
    answer: 141.0,
};
/// The requests for which placement reserves memory on each card.
const RESERVED_REQUESTS: f64 = 110.0;
const TICK: Duration = Duration::from_millis(10);

/// Describes a load.
#[derive(Clone, Debug)]
pub(crate) struct Pattern {
    pub(crate) entries: usize,
    /// The number of fast, middle and small cards.
    pub(crate) cards: [usize; 3],
    /// The requests a second of all entries, by the second.
    pub(crate) per_second: Vec<f64>,
    /// How many peers each entry tells of its load in a gossip period.
    pub(crate) fanout: usize,
}

/// Counts how the requests of a load ended.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) sent: usize,
    /// The number of sends that a card without room refused.
    pub(crate) refused: usize,
    /// The number of requests for which an entry knew no path.
    pub(crate) without_path: usize,
    /// The largest share of a card's memory that was in use.
    pub(crate) highest_fill: f64,
    /// The mean time of a token, over all requests, in ms.
    pub(crate) token_ms: f64,
}

struct Running {
    entry: usize,
    stages: Vec<PathStage>,
    ends_at: Instant,
}

pub(crate) fn spec() -> PipelineSpec {
    let card = |memory_mb, step_factor, prefill_factor| Card {
        memory_mb,
        step_factor,
        prefill_factor,
    };
    let cards = [
        ("fast", card(36_000.0, 3.1, 3.2)),
        ("middle", card(22_000.0, 16.0, 8.2)),
        ("small", card(14_000.0, 15.0, 15.0)),
    ];
    PipelineSpec {
        model: "m".try_into().expect("the name is valid"),
        layers: 80,
        layer_mb: 1_750.0,
        kv_token_bytes: 459_000.0,
        slots: 192,
        step_ms: 0.85,
        step_per_request_ms: 0.003,
        step_per_1k_context_ms: 0.004,
        prefill_tokens_per_ms: 252.0,
        load_ms: 14_000.0,
        loads_at_once: 6,
        mean_prompt_tokens: SIZE.prompt,
        mean_answer_tokens: SIZE.answer,
        activation_bytes: 22_900.0,
        pipe_mbps: Some(5_600.0),
        crossing_delay_ms: 0.25,
        report_lag_ms: 200.0,
        cards: cards
            .map(|(name, card)| (Arc::from(name), card))
            .into_iter()
            .collect::<BTreeMap<_, _>>(),
    }
}

/// Returns the offers of cards after their first placement.
fn placed(spec: &PipelineSpec, counts: [usize; 3]) -> Vec<StageOffer> {
    let home = DataCentre::try_from("a").expect("the name is valid");
    let kinds = ["fast", "middle", "small"].into_iter().zip(counts);
    let cards = kinds.flat_map(|(kind, count)| (0..count).map(move |at| (kind, at)));
    let mut cards: Vec<CardState> = cards
        .map(|(kind, at)| CardState {
            endpoint: EndpointId::try_from(format!("{kind}-{at}")).expect("the name is valid"),
            data_centre: home.clone(),
            card: spec.cards[kind],
            held: None,
            takes_orders: true,
            is_loading: false,
            is_limited: false,
        })
        .collect();
    let tokens = (SIZE.prompt + SIZE.answer) * RESERVED_REQUESTS;
    for order in plan_moves(spec, &cards, tokens) {
        let mut named = cards.iter_mut();
        let card = named.find(|card| card.endpoint == order.endpoint);
        card.expect("an order names a known card").held = Some(order.layers);
    }
    let offers = cards.into_iter().zip(1_000..).filter_map(|(card, port)| {
        Some(StageOffer {
            endpoint: card.endpoint,
            address: ([127, 0, 0, 1], port).into(),
            data_centre: card.data_centre,
            layers: card.held?,
            card: card.card,
            slowdown: 1.0,
            may_start: true,
            requests: 0,
            token_layers: 0.0,
        })
    });
    offers.collect()
}

/// Plays a load.
pub(crate) fn play(pattern: &Pattern, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let spec = spec();
    let offers = placed(&spec, pattern.cards);
    let home = offers[0].data_centre.clone();
    let entries: Vec<EntryId> = (0..pattern.entries)
        .map(|at| EntryId::try_from(format!("entry-{at}")).expect("the name is valid"))
        .collect();
    let mut known = vec![LoadTracker::default(); pattern.entries];
    let mut truth = LoadTracker::default();
    let mut running: Vec<Running> = Vec::new();
    let mut outcome = Outcome::default();
    let mut token_ms = 0.0;
    let mut next_peer = vec![0; pattern.entries];
    let start = Instant::now();
    let ticks = pattern.per_second.len() as u64 * 100;
    for tick in 0..ticks {
        let now = start + TICK * tick as u32;
        running.retain(|request| {
            let is_over = request.ends_at <= now;
            if is_over {
                truth.end(&request.stages, SIZE);
                known[request.entry].end(&request.stages, SIZE);
            }
            !is_over
        });
        for entry in 0..pattern.entries {
            // Each entry tells peers four times a second, at a time of its own.
            if (tick as usize + entry * 7).is_multiple_of(25) {
                let share: LoadShare = known[entry]
                    .own()
                    .map(|(endpoint, requests, used)| (endpoint.clone(), (requests, used)))
                    .collect();
                for _ in 0..pattern.fanout.min(pattern.entries - 1) {
                    next_peer[entry] = (next_peer[entry] + 1) % (pattern.entries - 1);
                    let peer = (entry + 1 + next_peer[entry]) % pattern.entries;
                    known[peer].set_peer(entries[entry].clone(), share.clone());
                }
            }
        }
        let rate = pattern.per_second[(tick / 100) as usize] * TICK.as_secs_f64();
        let arriving = rate as usize + usize::from(rng.random_bool(rate.fract()));
        for _ in 0..arriving {
            let entry = rng.random_range(0..pattern.entries);
            let view: Vec<StageOffer> = offers
                .iter()
                .map(|offer| StageOffer {
                    requests: known[entry].requests(&offer.endpoint),
                    token_layers: known[entry].token_layers(&offer.endpoint),
                    ..offer.clone()
                })
                .collect();
            let query = PathQuery {
                size: SIZE,
                home: &home,
                crossing_ms: None,
                first: None,
                near_peers: pattern.entries - 1,
            };
            outcome.sent += 1;
            let path = match choose_path(&spec, &view, &query, &mut rng) {
                Ok(path) => path,
                Err(NoPath::NoRoom { .. }) => {
                    outcome.without_path += 1;
                    continue;
                }
                Err(e) => panic!("seed {seed}: {e}"),
            };
            let used = path.stages.iter().map(|stage| {
                let offer = offers.iter().find(|o| o.endpoint == stage.endpoint);
                let offer = offer.expect("a path consists of offers");
                let capacity = spec.token_layer_capacity(&offer.card, offer.layers.len());
                let added = SIZE.resident_tokens() * f64::from(stage.layers.len());
                let fill = (truth.token_layers(&stage.endpoint) + added) / capacity;
                let requests = f64::from(truth.requests(&stage.endpoint));
                let step = spec.step_ms + spec.step_per_request_ms * requests;
                let share = f64::from(stage.layers.len()) / f64::from(spec.layers);
                (fill, step * share * offer.card.step_factor)
            });
            let used: Vec<(f64, f64)> = used.collect();
            let fill = used.iter().map(|(fill, _)| *fill).fold(0.0, f64::max);
            outcome.highest_fill = outcome.highest_fill.max(fill);
            if fill > 1.0 {
                outcome.refused += 1;
                continue;
            }
            let per_token: f64 = used.iter().map(|(_, ms)| ms + 0.2).sum();
            token_ms += per_token;
            truth.begin(&path.stages, SIZE);
            known[entry].begin(&path.stages, SIZE);
            running.push(Running {
                entry,
                stages: path.stages,
                ends_at: now + Duration::from_secs_f64((per_token * SIZE.answer + 60.0) / 1e3),
            });
        }
    }
    outcome.token_ms = token_ms / outcome.sent as f64;
    outcome
}
