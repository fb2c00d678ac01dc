//! Tests of streams through chains of real engine processes.

#![allow(clippy::unwrap_used, reason = "a test ends at its first failure")]

#[path = "engine/fleet.rs"]
mod fleet;

use fleet::{Caller, EngineProcess, WAIT_LIMIT, chain_of, request};
use http::{Method, StatusCode};
use pistachioyard_standins::{RunRecord, reference_tokens};
use pistachioyard_wire::{
    Attempt, EndpointReport, Fence, FrameBody, KvSnapshot, LayerRange, Order, OrderKind,
    OrderRefusal, Priority, StageFailure, StreamProgress, StreamRequest,
};
use serde_json::json;

const PROMPT: &str = "Describe the vault of the chapel.";

/// Returns all tokens of the correct answer to a request.
fn expected_tokens(req: &StreamRequest) -> Vec<u64> {
    reference_tokens("drafter", "v1", &req.prompt, 12, req.max_tokens)
}

/// Starts a chain of three engines that hold four layers each.
fn three_engines(extra: &[&str]) -> [EngineProcess; 3] {
    ["0..4", "4..8", "8..12"].map(|layers| EngineProcess::start(layers, extra))
}

fn order(fence: u64, kind: serde_json::Value) -> Order {
    serde_json::from_value(json!({"fence": fence, "from": "entry-1", "kind": kind})).unwrap()
}

#[tokio::test]
async fn chain_answers_the_reference_and_runs_each_layer_once() {
    let engines = three_engines(&["--link", "split-a=0.2"]);
    let caller = Caller::default();
    let req = request(&engines, PROMPT, 40);
    let mut answer = caller.start(&req).await.unwrap();
    assert_eq!(answer.next().await, Some(FrameBody::Started));
    assert_eq!(answer.tokens(40).await, expected_tokens(&req));
    assert_eq!(answer.next().await, Some(FrameBody::End { count: 40 }));
    assert_eq!(answer.next().await, None);
    for (engine, stage) in engines.iter().zip(req.chain.iter()) {
        let path = format!("/control/runs?stream={}", req.stream);
        let runs: Vec<RunRecord> = caller.get(engine, &path).await;
        let expected = (0..40).map(|index| RunRecord {
            stream: req.stream,
            attempt: Attempt(1),
            index,
            layers: stage.layers,
        });
        assert_eq!(runs, expected.collect::<Vec<_>>());
    }
}

#[tokio::test]
async fn many_streams_over_few_slots_all_get_their_own_answer() {
    let engines = three_engines(&["--slots", "2"]);
    let caller = Caller::default();
    let answers = (0..12).map(|index| {
        let req = request(&engines, &format!("{PROMPT} Part {index}."), 20);
        let caller = &caller;
        async move {
            let mut answer = caller.start(&req).await.unwrap();
            assert_eq!(answer.next().await, Some(FrameBody::Started));
            assert_eq!(answer.tokens(20).await, expected_tokens(&req));
            assert_eq!(answer.next().await, Some(FrameBody::End { count: 20 }));
        }
    });
    futures_util::future::join_all(answers).await;
}

#[tokio::test]
async fn resumed_attempt_reuses_the_kv_cache_and_supersedes_the_old_attempt() {
    let engines = three_engines(&["--step-ms", "5"]);
    let caller = Caller::default();
    let first = request(&engines, PROMPT, 60);
    let reference = expected_tokens(&first);
    let mut old = caller.start(&first).await.unwrap();
    assert_eq!(old.next().await, Some(FrameBody::Started));
    let tokens = old.tokens(7).await;
    assert_eq!(tokens, reference[..7]);
    let second = StreamRequest {
        attempt: Attempt(2),
        tokens,
        ..first.clone()
    };
    let mut new = caller.start(&second).await.unwrap();
    assert_eq!(new.next().await, Some(FrameBody::Started));
    assert_eq!(new.tokens(53).await, reference[7..]);
    assert_eq!(new.next().await, Some(FrameBody::End { count: 60 }));
    let rest = old.rest().await;
    let (last, before) = rest.split_last().unwrap();
    assert_eq!(*last, FrameBody::Failed(StageFailure::Superseded));
    assert!(before.len() < 50, "old attempt still running: {before:?}");
    assert_eq!(caller.start(&first).await.err(), Some(StatusCode::CONFLICT));
    for engine in &engines {
        let path = format!("/control/runs?stream={}", first.stream);
        let runs: Vec<RunRecord> = caller.get(engine, &path).await;
        let of_new = runs.iter().filter(|run| run.attempt == Attempt(2));
        let indexes: Vec<u32> = of_new.map(|run| run.index).collect();
        assert_eq!(indexes, (7..60).collect::<Vec<_>>());
    }
}

#[tokio::test]
async fn killed_stage_is_named_in_the_failure_and_can_be_replaced() {
    let mut engines = three_engines(&["--step-ms", "5"]);
    let caller = Caller::default();
    let first = request(&engines, PROMPT, 50);
    let mut answer = caller.start(&first).await.unwrap();
    assert_eq!(answer.next().await, Some(FrameBody::Started));
    let mut tokens = answer.tokens(5).await;
    engines[1].kill();
    let rest = answer.rest().await;
    let lost = StageFailure::Lost {
        endpoint: engines[1].endpoint.clone(),
    };
    assert_eq!(rest.last(), Some(&FrameBody::Failed(lost.clone())));
    tokens.extend(rest.iter().filter_map(|frame| match frame {
        FrameBody::Token { token, .. } => Some(*token),
        _ => None,
    }));
    // A stage that is unreachable from the start of an attempt is named as well.
    let unreachable = StreamRequest {
        attempt: Attempt(2),
        tokens,
        ..first.clone()
    };
    let mut answer = caller.start(&unreachable).await.unwrap();
    let rest = answer.rest().await;
    assert_eq!(rest, [FrameBody::Started, FrameBody::Failed(lost)]);
    engines[1] = EngineProcess::start("4..8", &[]);
    let given = unreachable.tokens.len();
    let resumed = StreamRequest {
        attempt: Attempt(3),
        chain: chain_of(&engines),
        ..unreachable
    };
    let mut answer = caller.start(&resumed).await.unwrap();
    assert_eq!(answer.next().await, Some(FrameBody::Started));
    let tail = answer.tokens(50 - given).await;
    assert_eq!(tail, expected_tokens(&first)[given..]);
}

#[tokio::test]
async fn slot_of_a_disconnected_caller_goes_to_the_next_stream() {
    let engines = three_engines(&["--slots", "1", "--step-ms", "5"]);
    let caller = Caller::default();
    let mut abandoned = caller
        .start(&request(&engines, PROMPT, 100_000))
        .await
        .unwrap();
    assert_eq!(abandoned.next().await, Some(FrameBody::Started));
    abandoned.tokens(3).await;
    let req = request(&engines, "Another prompt.", 3);
    let mut answer = caller.start(&req).await.unwrap();
    drop(abandoned);
    assert_eq!(answer.next().await, Some(FrameBody::Started));
    assert_eq!(answer.tokens(3).await, expected_tokens(&req));
}

#[tokio::test]
async fn cancel_ends_attempts_up_to_the_given_one() {
    let engines = three_engines(&["--step-ms", "5"]);
    let caller = Caller::default();
    let req = request(&engines, PROMPT, 100_000);
    let mut answer = caller.start(&req).await.unwrap();
    assert_eq!(answer.next().await, Some(FrameBody::Started));
    let path = |attempt| format!("/v1/streams/{}?attempt={attempt}", req.stream);
    let older = caller
        .call(&engines[0], Method::DELETE, &path(0), &())
        .await;
    assert_eq!(older.0, StatusCode::NO_CONTENT);
    answer.tokens(20).await;
    caller
        .call(&engines[0], Method::DELETE, &path(1), &())
        .await;
    let rest = answer.rest().await;
    let cancelled = FrameBody::Failed(StageFailure::Cancelled);
    assert_eq!(rest.last(), Some(&cancelled));
    assert_eq!(caller.start(&req).await.err(), Some(StatusCode::CONFLICT));
}

#[tokio::test]
async fn draining_engine_refuses_new_streams_only() {
    let engines = three_engines(&["--step-ms", "5"]);
    let caller = Caller::default();
    let req = request(&engines, PROMPT, 20);
    let mut running = caller.start(&req).await.unwrap();
    assert_eq!(running.next().await, Some(FrameBody::Started));
    let reference = expected_tokens(&req);
    assert_eq!(running.tokens(1).await, reference[..1]);
    for (index, kind) in [(0, "drain"), (1, "drain")] {
        let taken = order(1, json!(kind));
        let answer = caller
            .call(&engines[index], Method::POST, "/v1/orders", &taken)
            .await;
        assert_eq!(answer.0, StatusCode::NO_CONTENT);
    }
    let refused = caller.start(&request(&engines, PROMPT, 5)).await;
    assert_eq!(refused.err(), Some(StatusCode::SERVICE_UNAVAILABLE));
    assert_eq!(running.tokens(19).await, reference[1..]);
    caller
        .call(
            &engines[0],
            Method::POST,
            "/v1/orders",
            &order(1, json!("undrain")),
        )
        .await;
    let mut answer = caller.start(&request(&engines, PROMPT, 5)).await.unwrap();
    let refused = StageFailure::Refused {
        endpoint: engines[1].endpoint.clone(),
        why: "the endpoint is draining and accepts no new streams".into(),
    };
    let expected = [FrameBody::Started, FrameBody::Failed(refused)];
    assert_eq!(answer.rest().await, expected);
}

#[tokio::test]
async fn only_an_engine_that_checks_fences_refuses_an_old_one() {
    let checks = EngineProcess::start("0..4", &["--checks-fence"]);
    let ignores = EngineProcess::start("0..4", &[]);
    let caller = Caller::default();
    for (engine, status) in [
        (&checks, StatusCode::CONFLICT),
        (&ignores, StatusCode::NO_CONTENT),
    ] {
        let new = order(7, json!("drain"));
        let answer = caller.call(engine, Method::POST, "/v1/orders", &new).await;
        assert_eq!(answer.0, StatusCode::NO_CONTENT);
        let old = order(6, json!("undrain"));
        let answer = caller.call(engine, Method::POST, "/v1/orders", &old).await;
        assert_eq!(answer.0, status);
        let report: EndpointReport = caller.get(engine, "/v1/report").await;
        assert_eq!(report.fence, Fence(7));
        assert_eq!(report.draining, status == StatusCode::CONFLICT);
    }
    let old = order(6, json!("undrain"));
    let (_, body) = caller.call(&checks, Method::POST, "/v1/orders", &old).await;
    let refusal: OrderRefusal = serde_json::from_slice(&body).unwrap();
    assert_eq!(refusal.to_string(), "the fencing token 6 is older than 7");
    let orders: Vec<Order> = caller.get(&checks, "/control/orders").await;
    assert_eq!(orders, [order(7, json!("drain"))]);
}

#[tokio::test]
async fn order_to_hold_other_layers_loads_them_and_refuses_running_streams() {
    let engines = three_engines(&["--step-ms", "5", "--load-ms-per-layer", "10000"]);
    let caller = Caller::default();
    let req = request(&engines, PROMPT, 100_000);
    let mut answer = caller.start(&req).await.unwrap();
    assert_eq!(answer.next().await, Some(FrameBody::Started));
    answer.tokens(3).await;
    let kind = OrderKind::Hold {
        model: req.model.clone(),
        version: req.version.clone(),
        layers: LayerRange::new(6, 10).unwrap(),
        adapters: Vec::new(),
    };
    let hold = order(1, serde_json::to_value(kind).unwrap());
    let taken = caller
        .call(&engines[1], Method::POST, "/v1/orders", &hold)
        .await;
    assert_eq!(taken.0, StatusCode::NO_CONTENT);
    let rest = answer.rest().await;
    let refused = StageFailure::Refused {
        endpoint: engines[1].endpoint.clone(),
        why: "the endpoint no longer holds the layers of the stage".into(),
    };
    assert_eq!(rest.last(), Some(&FrameBody::Failed(refused)));
    let report: EndpointReport = caller.get(&engines[1], "/v1/report").await;
    assert!(report.loading);
    assert_eq!(report.layers, LayerRange::new(6, 10).ok());
}

#[tokio::test]
async fn imported_kv_replaces_the_prefill() {
    let fast = ["--tokens-per-second", "1000000"];
    let mut engines = three_engines(&fast);
    // On this engine, the prefill of the prompt would take far longer than `WAIT_LIMIT`.
    let spare = EngineProcess::start("4..8", &["--tokens-per-second", "10"]);
    let caller = Caller::default();
    let first = request(&engines, &PROMPT.repeat(5_000), 6);
    caller.start(&first).await.unwrap().rest().await;
    let path = format!("/v1/streams/{}/kv", first.stream);
    let snapshot: KvSnapshot = caller.get(&engines[1], &path).await;
    assert_eq!(snapshot.positions, 6);
    let refused = caller.call(&engines[0], Method::PUT, &path, &snapshot);
    assert_eq!(refused.await.0, StatusCode::CONFLICT);
    let imported = caller.call(&spare, Method::PUT, &path, &snapshot).await;
    assert_eq!(imported.0, StatusCode::NO_CONTENT);
    let progress = format!("/v1/streams/{}", first.stream);
    let progress: StreamProgress = caller.get(&spare, &progress).await;
    let expected = StreamProgress {
        attempt: Attempt(1),
        positions: 6,
        busy: false,
    };
    assert_eq!(progress, expected);
    engines[1] = spare;
    let second = StreamRequest {
        attempt: Attempt(2),
        chain: chain_of(&engines),
        tokens: expected_tokens(&first),
        max_tokens: 8,
        ..first
    };
    let mut answer = caller.start(&second).await.unwrap();
    assert_eq!(answer.next().await, Some(FrameBody::Started));
    assert_eq!(answer.tokens(2).await, expected_tokens(&second)[6..]);
}

#[tokio::test]
async fn waiting_work_of_high_priority_goes_first() {
    let engines = [EngineProcess::start("0..12", &["--slots", "1"])];
    let caller = Caller::default();
    let mut blocker = caller
        .start(&request(&engines, PROMPT, 100_000))
        .await
        .unwrap();
    blocker.tokens_after_start(1).await;
    let mut waiting = Vec::new();
    let mut streams = Vec::new();
    for priority in [Priority::Low, Priority::Normal, Priority::High] {
        let mut req = request(&engines, PROMPT, 2);
        req.priority = priority;
        waiting.push(caller.start(&req).await.unwrap());
        streams.push(req.stream);
    }
    let blocking = blocker.stream();
    drop(blocker);
    for answer in &mut waiting {
        answer.tokens_after_start(2).await;
    }
    let runs: Vec<RunRecord> = caller.get(&engines[0], "/control/runs").await;
    let mut order: Vec<_> = runs.iter().map(|run| run.stream).collect();
    order.retain(|stream| *stream != blocking);
    order.dedup();
    streams.reverse();
    assert_eq!(order, streams);
}

#[tokio::test]
async fn stalled_link_holds_a_stream_until_it_is_released() {
    let engines = three_engines(&[]);
    let caller = Caller::default();
    let set_stall = async |stall: bool| {
        let faults = json!({ "stall_links": stall });
        let set = caller.call(&engines[1], Method::PUT, "/control/faults", &faults);
        assert_eq!(set.await.0, StatusCode::NO_CONTENT);
    };
    set_stall(true).await;
    let req = request(&engines, PROMPT, 10);
    let mut answer = caller.start(&req).await.unwrap();
    let path = format!("/v1/streams/{}", req.stream);
    let held = async || loop {
        let (status, body) = caller.call(&engines[1], Method::GET, &path, &()).await;
        if status != StatusCode::OK {
            continue;
        }
        let progress: StreamProgress = serde_json::from_slice(&body).unwrap();
        if progress.positions == 1 && !progress.busy {
            return;
        }
    };
    tokio::time::timeout(WAIT_LIMIT, held()).await.unwrap();
    let (beyond, _) = caller.call(&engines[2], Method::GET, &path, &()).await;
    assert_eq!(beyond, StatusCode::NOT_FOUND);
    set_stall(false).await;
    assert_eq!(answer.tokens_after_start(10).await, expected_tokens(&req));
}

#[tokio::test]
async fn crash_marker_ends_the_process_that_runs_it() {
    let mut engines = three_engines(&[]);
    let caller = Caller::default();
    let faults = json!({"crash_on": "lintel"});
    let set = caller
        .call(&engines[2], Method::PUT, "/control/faults", &faults)
        .await;
    assert_eq!(set.0, StatusCode::NO_CONTENT);
    let req = request(&engines, "Describe the lintel.", 5);
    let rest = caller.start(&req).await.unwrap().rest().await;
    let lost = StageFailure::Lost {
        endpoint: engines[2].endpoint.clone(),
    };
    assert_eq!(rest, [FrameBody::Started, FrameBody::Failed(lost)]);
    assert_eq!(engines[2].exit_code(), Some(3));
    let req = request(&engines, "CRASH-ENGINE", 5);
    let mut answer = caller.start(&req).await.unwrap();
    assert_eq!(answer.next().await, Some(FrameBody::Started));
    assert!(answer.ends_with_error().await, "the head has exited");
    assert_eq!(engines[0].exit_code(), Some(3));
}
