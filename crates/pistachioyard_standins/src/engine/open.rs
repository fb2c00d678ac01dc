//! The checks before an engine accepts an attempt, and the cost of its prefill.

use std::sync::Arc;

use pistachioyard_wire::{
    AdapterName, Attempt, EndpointId, LayerRange, StageFailure, StageRef, StreamRequest,
};

use super::core::{Core, Engine};
use super::flow::{prompt_tokens, request_prefix};
use super::stream::{HeadState, KvState, StageJob};

/// Reports why an engine refuses an attempt; none of it has run.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub(crate) enum StartRefusal {
    #[error("the chain's stages must cover consecutive layers, starting at layer 0")]
    BadChain,
    #[error("the request contains {given} tokens, more than its max_tokens of {max}")]
    TooManyTokens { given: usize, max: u32 },
    #[error("attempt {given} is not newer than attempt {seen}")]
    OldAttempt { given: Attempt, seen: Attempt },
    #[error("the stage is assigned to endpoint {expected}, not to this one")]
    OtherEndpoint { expected: EndpointId },
    #[error("the endpoint is draining and accepts no new streams")]
    Draining,
    #[error("the endpoint is loading weights")]
    Loading,
    #[error("the endpoint does not hold layers {layers} of this model version")]
    NotHeld { layers: LayerRange },
    #[error("the endpoint does not hold the adapter {adapter}")]
    NoAdapter { adapter: AdapterName },
    #[error("the endpoint has no room in its KV cache for {tokens} more tokens")]
    NoKvCache { tokens: u64 },
}

impl StartRefusal {
    /// Converts the refusal into the failure that is reported to the head of the chain.
    pub(crate) fn into_failure(self, endpoint: &EndpointId) -> StageFailure {
        match self {
            Self::OldAttempt { .. } => StageFailure::Superseded,
            other => StageFailure::Refused {
                endpoint: endpoint.clone(),
                why: other.to_string(),
            },
        }
    }
}

/// Validates the parts of a request that do not depend on the state of the engine.
pub(crate) fn check_chain(req: &StreamRequest) -> Result<(), StartRefusal> {
    let mut next_layer = 0;
    for stage in req.chain.iter() {
        if stage.layers.first() != next_layer {
            return Err(StartRefusal::BadChain);
        }
        next_layer = stage.layers.end();
    }
    if req.chain.is_empty() {
        return Err(StartRefusal::BadChain);
    }
    if req.tokens.len() > req.max_tokens as usize {
        return Err(StartRefusal::TooManyTokens {
            given: req.tokens.len(),
            max: req.max_tokens,
        });
    }
    Ok(())
}

/// Checks that an engine can run a stage and creates the job for it.
pub(crate) fn prepare_job(
    engine: &Engine,
    core: &mut Core,
    request: Arc<StreamRequest>,
    position: usize,
    head: Option<HeadState>,
) -> Result<StageJob, StartRefusal> {
    let stage = request.chain.get(position).ok_or(StartRefusal::BadChain)?;
    check_stage(engine, core, &request, stage)?;
    reserve_kv(engine, core, &request)?;
    let prefill_tokens = prefill_tokens(core, &request, stage.layers);
    Ok(StageJob {
        position,
        head,
        admitted: false,
        step: None,
        prefill_tokens,
        last_token: None,
        prefix: request_prefix(&request),
        next_index: request.tokens.len() as u32,
        crashes: core.faults.crashes(&request.prompt),
        opened_next: false,
        request,
    })
}

/// Checks that an attempt is new and that this engine can run one of its stages.
fn check_stage(
    engine: &Engine,
    core: &Core,
    req: &StreamRequest,
    stage: &StageRef,
) -> Result<(), StartRefusal> {
    if let Some(seen) = core.streams.get(&req.stream).map(|s| s.attempt)
        && req.attempt <= seen
    {
        return Err(StartRefusal::OldAttempt {
            given: req.attempt,
            seen,
        });
    }
    if stage.endpoint != engine.settings.endpoint {
        return Err(StartRefusal::OtherEndpoint {
            expected: stage.endpoint.clone(),
        });
    }
    if core.is_draining() {
        return Err(StartRefusal::Draining);
    }
    if core.is_loading() {
        return Err(StartRefusal::Loading);
    }
    let held = core.held.as_ref().filter(|held| {
        held.model == req.model && held.version == req.version && held.layers.covers(stage.layers)
    });
    let Some(held) = held else {
        return Err(StartRefusal::NotHeld {
            layers: stage.layers,
        });
    };
    match &req.adapter {
        Some(adapter) if !held.adapters.contains(adapter) => Err(StartRefusal::NoAdapter {
            adapter: adapter.clone(),
        }),
        _ => Ok(()),
    }
}

/// Returns the size of KV cache that a request needs at its end, in tokens.
fn needed_kv(req: &StreamRequest) -> u64 {
    prompt_tokens(req) + u64::from(req.max_tokens)
}

impl Core {
    /// Returns the size of KV cache that the current jobs need at their end, in tokens.
    pub(crate) fn committed_kv_tokens(&self) -> u64 {
        let jobs = self.streams.values().filter_map(|s| s.job.as_ref());
        jobs.map(|job| needed_kv(&job.request)).sum()
    }
}

/// Reserves KV cache for a request, evicting that of streams without a job.
///
/// The stream that has been idle longest is evicted first.
fn reserve_kv(engine: &Engine, core: &mut Core, req: &StreamRequest) -> Result<(), StartRefusal> {
    let tokens = needed_kv(req);
    let capacity = engine.settings.kv_tokens;
    let committed = core.committed_kv_tokens() + tokens;
    if committed > capacity {
        return Err(StartRefusal::NoKvCache { tokens });
    }
    while committed + idle_kv_tokens(core, req) > capacity {
        let idle = core
            .streams
            .iter()
            .filter(|(id, s)| s.job.is_none() && s.kv.is_some() && **id != req.stream);
        let oldest = idle.min_by_key(|(_, s)| s.touched).map(|(id, _)| *id);
        let Some(stream) = oldest.and_then(|id| core.streams.get_mut(&id)) else {
            break;
        };
        stream.kv = None;
    }
    Ok(())
}

/// Returns the size of KV cache held by other streams without a job, in tokens.
fn idle_kv_tokens(core: &Core, req: &StreamRequest) -> u64 {
    let idle = core
        .streams
        .iter()
        .filter(|(id, s)| s.job.is_none() && **id != req.stream);
    idle.filter_map(|(_, s)| s.kv.as_ref())
        .map(|kv| kv.prompt_tokens + u64::from(kv.positions))
        .sum()
}

/// Returns the cost of the prefill before the first step, in tokens.
fn prefill_tokens(core: &mut Core, req: &StreamRequest, layers: LayerRange) -> f64 {
    let prompt = core.cache.insert(req, core.faults.cache_gaps);
    let given = req.tokens.len() as u32;
    let kv = core.streams.get(&req.stream).and_then(|s| s.kv.as_ref());
    match kv.filter(|kv| is_usable(kv, req, layers)) {
        Some(kv) => f64::from(given.saturating_sub(kv.positions)),
        None => prompt + f64::from(given),
    }
}

/// Returns whether KV cache matches the prompt, tokens and layers of a request.
fn is_usable(kv: &KvState, req: &StreamRequest, layers: LayerRange) -> bool {
    if kv.model != req.model || kv.version != req.version || !kv.layers.covers(layers) {
        return false;
    }
    // KV cache that is ahead of the caller is truncated to the caller's tokens. Its
    // digest cannot be compared then, but only the same stream can have written it.
    let input_tokens = kv.positions.saturating_sub(1) as usize;
    let Some(tokens) = req.tokens.get(..input_tokens) else {
        return true;
    };
    let (model, version) = (req.model.as_str(), req.version.as_str());
    kv.prefix_digest == crate::token::seed_state(model, version, &req.prompt, tokens)
}
