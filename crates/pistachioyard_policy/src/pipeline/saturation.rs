//! Estimates how long the prompts at an endpoint take to be read.
//!
//! By Little's law the requests that are being read along a path stay there for as long as its
//! slowest endpoint takes to read them all, so the first event comes after the time of that
//! endpoint and not after the sum over all of them.

use std::time::Duration;

use super::path_choice::{PathQuery, StageOffer};
use super::spec::PipelineSpec;

/// The share of the time to the first event in which the prompts at an endpoint have to be read.
/// The rest covers what peers have begun in the meantime, prompts that overtake this one, and the
/// way of the first event to the caller.
const READING_SHARE: f64 = 0.7;
/// The share of the peers in the data centre that choose the same endpoint within a gossip round;
/// the others choose one with the same layers.
const SAME_CHOICE_SHARE: f64 = 0.5;
/// The smallest share of its latency target for which a request that is late already may wait for
/// other prompts.
const MIN_WAIT_SHARE: f64 = 0.25;

/// Returns how long a request may still wait for its first event, which bounds the queues that it
/// joins even when it is late.
pub fn max_reading(latency_target: Duration, waited: Duration) -> Duration {
    let least = latency_target.mul_f64(MIN_WAIT_SHARE);
    latency_target.saturating_sub(waited).max(least)
}

/// Returns the time of a decode step of all layers with the requests there, in ms of the
/// reference card.
pub(super) fn step_ms(spec: &PipelineSpec, offer: &StageOffer) -> f64 {
    let requests = f64::from(offer.requests);
    let context_k = requests * (spec.mean_prompt_tokens + spec.mean_answer_tokens) / 1e3;
    spec.step_ms + spec.step_per_request_ms * requests + spec.step_per_1k_context_ms * context_k
}

/// Returns the time that an endpoint takes to read a number of tokens in one layer, in ms, with
/// the decode steps that it runs in between.
fn reading_ms(spec: &PipelineSpec, offer: &StageOffer, token_layers: f64) -> f64 {
    let chunk = spec.prefill_chunk_tokens;
    let steps_ms = chunk.map_or(0.0, |tokens| step_ms(spec, offer) / tokens);
    let token_ms =
        offer.card.prefill_factor / spec.prefill_tokens_per_ms + offer.card.step_factor * steps_ms;
    token_layers * token_ms * offer.slowdown / f64::from(spec.layers)
}

/// Returns the time to read what is there and this prompt too, as a share of the time that the
/// request may wait for it; 0 if there is nothing else to read, or no target.
pub(super) fn saturation(spec: &PipelineSpec, offer: &StageOffer, query: &PathQuery<'_>) -> f64 {
    let Some(max_reading) = query.max_reading else {
        return 0.0;
    };
    if offer.reading <= 0.0 {
        return 0.0;
    }
    let peers = SAME_CHOICE_SHARE * query.near_peers as f64;
    let unheard = (offer.reading_untold * peers).min(offer.reading);
    let there = offer.reading + unheard;
    let own = query.size.prompt * f64::from(offer.layers.len());
    let limit_ms = max_reading.as_secs_f64() * 1e3 * READING_SHARE;
    reading_ms(spec, offer, there + own) / limit_ms.max(f64::MIN_POSITIVE)
}

/// Returns whether the prompts at an endpoint would make the first event late.
///
/// An endpoint that is late with this prompt alone is not saturated while its queue is shorter
/// than the prompt, since a return would find it no better.
pub(super) fn is_saturated(spec: &PipelineSpec, offer: &StageOffer, query: &PathQuery<'_>) -> bool {
    let own = query.size.prompt * f64::from(offer.layers.len());
    offer.reading > own && saturation(spec, offer, query) > 1.0
}
