//! A test fixture: a small cluster without engines, and the effects that its services count.

use std::time::Duration;

use http::Method;
use pistachioyard_policy::LedgerLayout;
use pistachioyard_standins::{
    CallCounts, Caller, Cluster, ClusterError, ClusterPlan, ClusterSize, Deployment, EffectRecord,
    PlatformFaults, ServiceFaults, wait_until,
};
use pistachioyard_wire::{OperationKey, OperationOutcome, Outcome, Problem};
use tokio::sync::{Semaphore, SemaphorePermit};
use uuid::Uuid;

/// The timeout of every wait.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(40);

/// Limits how many clusters run at the same time.
static CLUSTER_PERMITS: Semaphore = Semaphore::const_new(2);

/// The result of a request; `None` if the connection broke.
pub(crate) type CallResult = Option<Result<OperationOutcome, Problem>>;

/// Holds a running cluster.
pub(crate) struct Fixture {
    pub(crate) cluster: Cluster,
    pub(crate) deployment: Deployment,
    _permit: SemaphorePermit<'static>,
}

impl Fixture {
    /// Starts a cluster with this number of entries.
    pub(crate) async fn start(deployment: Deployment, entries: usize) -> Self {
        let permit = CLUSTER_PERMITS
            .acquire()
            .await
            .expect("the semaphore was closed");
        let mut plan = ClusterPlan::new(deployment, ClusterSize::Small);
        plan.engines.clear();
        plan.entries = entries;
        let cluster = Cluster::start(plan)
            .await
            .expect("the cluster did not start");
        Self {
            cluster,
            deployment,
            _permit: permit,
        }
    }

    /// Sends the deployment's operation that is not idempotent.
    pub(crate) async fn operate(&self, entry: usize, key: OperationKey, body: &str) -> CallResult {
        self.sender(entry)(key, body.to_owned()).await
    }

    /// Returns a function that sends operations to an entry and does not borrow the cluster.
    pub(crate) fn sender(
        &self,
        entry: usize,
    ) -> impl Fn(OperationKey, String) -> futures_util::future::BoxFuture<'static, CallResult>
    + Clone
    + use<> {
        let address = self.cluster.entries[entry].caller;
        let deployment = self.deployment;
        move |key, body| {
            Box::pin(async move {
                let (_, call) = deployment.service_call();
                let answer = Caller::default()
                    .operate(address, deployment, call, Some(key), &body)
                    .await;
                match answer {
                    Ok(result) => Some(result),
                    Err(ClusterError::Json(e)) => panic!("the response body cannot be parsed: {e}"),
                    Err(_) => None,
                }
            })
        }
    }

    /// Reads the recorded outcome of a key from an entry.
    pub(crate) async fn recorded(
        &self,
        entry: usize,
        key: OperationKey,
    ) -> Result<OperationOutcome, Problem> {
        let address = self.cluster.entries[entry].caller;
        let path = format!("/v1/operations/{key}");
        let answer = self
            .cluster
            .client
            .send(Method::GET, address, &path, &[], bytes::Bytes::new())
            .await
            .expect("the entry did not respond");
        if answer.status.is_success() {
            Ok(answer.json().expect("the body is not an outcome"))
        } else {
            Err(serde_json::from_slice(&answer.body).expect("the body is not a problem"))
        }
    }

    /// Returns how often a key took effect, summed over all services that still run.
    pub(crate) async fn effects(&self, key: OperationKey) -> u64 {
        let mut total = 0;
        for service in &self.cluster.services {
            let effects = self
                .cluster
                .client
                .get_json(service.address, "/control/effects")
                .await;
            let effects: Vec<EffectRecord> = effects.unwrap_or_default();
            total += effects
                .iter()
                .filter(|effect| effect.key.as_deref() == Some(&key.to_string()))
                .map(|effect| effect.count)
                .sum::<u64>();
        }
        total
    }

    /// Returns the number of writes that the platform has received.
    pub(crate) async fn writes(&self) -> u64 {
        self.counts().await.writes
    }

    /// Returns the number of writes that the platform has received for the pages of a key's time
    /// bucket. Other writes, such as those of leases and cursors, are not counted.
    pub(crate) async fn claim_writes(&self, key: OperationKey) -> u64 {
        let page = LedgerLayout::default().page_key(key);
        let (parent, _) = page.0.rsplit_once('/').expect("the page key has no parent");
        let counts = self.counts().await.writes_under;
        counts.get(parent).copied().unwrap_or_default()
    }

    async fn counts(&self) -> CallCounts {
        let counts = self
            .cluster
            .client
            .get_json(self.cluster.platform, "/control/counts");
        counts.await.expect("failed to read the platform's counts")
    }

    /// Waits until the platform has received more writes of claims than `before`.
    pub(crate) async fn wait_for_claim_write(&self, key: OperationKey, before: u64) {
        wait_until(TIMEOUT, "the write of a claim", || async {
            self.claim_writes(key).await > before
        })
        .await
        .expect("the platform received no new write");
    }

    /// Waits until a key has taken effect.
    pub(crate) async fn wait_for_effect(&self, key: OperationKey) {
        wait_until(TIMEOUT, "the operation to take effect", || async {
            self.effects(key).await > 0
        })
        .await
        .expect("the operation did not take effect");
    }

    /// Waits until an entry returns the recorded outcome of a key.
    pub(crate) async fn wait_until_recorded(&self, entry: usize, key: OperationKey) {
        wait_until(TIMEOUT, "the outcome to be recorded", || async {
            self.recorded(entry, key).await.is_ok()
        })
        .await
        .expect("the outcome was not recorded");
    }

    /// Sets the faults of the platform, which replace earlier ones.
    pub(crate) async fn set_platform_faults(&self, faults: PlatformFaults) {
        self.cluster
            .set_platform_faults(&faults)
            .await
            .expect("the platform rejected the faults");
    }

    /// Sets the faults of all services, which replace earlier ones.
    pub(crate) async fn set_service_faults(&self, faults: ServiceFaults) {
        for service in &self.cluster.services {
            let _: () = self
                .cluster
                .client
                .put_json(service.address, "/control/faults", &faults)
                .await
                .expect("the service rejected the faults");
        }
    }

    /// Waits until an entry is ready and has exactly this number of usable services.
    pub(crate) async fn wait_for_usable_services(&self, entry: usize, count: u32) {
        let address = self.cluster.entries[entry].caller;
        wait_until(
            TIMEOUT,
            "the expected number of usable services",
            || async {
                let status = self.cluster.status(address).await;
                status.is_ok_and(|s| s.ready && s.usable_endpoints == count)
            },
        )
        .await
        .expect("the entry has another number of usable services");
    }
}

/// Returns a new key with the current time.
pub(crate) fn new_key() -> OperationKey {
    OperationKey::try_from(Uuid::now_v7()).expect("the key is not a UUIDv7")
}

/// Returns a new key whose timestamp lies `age` in the past.
pub(crate) fn key_with_age(age: Duration) -> OperationKey {
    let now = std::time::SystemTime::now();
    let since = now
        .duration_since(std::time::UNIX_EPOCH)
        .expect("the clock is earlier than the Unix epoch");
    let created = since - age;
    let time =
        uuid::Timestamp::from_unix(uuid::NoContext, created.as_secs(), created.subsec_nanos());
    OperationKey::try_from(Uuid::new_v7(time)).expect("the key is not a UUIDv7")
}

/// Returns the outcome that a caller can rely on; it is unknown if the connection broke.
pub(crate) fn outcome(result: &CallResult) -> Outcome {
    match result {
        Some(Ok(outcome)) => outcome.outcome,
        Some(Err(problem)) => problem.outcome,
        None => Outcome::Unknown,
    }
}

/// Checks that the number of effects agrees with the result of a single request.
#[track_caller]
pub(crate) fn check_effects(result: &CallResult, effects: u64) {
    assert!(
        effects <= 1,
        "{effects} effects, expected at most 1: {result:?}"
    );
    match outcome(result) {
        Outcome::Done => assert_eq!(
            effects, 1,
            "the outcome is `done`, but the operation took no effect: {result:?}"
        ),
        Outcome::NotRun => assert_eq!(
            effects, 0,
            "the outcome is `not_run`, but the operation took effect: {result:?}"
        ),
        Outcome::Unknown | Outcome::Failed => {}
    }
}

/// Returns a duration of this number of milliseconds.
pub(crate) fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
