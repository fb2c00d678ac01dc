//! Malformed input from callers.

use std::time::Duration;

use pistachioyard_standins::draft_request;
use pistachioyard_wire::ProblemKind;
use rand::Rng;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{DEPLOYMENT, Harness, expect_refusal, mutate, seeded_rng};

/// The time within which a connection that sent malformed bytes must be closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

fn valid_request() -> Value {
    let (workspace, _) = DEPLOYMENT.workspaces();
    let req = draft_request(DEPLOYMENT, workspace, "a note", 4).expect("the request is invalid");
    serde_json::to_value(req).expect("failed to serialise to JSON")
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_are_refused_and_do_no_harm() {
    let harness = Harness::start(false).await;
    refuse_wrong_values(&harness).await;
    refuse_wrong_operations(&harness).await;
    send_mutated_bodies(&harness).await;
    send_raw_bytes(&harness).await;
    harness.check_unharmed(1).await;
}

async fn refuse_wrong_values(harness: &Harness) {
    let wrong = [
        ("workspace", json!("nobody"), ProblemKind::NotConfigured),
        ("workspace", json!(""), ProblemKind::BadRequest),
        ("workspace", json!("a/b\n"), ProblemKind::BadRequest),
        ("workspace", json!(7), ProblemKind::BadRequest),
        ("model", json!("nothing"), ProblemKind::NotConfigured),
        ("adapter", json!("nothing"), ProblemKind::NotConfigured),
        ("max_tokens", json!(0), ProblemKind::BadRequest),
        ("max_tokens", json!(-1), ProblemKind::BadRequest),
        ("max_tokens", json!(u64::MAX), ProblemKind::BadRequest),
        ("priority", json!("highest"), ProblemKind::BadRequest),
        ("resume", json!("no token"), ProblemKind::BadRequest),
        ("received", json!([1, 2]), ProblemKind::BadRequest),
        ("unheard_of", json!(1), ProblemKind::BadRequest),
    ];
    for (field, value, kind) in wrong {
        let mut req = valid_request();
        req[field] = value.clone();
        let body = serde_json::to_vec(&req).expect("failed to serialise to JSON");
        let answer = harness.post("/v1/generate", &[], body).await;
        assert_eq!(expect_refusal(&answer).kind, kind, "{field} = {value}");
    }
    for body in ["", "{", "[]", "null", "\u{0}", "{\"workspace\":"] {
        let answer = harness.post("/v1/generate", &[], body.into()).await;
        assert_eq!(
            expect_refusal(&answer).kind,
            ProblemKind::BadRequest,
            "{body}"
        );
    }
    let deep = "[".repeat(100_000).into_bytes();
    let answer = harness.post("/v1/generate", &[], deep).await;
    assert_eq!(expect_refusal(&answer).kind, ProblemKind::BadRequest);
    let large = vec![b' '; 1_600_000];
    let answer = harness.post("/v1/generate", &[], large).await;
    assert_eq!(expect_refusal(&answer).kind, ProblemKind::BodyTooLarge);
}

async fn refuse_wrong_operations(harness: &Harness) {
    let (service, call) = DEPLOYMENT.service_call();
    let (workspace, _) = DEPLOYMENT.workspaces();
    let key = uuid::Uuid::now_v7().to_string();
    let valid = format!("/v1/operations/{service}?call={call}");
    let other = format!("/v1/operations/{service}?call=other");
    let odd = format!("/v1/operations/{service}?call=%00%2F");
    let cases = [
        (
            "/v1/operations/nothing",
            workspace,
            ProblemKind::NotConfigured,
        ),
        ("/v1/operations/%20", workspace, ProblemKind::BadRequest),
        (&other, workspace, ProblemKind::NotConfigured),
        (&odd, workspace, ProblemKind::BadRequest),
        (&valid, "nobody", ProblemKind::NotConfigured),
        (&valid, "\u{e9}", ProblemKind::BadRequest),
    ];
    for (path, workspace, kind) in cases {
        let headers = [("x-workspace", workspace), ("idempotency-key", &key)];
        let answer = harness.post(path, &headers, b"{}".to_vec()).await;
        assert_eq!(expect_refusal(&answer).kind, kind, "{path} of {workspace}");
    }
    let headers = [("idempotency-key", key.as_str())];
    let answer = harness.post(&valid, &headers, Vec::new()).await;
    assert_eq!(expect_refusal(&answer).kind, ProblemKind::BadRequest);
}

async fn send_mutated_bodies(harness: &Harness) {
    let mut rng = seeded_rng(1);
    let valid = serde_json::to_vec(&valid_request()).expect("failed to serialise to JSON");
    for round in 0..150 {
        let body = mutate(&mut rng, &valid);
        let answer = harness.post("/v1/generate", &[], body.clone()).await;
        let text = String::from_utf8_lossy(&body);
        assert!(
            answer.status.is_success() || answer.status.is_client_error(),
            "round {round}: {} to {text}",
            answer.status
        );
        if !answer.status.is_success() {
            expect_refusal(&answer);
        }
    }
}

async fn send_raw_bytes(harness: &Harness) {
    let mut rng = seeded_rng(2);
    let valid = b"POST /v1/generate HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n\
                 5\r\nhello\r\nzz\r\n";
    let mut inputs: Vec<Vec<u8>> = (0..60).map(|_| mutate(&mut rng, valid)).collect();
    inputs.push(valid.to_vec());
    let header = "x: ".to_owned() + &"a".repeat(2_000_000) + "\r\n\r\n";
    inputs.push([b"GET /healthz HTTP/1.1\r\n".as_slice(), header.as_bytes()].concat());
    inputs.push(b"POST /v1/generate HTTP/1.1\r\nhost: a\r\ncontent-length: 99\r\n\r\n{".to_vec());
    inputs.push((0..4_096).map(|_| rng.random()).collect());
    for input in inputs {
        let mut stream = TcpStream::connect(harness.caller_address(0))
            .await
            .expect("failed to connect");
        let _ = stream.write_all(&input).await;
        let _ = stream.shutdown().await;
        let mut answer = Vec::new();
        let read = stream.read_to_end(&mut answer);
        let ended = tokio::time::timeout(CLOSE_TIMEOUT, read).await;
        assert!(
            ended.is_ok(),
            "the connection stayed open after: {}",
            String::from_utf8_lossy(&input)
        );
    }
}
