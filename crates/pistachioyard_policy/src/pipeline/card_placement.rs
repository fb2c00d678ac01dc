//! Selects the layers that each card holds.
//!
//! The placement allows for the loss of cards under load:
//!
//! - Every data centre holds all layers by itself, so that requests need no link between
//!   data centres. Memory stays free for the requests that arrive when another data centre
//!   is lost.
//! - The remaining memory is used to hold layers on pairs of cards. When one card of a pair
//!   is lost, the other takes over its requests at once. Until then each runs half of the
//!   requests, so it needs memory for only half as many.
//! - Where the cards can hold two copies of all layers with memory for all requests, each
//!   card keeps that memory.
//! - A gap in the layers is closed by an empty card, else by a redundant card, whose layers
//!   all have another holder, else by extending the layers of a neighbouring card.

use std::collections::BTreeMap;

use pistachioyard_wire::{DataCentre, LayerRange};

use super::card_state::{CardState, LayerMove};
use super::spec::PipelineSpec;

/// The minimum number of request tokens for which an extended card keeps memory, as a share
/// of the reserved tokens.
const MIN_EXTENDED_TOKEN_SHARE: f64 = 0.35;
/// The share of the reserved tokens below which the holders of a layer lack memory. A single
/// holder has memory for all of them, and the remaining card of a pair for about half.
const MIN_ROOM_SHARE: f64 = 0.8;
/// The factor by which the reserved tokens are reduced, repeatedly, until all layers fit.
const TOKEN_REDUCTION: f64 = 0.97;

/// Returns the orders that are due so that every data centre holds all layers if it can.
///
/// Each card reserves memory for `wanted_tokens` of requests, or for fewer where the layers
/// would not fit otherwise.
pub fn plan_moves(spec: &PipelineSpec, cards: &[CardState], wanted_tokens: f64) -> Vec<LayerMove> {
    let mut moves = Vec::new();
    for group in groups(spec, cards) {
        let mut plan = GroupPlan::new(spec, group, wanted_tokens);
        plan.assign_initial_layers();
        plan.fill_empty_cards();
        plan.close_gaps();
        moves.extend(plan.moves);
    }
    moves
}

/// Groups the cards by data centre; data centres that cannot hold all layers form one group.
fn groups<'a>(spec: &PipelineSpec, cards: &'a [CardState]) -> Vec<Vec<&'a CardState>> {
    let mut by_data_centre: BTreeMap<&DataCentre, Vec<&CardState>> = BTreeMap::new();
    for card in cards {
        by_data_centre
            .entry(&card.data_centre)
            .or_default()
            .push(card);
    }
    let fits = |group: &Vec<&CardState>| {
        let capacity: u32 = group.iter().map(|c| spec.max_layers(&c.card)).sum();
        capacity >= spec.layers
    };
    let (mut whole, partial): (Vec<_>, Vec<_>) = by_data_centre.into_values().partition(fits);
    let rest: Vec<&CardState> = partial.into_iter().flatten().collect();
    if !rest.is_empty() {
        whole.push(rest);
    }
    whole
}

/// Plans the layers of one group of cards.
struct GroupPlan<'a> {
    spec: &'a PipelineSpec,
    cards: Vec<&'a CardState>,
    held: Vec<Option<LayerRange>>,
    /// The request tokens for which each card reserves memory.
    tokens: f64,
    wanted_tokens: f64,
    moves: Vec<LayerMove>,
}

impl<'a> GroupPlan<'a> {
    fn new(spec: &'a PipelineSpec, mut cards: Vec<&'a CardState>, wanted_tokens: f64) -> Self {
        // Fast cards come first, since each layer that they hold is one less for slow cards.
        cards.sort_by(|a, b| {
            let by_speed = a.card.step_factor.total_cmp(&b.card.step_factor);
            by_speed.then_with(|| a.endpoint.cmp(&b.endpoint))
        });
        let held = cards.iter().map(|card| card.held).collect();
        let mut plan = Self {
            spec,
            cards,
            held,
            tokens: wanted_tokens,
            wanted_tokens,
            moves: Vec::new(),
        };
        plan.lower_tokens_until_layers_fit();
        plan
    }

    fn lower_tokens_until_layers_fit(&mut self) {
        let capacity: u32 = self
            .cards
            .iter()
            .map(|c| self.spec.max_layers(&c.card))
            .sum();
        let needed = self.spec.layers.min(capacity);
        while self.tokens > 1.0 && self.total_layers() < needed {
            self.tokens *= TOKEN_REDUCTION;
        }
    }

    fn total_layers(&self) -> u32 {
        let layers = self
            .cards
            .iter()
            .map(|c| self.spec.max_layers_with_tokens(&c.card, self.tokens));
        layers.sum()
    }

    /// Returns the number of cards that hold each layer.
    fn holder_counts(&self) -> Vec<u32> {
        let mut holder_counts = vec![0; self.spec.layers as usize];
        for range in self.held.iter().flatten() {
            for layer in range.first()..range.end().min(self.spec.layers) {
                holder_counts[layer as usize] += 1;
            }
        }
        holder_counts
    }

    fn assign(&mut self, at: usize, layers: LayerRange) {
        self.held[at] = Some(layers);
        self.moves.retain(|m| m.endpoint != self.cards[at].endpoint);
        self.moves.push(LayerMove {
            endpoint: self.cards[at].endpoint.clone(),
            layers,
        });
    }

    /// Returns how many layers a card can hold if it runs all requests of its data centre.
    fn single_layers(&self, at: usize) -> u32 {
        let card = &self.cards[at].card;
        self.spec.max_layers_with_tokens(card, self.tokens)
    }

    /// Returns how many layers a card can hold if it shares the requests with another card.
    fn paired_layers(&self, at: usize) -> u32 {
        let card = &self.cards[at].card;
        self.spec.max_layers_with_tokens(card, self.tokens / 2.0)
    }

    /// Returns whether the cards cannot hold two copies of all layers and also keep memory for
    /// all requests beside each copy.
    fn must_share_room(&self) -> bool {
        self.total_layers() < 2 * self.spec.layers
    }

    /// Assigns all layers to a group that holds nothing yet, on as many pairs as possible.
    fn assign_initial_layers(&mut self) {
        let is_empty = self.held.iter().all(Option::is_none);
        if !is_empty || !self.must_share_room() || !self.cards.iter().all(|card| card.takes_orders)
        {
            return;
        }
        let mut next = 0;
        for (members, size) in self.pairs_and_singles() {
            if next >= self.spec.layers || size == 0 {
                break;
            }
            let first = next.min(self.spec.layers.saturating_sub(size));
            let Ok(layers) = LayerRange::new(first, (first + size).min(self.spec.layers)) else {
                break;
            };
            for at in members {
                self.assign(at, layers);
            }
            next = layers.end();
        }
    }

    /// Divides the cards into pairs of one kind and single cards.
    ///
    /// Forms as many pairs as possible while all layers stay held. Returns the members and the
    /// number of layers of each group, in the order of the cards.
    fn pairs_and_singles(&self) -> Vec<(Vec<usize>, u32)> {
        let mut by_kind: Vec<Vec<usize>> = Vec::new();
        for at in 0..self.cards.len() {
            let card = self.cards[at].card;
            match by_kind.iter_mut().find(|c| self.cards[c[0]].card == card) {
                Some(of_kind) => of_kind.push(at),
                None => by_kind.push(vec![at]),
            }
        }
        // Kinds that lose the fewest layers by pairing come first.
        let loss = |at: usize| (2 * self.single_layers(at)).saturating_sub(self.paired_layers(at));
        by_kind.sort_by_key(|of_kind| loss(of_kind[0]));
        let singles = (0..self.cards.len()).map(|at| self.single_layers(at));
        let mut spare = singles.sum::<u32>().saturating_sub(self.spec.layers);
        let mut groups = Vec::new();
        for mut of_kind in by_kind {
            let (loss, size) = (loss(of_kind[0]), self.paired_layers(of_kind[0]));
            while of_kind.len() > 1 && loss <= spare {
                spare -= loss;
                let members = of_kind.split_off(of_kind.len() - 2);
                groups.push((members, size));
            }
            let singles = of_kind.into_iter();
            groups.extend(singles.map(|at| (vec![at], self.single_layers(at))));
        }
        groups.sort_by_key(|(members, _)| members[0]);
        groups
    }

    fn fill_empty_cards(&mut self) {
        for at in 0..self.cards.len() {
            if self.held[at].is_some() || !self.cards[at].takes_orders {
                continue;
            }
            if let Some(layers) = self.most_needed_layers(at) {
                self.assign(at, layers);
            }
        }
    }

    /// Returns the layers that most need another holder.
    ///
    /// The first gap comes first. Otherwise these criteria apply, in this order:
    ///
    /// - the most layers whose holders lack memory for requests, as after the loss of one card
    ///   of a pair
    /// - the most cards that become redundant, so that another card holds all their layers
    /// - the fewest holders
    fn most_needed_layers(&self, at: usize) -> Option<LayerRange> {
        let single = self.single_layers(at).min(self.spec.layers);
        if single == 0 {
            return None;
        }
        let counts = self.holder_counts();
        if let Some(gap) = counts.iter().position(|holders| *holders == 0) {
            let first = (gap as u32).min(self.spec.layers - single);
            return LayerRange::new(first, first + single).ok();
        }
        let shared = if self.must_share_room() {
            self.paired_layers(at).min(self.spec.layers)
        } else {
            single
        };
        let windows = [single, shared].into_iter().flat_map(|size| {
            (0..=self.spec.layers - size)
                .filter_map(move |first| LayerRange::new(first, first + size).ok())
        });
        let lacks_room: Vec<bool> = (0..self.spec.layers).map(|l| self.lacks_room(l)).collect();
        windows.max_by_key(|layers| {
            let range = layers.first() as usize..layers.end() as usize;
            let relieved = lacks_room[range.clone()].iter().filter(|lacks| **lacks);
            let squares: u32 = counts[range].iter().map(|holders| holders * holders).sum();
            let per_layer = squares * self.spec.layers / layers.len();
            (
                relieved.count(),
                self.count_redundant(&counts, *layers),
                std::cmp::Reverse(per_layer),
            )
        })
    }

    /// Returns whether the holders of a layer have too little memory for the requests of
    /// their data centre.
    fn lacks_room(&self, layer: u32) -> bool {
        let rooms = self
            .held
            .iter()
            .zip(&self.cards)
            .filter_map(|(held, card)| {
                let held = held.filter(|held| held.first() <= layer && layer < held.end())?;
                let room = self.spec.token_layer_capacity(&card.card, held.len());
                Some(room / f64::from(held.len()))
            });
        rooms.sum::<f64>() < self.tokens * MIN_ROOM_SHARE
    }

    /// Counts the cards whose layers all have another holder once one more card holds
    /// `added`.
    fn count_redundant(&self, holder_counts: &[u32], added: LayerRange) -> usize {
        let holders = |layer: u32| {
            let is_added = added.first() <= layer && layer < added.end();
            holder_counts[layer as usize] + u32::from(is_added)
        };
        let held = self.held.iter().flatten();
        held.filter(|range| (range.first()..range.end()).all(|layer| holders(layer) > 1))
            .count()
    }

    fn close_gaps(&mut self) {
        while let Some(gap) = self.first_gap() {
            let closed = self.reassign_redundant_card(gap) || self.extend_neighbour(gap);
            if !closed {
                break;
            }
        }
    }

    fn first_gap(&self) -> Option<LayerRange> {
        let counts = self.holder_counts();
        let first = counts.iter().position(|holders| *holders == 0)?;
        let len = counts[first..]
            .iter()
            .take_while(|holders| **holders == 0)
            .count();
        LayerRange::new(first as u32, (first + len) as u32).ok()
    }

    /// Assigns the gap to a redundant card: one whose layers all have another holder.
    fn reassign_redundant_card(&mut self, gap: LayerRange) -> bool {
        let counts = self.holder_counts();
        let is_redundant = |range: LayerRange| {
            let layers = &counts[range.first() as usize..range.end() as usize];
            layers.iter().all(|holders| *holders > 1)
        };
        let redundant = (0..self.cards.len()).filter(|at| {
            let card = self.cards[*at];
            let movable = card.takes_orders && card.held == self.held[*at];
            movable && self.held[*at].is_some_and(is_redundant)
        });
        // Prefers the smallest card that closes the gap alone, else the largest one; for the first
        // layers, a card without a limit.
        let chosen = redundant.min_by_key(|at| {
            let size = self.single_layers(*at);
            let is_too_small = size < gap.len();
            let waste = if is_too_small {
                self.spec.layers - size
            } else {
                size
            };
            let is_limited_start = gap.first() == 0 && self.cards[*at].is_limited;
            (
                is_limited_start,
                is_too_small,
                waste,
                std::cmp::Reverse(*at),
            )
        });
        let Some(at) = chosen else {
            return false;
        };
        let size = self
            .spec
            .max_layers_with_tokens(&self.cards[at].card, self.tokens)
            .max(1);
        let first = gap.first().min(self.spec.layers.saturating_sub(size));
        let Ok(layers) = LayerRange::new(first, (first + size).min(self.spec.layers)) else {
            return false;
        };
        self.assign(at, layers);
        true
    }

    /// Extends into the gap the layers of a card that end or begin next to it.
    fn extend_neighbour(&mut self, gap: LayerRange) -> bool {
        let grown = (0..self.cards.len()).filter_map(|at| {
            let card = self.cards[at];
            let held = self.held[at].filter(|_| card.takes_orders)?;
            let least_tokens = self.wanted_tokens.min(self.tokens) * MIN_EXTENDED_TOKEN_SHARE;
            let limit = self.spec.max_layers_with_tokens(&card.card, least_tokens);
            let room = limit.checked_sub(held.len()).filter(|room| *room > 0)?;
            let part = room.min(gap.len());
            let layers = if held.end() == gap.first() {
                LayerRange::new(held.first(), held.end() + part)
            } else if held.first() == gap.end() {
                LayerRange::new(held.first() - part, held.end())
            } else {
                return None;
            };
            Some((at, part, layers.ok()?))
        });
        let Some((at, _, layers)) = grown.max_by_key(|(_, part, _)| *part) else {
            return false;
        };
        self.assign(at, layers);
        true
    }
}
