//! The latency that an entry adds to a request on an idle cluster.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Method;
use pistachioyard_wire::{
    Attempt, EndpointId, FrameBody, GenerateRequest, LayerRange, ModelName, Priority, ResumeToken,
    StageRef, StreamFrame, StreamId, StreamRequest, VersionName,
};

use super::BenchError;
use super::figures::{Figures, LatencyHistogram};
use super::report::{Check, ScenarioReport};
use super::run::Run;
use crate::cluster::Caller;

/// The number of request pairs, one request through an entry and one direct.
const REQUEST_PAIRS: usize = 200;
/// The maximum median latency that an entry may add, in milliseconds.
const MAX_ADDED_MS: f64 = 1.0;
/// The maximum time for an answer to begin.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Requests one token through an entry, then the same token over the same chain directly
/// from its first engine.
pub(super) async fn idle(run: &Run) -> Result<ScenarioReport, BenchError> {
    let caller = Caller::new(ANSWER_TIMEOUT);
    let mut requests = run.requests(0)?;
    let entries = run.entries();
    let started_at = Instant::now();
    let (mut via_entry, mut direct) = (LatencyHistogram::new(), LatencyHistogram::new());
    for pair in 0..REQUEST_PAIRS {
        let mut req = requests.next_request();
        req.max_tokens = 1;
        let answer = caller
            .generate(entries[pair % entries.len()], &req, |_| {})
            .await;
        let token = answer.resume.as_deref().map(ResumeToken::try_from);
        let (Some(Ok(token)), Some(first)) = (token, answer.token_times.first()) else {
            continue;
        };
        via_entry.record(*first - answer.sent_at);
        if let Some(time) = time_direct_request(run, &req, &token.stages).await? {
            direct.record(time);
        }
    }
    let added_ms = via_entry.quantile_ms(0.5) - direct.quantile_ms(0.5);
    println!(
        "  through an entry {:?}, direct {:?}",
        via_entry.quantiles(),
        direct.quantiles()
    );
    let figures = Figures {
        first_token_ms: via_entry.quantiles(),
        done: via_entry.len(),
        failed: REQUEST_PAIRS as u64 - via_entry.len(),
        ..Figures::new(std::iter::empty(), started_at, Instant::now())
    };
    let checks = vec![Check::at_most("added median ms", added_ms, MAX_ADDED_MS)];
    Ok(run.report("idle", figures, checks))
}

/// Returns the time to the first token of a request sent directly to the first engine of
/// a chain, or `None` if the chain is empty or the stream ends without a token.
async fn time_direct_request(
    run: &Run,
    req: &GenerateRequest,
    stages: &[(EndpointId, LayerRange)],
) -> Result<Option<Duration>, BenchError> {
    let find_engine = |id: &EndpointId| {
        let mut engines = run.cluster.engines.iter();
        engines.find(|engine| engine.name == id.as_str())
    };
    let chain: Arc<[StageRef]> = stages
        .iter()
        .filter_map(|(endpoint, layers)| {
            Some(StageRef {
                endpoint: endpoint.clone(),
                address: find_engine(endpoint)?.address,
                layers: *layers,
            })
        })
        .collect();
    let Some(head) = chain.first().map(|stage| stage.address) else {
        return Ok(None);
    };
    let body = serde_json::to_vec(&StreamRequest {
        stream: StreamId::generate(),
        attempt: Attempt(1),
        model: ModelName::try_from(run.plan.deployment.model())?,
        version: VersionName::try_from(run.plan.deployment.version())?,
        adapter: None,
        chain,
        prompt: req.prompt.as_str().into(),
        tokens: Vec::new(),
        max_tokens: 1,
        priority: Priority::Normal,
    })?;
    let headers = [("content-type", "application/json")];
    let sent_at = Instant::now();
    let client = &run.cluster.client;
    let mut lines = client
        .open_lines(Method::POST, head, "/v1/streams", &headers, body)
        .await?;
    while let Some(line) = lines.next_line().await? {
        let frame: StreamFrame = serde_json::from_str(&line)?;
        if matches!(frame.body, FrameBody::Token { .. }) {
            return Ok(Some(sent_at.elapsed()));
        }
    }
    Ok(None)
}
