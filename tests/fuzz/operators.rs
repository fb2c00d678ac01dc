//! Malformed input from operators.

use pistachioyard_wire::{ApplyAnswer, ApplyId, ApplyRequest, ProblemKind, Revision};

use crate::support::{DEPLOYMENT, Harness, expect_refusal, mutate, seeded_rng};

#[tokio::test(flavor = "multi_thread")]
async fn malformed_files_are_refused_and_change_nothing() {
    let harness = Harness::start(false).await;
    let valid = ApplyRequest {
        apply: ApplyId::generate(),
        base: Revision(0),
        text: DEPLOYMENT.config_text().to_owned(),
    };
    let apply = async |req: &ApplyRequest| -> ApplyAnswer {
        let body = serde_json::to_vec(req).expect("failed to serialise to JSON");
        let answer = harness.post("/v1/config", &[], body).await;
        answer.json().expect("the body is not an apply answer")
    };
    let conflict = ApplyAnswer::Conflict {
        revision: Revision(1),
    };
    for base in [0, 2, u64::MAX] {
        let base = Revision(base);
        let req = ApplyRequest {
            base,
            ..valid.clone()
        };
        assert_eq!(apply(&req).await, conflict);
    }
    let mut rng = seeded_rng(3);
    for _ in 0..150 {
        let text = mutate(&mut rng, valid.text.as_bytes());
        let text = String::from_utf8_lossy(&text).into_owned();
        let answer = apply(&ApplyRequest {
            text,
            ..valid.clone()
        })
        .await;
        let is_refused = matches!(answer, ApplyAnswer::Rejected { .. }) || answer == conflict;
        assert!(is_refused, "{answer:?}");
    }
    let padding = "#".repeat(450_000);
    let large = ApplyRequest {
        base: Revision(1),
        text: format!("{}\n{padding}", valid.text),
        ..valid.clone()
    };
    assert!(matches!(apply(&large).await, ApplyAnswer::Rejected { .. }));
    let body = serde_json::to_vec(&valid).expect("failed to serialise to JSON");
    for len in [0, 1, body.len() / 2, body.len() - 1] {
        let answer = harness.post("/v1/config", &[], body[..len].to_vec()).await;
        assert_eq!(expect_refusal(&answer).kind, ProblemKind::BadRequest);
    }
    let answer = harness.post("/v1/config", &[], vec![b' '; 1_600_000]).await;
    assert_eq!(expect_refusal(&answer).kind, ProblemKind::BodyTooLarge);
    harness.check_unharmed(1).await;
}
