//! What a configuration says of a model and of the cards that hold it.

use std::collections::BTreeMap;
use std::sync::Arc;

use pistachioyard_wire::ModelName;

/// A kind of accelerator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Card {
    /// Its memory, in MB, for weights and requests together.
    pub memory_mb: f64,
    /// How much longer its token steps take than the reference.
    pub step_factor: f64,
    /// How much longer it takes to read prompts than the reference.
    pub read_factor: f64,
}

/// A model that endpoints hold in parts, and how fast the reference card runs it whole.
#[derive(Clone, Debug, PartialEq)]
pub struct PipelineSpec {
    /// The model's name.
    pub model: ModelName,
    /// The number of layers.
    pub layers: u32,
    /// The weights of one layer, in MB.
    pub layer_mb: f64,
    /// The memory that one token takes over all layers, in bytes.
    pub token_bytes: f64,
    /// The requests that an endpoint takes as the first one of a path.
    pub slots: u32,
    /// The time of a token step, in ms.
    pub step_ms: f64,
    /// What each request adds to a token step, in ms.
    pub step_per_request_ms: f64,
    /// What each 1,000 tokens of context add to a token step, in ms.
    pub step_per_1k_context_ms: f64,
    /// Prompt tokens read in a ms.
    pub read_tokens_per_ms: f64,
    /// The time to load all layers, in ms, while few loads run.
    pub load_ms: f64,
    /// The loads that can run at once without slowing each other.
    pub loads_at_once: u32,
    /// The mean prompt, in tokens.
    pub usual_prompt: f64,
    /// The mean answer, in tokens.
    pub usual_answer: f64,
    /// What passes between two cards for each token, in bytes.
    pub activation_bytes: f64,
    /// What two data centres can pass to each other, in Mbit/s; none if not limited.
    pub pipe_mbps: Option<f64>,
    /// The delay between two data centres, in ms.
    pub crossing_delay_ms: f64,
    /// How old a report is when it is given, in ms.
    pub report_lag_ms: f64,
    /// The kinds of cards, by name.
    pub cards: BTreeMap<Arc<str>, Card>,
}

impl PipelineSpec {
    /// Returns the most layers that a card can hold.
    pub fn max_layers(&self, card: &Card) -> u32 {
        ((card.memory_mb / self.layer_mb) as u32).min(self.layers)
    }

    /// Returns the memory that one token takes in one layer, in MB.
    pub fn token_layer_mb(&self) -> f64 {
        self.token_bytes / f64::from(self.layers) / 1e6
    }

    /// Returns the layers that a card can hold beside the given tokens of requests.
    pub fn layers_beside(&self, card: &Card, tokens: f64) -> u32 {
        let per_layer = self.layer_mb + tokens * self.token_layer_mb();
        ((card.memory_mb / per_layer) as u32).min(self.max_layers(card))
    }

    /// Returns how many tokens, counted once for each layer, fit beside the weights
    /// of `held` layers.
    pub fn token_layers_beside(&self, card: &Card, held: u32) -> f64 {
        let free_mb = card.memory_mb - f64::from(held) * self.layer_mb;
        (free_mb / self.token_layer_mb()).max(0.0)
    }
}
