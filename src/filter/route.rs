//! Routing: chooses the chain that a request runs on.

use std::collections::BTreeSet;

use pistachioyard_policy::{Chain, ChainQuery, NoChain, choose_chain_by};
use pistachioyard_wire::{AdapterName, LayerRange};

use super::GenerateContext;
use crate::prelude::*;

/// The largest time between tokens that admission allows at an endpoint, in milliseconds; the
/// rest of the objective is left for the links and the network path to the caller.
const TOKEN_GAP_MS: u64 = 28;
/// The number of prompt bytes that count as one token.
const PROMPT_BYTES_PER_TOKEN: usize = 16;

/// Holds what a request needs from its chain.
#[derive(Clone, Debug)]
pub(crate) struct RouteQuery {
    pub(crate) model: ModelName,
    pub(crate) version: VersionName,
    pub(crate) adapter: Option<AdapterName>,
    pub(crate) layers: u32,
    /// The estimated tokens of the prompt and the answer together.
    pub(crate) tokens: u32,
    /// The earlier stages of the stream, which are preferred.
    pub(crate) keep: Vec<(EndpointId, LayerRange)>,
}

impl RouteQuery {
    /// Creates the query of a request; a resumed request prefers its earlier stages.
    pub(crate) fn new(cx: &GenerateContext) -> Self {
        let call = &cx.call;
        let prompt_tokens = (call.prompt.len() / PROMPT_BYTES_PER_TOKEN) as u32;
        Self {
            model: call.model.clone(),
            version: cx.version.clone(),
            adapter: call.adapter.clone(),
            layers: cx.layers,
            tokens: prompt_tokens.saturating_add(call.max_tokens),
            keep: call
                .resume
                .as_ref()
                .map(|token| token.stages.clone())
                .unwrap_or_default(),
        }
    }

    /// Chooses a chain without any of the endpoints in `exclude`.
    pub(crate) fn choose(
        &self,
        node: &Node,
        exclude: &BTreeSet<EndpointId>,
        now: Instant,
    ) -> Result<Chain, NoChain> {
        let query = ChainQuery {
            model: &self.model,
            version: &self.version,
            adapter: self.adapter.as_ref(),
            layers: self.layers,
            prefix_digest: None,
            tokens: self.tokens,
            token_gap: Some(Duration::from_millis(TOKEN_GAP_MS)),
            exclude,
            keep: &self.keep,
        };
        let fleet = node.fleet.lock();
        let prefixes = node.prefixes.lock();
        let mut rng = node.rng.lock();
        let policy = node.settings.choice;
        choose_chain_by(policy, &fleet, &prefixes, &query, now, &mut *rng)
    }
}
