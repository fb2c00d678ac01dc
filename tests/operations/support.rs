//! A small cluster without engines, and what the services counted.

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

/// A generous bound on anything that is waited for.
pub(crate) const LONG: Duration = Duration::from_secs(40);

/// The clusters that run at the same time.
static CLUSTERS: Semaphore = Semaphore::const_new(2);

/// What a request came to; none where the connection broke.
pub(crate) type Told = Option<Result<OperationOutcome, Problem>>;

/// A running cluster.
pub(crate) struct Bench {
    pub(crate) cluster: Cluster,
    pub(crate) deployment: Deployment,
    _permit: SemaphorePermit<'static>,
}

impl Bench {
    pub(crate) async fn start(deployment: Deployment, entries: usize) -> Self {
        let permit = CLUSTERS.acquire().await.expect("it is never closed");
        let mut plan = ClusterPlan::new(deployment, ClusterSize::Small);
        plan.engines.clear();
        plan.entries = entries;
        let cluster = Cluster::start(plan).await.expect("a cluster that is ready");
        Self {
            cluster,
            deployment,
            _permit: permit,
        }
    }

    /// Sends the operation that may not be repeated.
    pub(crate) async fn operate(&self, entry: usize, key: OperationKey, body: &str) -> Told {
        self.sender(entry)(key, body.to_owned()).await
    }

    /// Returns what sends operations to an entry, free of the cluster's lifetime.
    pub(crate) fn sender(
        &self,
        entry: usize,
    ) -> impl Fn(OperationKey, String) -> futures_util::future::BoxFuture<'static, Told> + Clone + use<>
    {
        let address = self.cluster.entries[entry].caller;
        let deployment = self.deployment;
        move |key, body| {
            Box::pin(async move {
                let (_, call) = deployment.service_call();
                let answer = Caller::default()
                    .operate(address, deployment, call, Some(key), &body)
                    .await;
                match answer {
                    Ok(told) => Some(told),
                    Err(ClusterError::Json(e)) => panic!("the answer is no problem document: {e}"),
                    Err(_) => None,
                }
            })
        }
    }

    /// Asks an entry what became of a key.
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
            .expect("an answer");
        if answer.status.is_success() {
            Ok(answer.json().expect("an outcome"))
        } else {
            Err(serde_json::from_slice(&answer.body).expect("a problem"))
        }
    }

    /// Returns how often a key took effect, over all services that still run.
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

    /// Returns how many writes the platform has been asked for.
    pub(crate) async fn writes(&self) -> u64 {
        self.counts().await.writes
    }

    /// Returns how many writes the platform has been asked for of the pages that may
    /// hold a key's claim; entries write leases and cursors in between.
    pub(crate) async fn claim_writes(&self, key: OperationKey) -> u64 {
        let page = LedgerLayout::default().page_key(key);
        let (parent, _) = page.0.rsplit_once('/').expect("a page has a parent");
        let counts = self.counts().await.writes_under;
        counts.get(parent).copied().unwrap_or_default()
    }

    async fn counts(&self) -> CallCounts {
        let counts = self
            .cluster
            .client
            .get_json(self.cluster.platform, "/control/counts");
        counts.await.expect("the counts")
    }

    /// Waits until the platform has been asked for more writes of claims than before.
    pub(crate) async fn wait_for_claim_write(&self, key: OperationKey, before: u64) {
        wait_until(LONG, "a claim's write", || async {
            self.claim_writes(key).await > before
        })
        .await
        .expect("the platform is asked");
    }

    /// Waits until a key has taken effect.
    pub(crate) async fn wait_for_effect(&self, key: OperationKey) {
        wait_until(LONG, "an effect", || async { self.effects(key).await > 0 })
            .await
            .expect("the operation takes effect");
    }

    /// Waits until an entry sees the outcome of a key recorded.
    pub(crate) async fn wait_until_recorded(&self, entry: usize, key: OperationKey) {
        wait_until(LONG, "a recorded outcome", || async {
            self.recorded(entry, key).await.is_ok()
        })
        .await
        .expect("the outcome is recorded");
    }

    pub(crate) async fn platform(&self, faults: PlatformFaults) {
        self.cluster
            .set_platform_faults(&faults)
            .await
            .expect("the platform takes faults");
    }

    pub(crate) async fn services(&self, faults: ServiceFaults) {
        for service in &self.cluster.services {
            let _: () = self
                .cluster
                .client
                .put_json(service.address, "/control/faults", &faults)
                .await
                .expect("the service takes faults");
        }
    }

    /// Waits until an entry gives new work to this many services.
    pub(crate) async fn wait_usable(&self, entry: usize, count: u32) {
        let address = self.cluster.entries[entry].caller;
        wait_until(LONG, "usable services", || async {
            let status = self.cluster.status(address).await;
            status.is_ok_and(|s| s.ready && s.usable_endpoints == count)
        })
        .await
        .expect("the services are seen");
    }
}

/// Makes a key of now.
pub(crate) fn new_key() -> OperationKey {
    OperationKey::try_from(Uuid::now_v7()).expect("it is a UUIDv7")
}

/// Makes a key whose time is so long ago.
pub(crate) fn key_of_age(age: Duration) -> OperationKey {
    let now = std::time::SystemTime::now();
    let since = now
        .duration_since(std::time::UNIX_EPOCH)
        .expect("the clock is past 1970");
    let created = since - age;
    let time =
        uuid::Timestamp::from_unix(uuid::NoContext, created.as_secs(), created.subsec_nanos());
    OperationKey::try_from(Uuid::new_v7(time)).expect("it is a UUIDv7")
}

/// Returns what a caller may rely on; a broken connection leaves it open.
pub(crate) fn outcome(told: &Told) -> Outcome {
    match told {
        Some(Ok(outcome)) => outcome.outcome,
        Some(Err(problem)) => problem.outcome,
        None => Outcome::Unknown,
    }
}

/// Checks a single request against the effects that followed it.
#[track_caller]
pub(crate) fn check(told: &Told, effects: u64) {
    assert!(effects <= 1, "{effects} effects after {told:?}");
    match outcome(told) {
        Outcome::Done => assert_eq!(effects, 1, "done without an effect: {told:?}"),
        Outcome::NotRun => assert_eq!(effects, 0, "not run, but it took effect: {told:?}"),
        Outcome::Unknown | Outcome::Failed => {}
    }
}

pub(crate) fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
