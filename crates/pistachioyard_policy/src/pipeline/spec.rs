//! Describes the configured properties of a model and of the cards that hold it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use pistachioyard_wire::ModelName;

use super::load::RequestSize;

/// The longest time for which a load is waited for; added to a time, it never overflows.
const MAX_LOAD_TIME: Duration = Duration::from_secs(60 * 60);

/// Describes a kind of accelerator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Card {
    /// The memory for weights and requests together, in MB.
    pub memory_mb: f64,
    /// The duration of a decode step, relative to the reference card.
    pub step_factor: f64,
    /// The duration of a prefill, relative to the reference card.
    pub prefill_factor: f64,
}

/// Describes a model that endpoints hold in parts.
///
/// The times are those of the reference card when it runs the whole model.
#[derive(Clone, Debug, PartialEq)]
pub struct PipelineSpec {
    /// The model's name.
    pub model: ModelName,
    /// The number of layers.
    pub layers: u32,
    /// The weights of one layer, in MB.
    pub layer_mb: f64,
    /// The KV cache of one token over all layers, in bytes.
    pub kv_token_bytes: f64,
    /// The number of requests at once that an endpoint accepts as the first endpoint of a path.
    pub slots: u32,
    /// The time of a decode step, in ms.
    pub step_ms: f64,
    /// The time that each request adds to a decode step, in ms.
    pub step_per_request_ms: f64,
    /// The time that each 1,000 tokens of context add to a decode step, in ms.
    pub step_per_1k_context_ms: f64,
    /// The number of prompt tokens that a prefill processes per ms.
    pub prefill_tokens_per_ms: f64,
    /// The most prompt tokens that a card processes between two decode steps; `None` if prompts
    /// do not wait for those.
    pub prefill_chunk_tokens: Option<f64>,
    /// The time to load all layers while few loads run, in ms.
    pub load_ms: f64,
    /// The number of loads that can run at once without slowing each other down; 0 if unlimited.
    pub loads_at_once: u32,
    /// The mean length of a prompt, in tokens.
    pub mean_prompt_tokens: f64,
    /// The mean length of an answer, in tokens.
    pub mean_answer_tokens: f64,
    /// The data that one card sends to the next for each token, in bytes.
    pub activation_bytes: f64,
    /// The bandwidth between two data centres, in Mbit/s; `None` if unlimited.
    pub pipe_mbps: Option<f64>,
    /// The delay between two data centres, in ms.
    pub crossing_delay_ms: f64,
    /// The age of a report when an endpoint returns it, in ms.
    pub report_lag_ms: f64,
    /// The kinds of cards, by name.
    pub cards: BTreeMap<Arc<str>, Card>,
}

impl PipelineSpec {
    /// Returns the time to load a number of layers while few loads run, up to
    /// [`MAX_LOAD_TIME`]; a negative one counts as none.
    pub fn load_time(&self, layers: u32) -> Duration {
        let share = f64::from(layers) / f64::from(self.layers);
        let load_s = (self.load_ms * share / 1e3).max(0.0);
        Duration::try_from_secs_f64(load_s).map_or(MAX_LOAD_TIME, |time| time.min(MAX_LOAD_TIME))
    }

    /// Returns the mean size of a request.
    pub fn mean_size(&self) -> RequestSize {
        RequestSize {
            prompt: self.mean_prompt_tokens,
            answer: self.mean_answer_tokens,
        }
    }

    /// Returns the maximum number of layers that a card can hold.
    pub fn max_layers(&self, card: &Card) -> u32 {
        ((card.memory_mb / self.layer_mb) as u32).min(self.layers)
    }

    /// Returns the KV cache of one token in one layer, in MB.
    pub fn token_layer_mb(&self) -> f64 {
        self.kv_token_bytes / f64::from(self.layers) / 1e6
    }

    /// Returns how many layers a card can hold if it reserves memory for `tokens` of requests.
    pub fn max_layers_with_tokens(&self, card: &Card, tokens: f64) -> u32 {
        let per_layer = self.layer_mb + tokens * self.token_layer_mb();
        ((card.memory_mb / per_layer) as u32).min(self.max_layers(card))
    }

    /// Returns how many token-layers fit into a card beside the weights of `held` layers.
    ///
    /// A token counts once for each layer that keeps its KV cache.
    pub fn token_layer_capacity(&self, card: &Card, held: u32) -> f64 {
        let free_mb = card.memory_mb - f64::from(held) * self.layer_mb;
        (free_mb / self.token_layer_mb()).max(0.0)
    }
}
