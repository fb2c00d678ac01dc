//! A small cluster, seeded damage, and the checks after it.

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

/// A generous bound on anything that is waited for.
pub(crate) const LONG: Duration = Duration::from_secs(40);
pub(crate) const DEPLOYMENT: Deployment = Deployment::CradleCount;
const SEED: u64 = 0x70_69_73_74;

/// The clusters that run at the same time.
static CLUSTERS: Semaphore = Semaphore::const_new(2);

pub(crate) fn seeded(stream: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    rng.set_stream(stream);
    rng
}

/// Cuts, flips, doubles or replaces a part of some bytes.
pub(crate) fn damage(rng: &mut ChaCha8Rng, good: &[u8]) -> Vec<u8> {
    let mut buf = good.to_vec();
    for _ in 0..rng.random_range(1..4) {
        if buf.is_empty() {
            break;
        }
        let place = rng.random_range(0..buf.len());
        match rng.random_range(0..5) {
            0 => buf.truncate(place),
            1 => buf[place] ^= 1 << rng.random_range(0..8),
            2 => buf[place] = rng.random(),
            3 => buf.insert(place, rng.random()),
            _ => {
                let part = buf[place..].to_vec();
                buf.extend(part);
            }
        }
    }
    buf
}

/// A running cluster of two entries.
pub(crate) struct Bench {
    pub(crate) cluster: Cluster,
    _permit: SemaphorePermit<'static>,
}

impl Bench {
    pub(crate) async fn start(is_proxied: bool) -> Self {
        let permit = CLUSTERS.acquire().await.expect("it is never closed");
        let mut plan = ClusterPlan::new(DEPLOYMENT, ClusterSize::Small);
        plan.entries = 2;
        plan.is_proxied = is_proxied;
        let cluster = Cluster::start(plan).await.expect("a cluster that is ready");
        Self {
            cluster,
            _permit: permit,
        }
    }

    pub(crate) fn caller(&self, entry: usize) -> SocketAddr {
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
            .post(self.caller(0), path, headers, body);
        answer.await.expect("an answer")
    }

    pub(crate) async fn status(&self, entry: usize) -> ForceStatus {
        let status = self.cluster.status(self.caller(entry)).await;
        status.expect("a status")
    }

    /// Checks that nothing was lost: the entries are ready with the revision, give
    /// right answers, run an operation once, and take the next file.
    pub(crate) async fn check(&self, revision: u64) {
        self.cluster.wait_ready().await.expect("all are ready");
        for entry in 0..2 {
            let log = self.cluster.entries[entry].child.log();
            assert!(!log.contains("panicked"), "{log}");
            assert_eq!(self.status(entry).await.revision, Revision(revision));
            let (workspace, _) = DEPLOYMENT.workspaces();
            let req = draft_request(DEPLOYMENT, workspace, "a roster", 8).expect("it is valid");
            let answer = Caller::default()
                .generate(self.caller(entry), &req, |_| {})
                .await;
            assert!(answer.is_correct(DEPLOYMENT, &req), "{:?}", answer.end);
            let key = OperationKey::try_from(Uuid::now_v7()).expect("it is a UUIDv7");
            let (_, call) = DEPLOYMENT.service_call();
            let told = Caller::default()
                .operate(self.caller(entry), DEPLOYMENT, call, Some(key), "{}")
                .await
                .expect("an answer");
            assert!(told.is_ok(), "{told:?}");
        }
        let req = ApplyRequest {
            apply: ApplyId::generate(),
            base: Revision(revision),
            text: DEPLOYMENT.config_text().to_owned(),
        };
        let answer: ApplyAnswer = self
            .cluster
            .client
            .post_json(self.caller(1), "/v1/config", &req)
            .await
            .expect("an answer");
        let next = Revision(revision + 1);
        assert_eq!(answer, ApplyAnswer::Accepted { revision: next });
        let first = self.caller(0);
        pistachioyard_standins::wait_until(LONG, "the next revision", || async {
            let status = self.cluster.status(first).await;
            status.is_ok_and(|status| status.revision == next)
        })
        .await
        .expect("the next revision is in force");
    }
}

/// Checks that an answer is a refusal in the stated form, and returns it.
#[track_caller]
pub(crate) fn refusal(answer: &HttpAnswer) -> Problem {
    let text = String::from_utf8_lossy(&answer.body);
    assert!(answer.status.is_client_error(), "{}: {text}", answer.status);
    let kind = answer.headers.get("content-type");
    let kind = kind.and_then(|kind| kind.to_str().ok());
    assert_eq!(kind, Some("application/problem+json"), "{text}");
    let problem: Problem = serde_json::from_slice(&answer.body).expect("a problem");
    assert_eq!(problem.outcome, Outcome::NotRun, "{problem:?}");
    assert_eq!(problem.status, answer.status.as_u16());
    problem
}
