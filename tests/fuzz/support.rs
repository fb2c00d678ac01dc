//! The harness of the fuzz tests: a small cluster, seeded mutations and the final checks.

use std::net::SocketAddr;
use std::time::Duration;

use pistachioyard_standins::{
    Caller, Cluster, ClusterPlan, ClusterSize, Deployment, HttpAnswer, draft_request,
};
use pistachioyard_wire::{
    ApplyAnswer, ApplyId, ApplyRequest, ForceStatus, OperationKey, Outcome, Problem, Revision,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::{Semaphore, SemaphorePermit};
use uuid::Uuid;

/// The default timeout of waits, generous enough for a busy machine.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
pub(crate) const DEPLOYMENT: Deployment = Deployment::CradleCount;
const SEED: u64 = 0x70_69_73_74;

/// Limits how many clusters run at the same time.
static CLUSTER_PERMITS: Semaphore = Semaphore::const_new(2);

pub(crate) fn seeded_rng(stream: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    rng.set_stream(stream);
    rng
}

/// Truncates, flips, replaces, inserts or duplicates bytes at random positions.
pub(crate) fn mutate(rng: &mut ChaCha8Rng, valid: &[u8]) -> Vec<u8> {
    let mut buf = valid.to_vec();
    for _ in 0..rng.random_range(1..4) {
        if buf.is_empty() {
            break;
        }
        let pos = rng.random_range(0..buf.len());
        match rng.random_range(0..5) {
            0 => buf.truncate(pos),
            1 => buf[pos] ^= 1 << rng.random_range(0..8),
            2 => buf[pos] = rng.random(),
            3 => buf.insert(pos, rng.random()),
            _ => {
                let part = buf[pos..].to_vec();
                buf.extend(part);
            }
        }
    }
    buf
}

/// A running cluster of two entries.
pub(crate) struct Harness {
    pub(crate) cluster: Cluster,
    _permit: SemaphorePermit<'static>,
}

impl Harness {
    pub(crate) async fn start(is_proxied: bool) -> Self {
        let permit = CLUSTER_PERMITS
            .acquire()
            .await
            .expect("the semaphore was closed");
        let mut plan = ClusterPlan::new(DEPLOYMENT, ClusterSize::Small);
        plan.entries = 2;
        plan.is_proxied = is_proxied;
        let cluster = Cluster::start(plan)
            .await
            .expect("the cluster did not start");
        Self {
            cluster,
            _permit: permit,
        }
    }

    pub(crate) fn caller_address(&self, entry: usize) -> SocketAddr {
        self.cluster.entries[entry].caller
    }

    pub(crate) async fn post(
        &self,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> HttpAnswer {
        let answer = self
            .cluster
            .client
            .post(self.caller_address(0), path, headers, body);
        answer.await.expect("the request failed")
    }

    pub(crate) async fn status(&self, entry: usize) -> ForceStatus {
        let status = self.cluster.status(self.caller_address(entry)).await;
        status.expect("failed to read the status")
    }

    /// Checks that the cluster is unharmed: each entry is ready, has not panicked, has
    /// `revision` in force, gives correct answers and runs an operation, and the next
    /// configuration file can be applied.
    pub(crate) async fn check_unharmed(&self, revision: u64) {
        self.cluster
            .wait_ready()
            .await
            .expect("the cluster did not become ready");
        for entry in 0..2 {
            let log = self.cluster.entries[entry].child.log();
            assert!(!log.contains("panicked"), "{log}");
            assert_eq!(self.status(entry).await.revision, Revision(revision));
            let (workspace, _) = DEPLOYMENT.workspaces();
            let req = draft_request(DEPLOYMENT, workspace, "a roster", 8)
                .expect("the request is invalid");
            let answer = Caller::default()
                .generate(self.caller_address(entry), &req, |_| {})
                .await;
            assert!(answer.is_correct(DEPLOYMENT, &req), "{:?}", answer.end);
            let key = OperationKey::try_from(Uuid::now_v7()).expect("the key is not a UUIDv7");
            let (_, call) = DEPLOYMENT.service_call();
            let operation = Caller::default()
                .operate(
                    self.caller_address(entry),
                    DEPLOYMENT,
                    call,
                    Some(key),
                    "{}",
                )
                .await
                .expect("the request failed");
            assert!(operation.is_ok(), "{operation:?}");
        }
        let req = ApplyRequest {
            apply: ApplyId::generate(),
            base: Revision(revision),
            text: DEPLOYMENT.config_text().to_owned(),
        };
        let answer: ApplyAnswer = self
            .cluster
            .client
            .post_json(self.caller_address(1), "/v1/config", &req)
            .await
            .expect("the request failed");
        let next = Revision(revision + 1);
        assert_eq!(answer, ApplyAnswer::Accepted { revision: next });
        let first = self.caller_address(0);
        pistachioyard_standins::wait_until(
            WAIT_TIMEOUT,
            "the next revision to be in force",
            || async {
                let status = self.cluster.status(first).await;
                status.is_ok_and(|status| status.revision == next)
            },
        )
        .await
        .expect("the next revision did not come into force");
    }
}

/// Checks that an answer is a refusal as problem JSON that states that nothing ran.
#[track_caller]
pub(crate) fn expect_refusal(answer: &HttpAnswer) -> Problem {
    let text = String::from_utf8_lossy(&answer.body);
    assert!(answer.status.is_client_error(), "{}: {text}", answer.status);
    let kind = answer.headers.get("content-type");
    let kind = kind.and_then(|kind| kind.to_str().ok());
    assert_eq!(kind, Some("application/problem+json"), "{text}");
    let problem: Problem = serde_json::from_slice(&answer.body).expect("the body is not a problem");
    assert_eq!(problem.outcome, Outcome::NotRun, "{problem:?}");
    assert_eq!(problem.status, answer.status.as_u16());
    problem
}
