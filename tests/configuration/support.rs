//! A test fixture: a small cluster, and configuration files to apply to it.

use std::net::SocketAddr;
use std::time::Duration;

use pistachioyard_standins::{
    Caller, Cluster, ClusterPlan, ClusterSize, Deployment, FaultKind, FaultRule, PlatformFaults,
    wait_until,
};
use pistachioyard_wire::{
    AcceptedConfig, ApplyAnswer, ApplyId, ApplyRequest, OperationKey, OperationOutcome, Problem,
    Revision,
};
use tokio::sync::{Semaphore, SemaphorePermit};
use uuid::Uuid;

/// The timeout of waits that have no stated limit.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(40);
/// The time within which an accepted configuration must be in force everywhere.
pub(crate) const IN_FORCE_LIMIT: Duration = Duration::from_secs(3);
/// The deployment that all tests run.
pub(crate) const DEPLOYMENT: Deployment = Deployment::Obnova;

/// Limits how many clusters run at the same time.
static CLUSTER_PERMITS: Semaphore = Semaphore::const_new(2);

/// Holds a running cluster.
pub(crate) struct Fixture {
    pub(crate) cluster: Cluster,
    _permit: SemaphorePermit<'static>,
}

impl Fixture {
    /// Starts a cluster, with a fault-injecting proxy between its processes if `is_proxied`.
    pub(crate) async fn start(entries: usize, is_proxied: bool) -> Self {
        let permit = CLUSTER_PERMITS
            .acquire()
            .await
            .expect("the semaphore was closed");
        let mut plan = ClusterPlan::new(DEPLOYMENT, ClusterSize::Small);
        plan.engines.clear();
        plan.entries = entries;
        plan.is_proxied = is_proxied;
        let cluster = Cluster::start(plan)
            .await
            .expect("the cluster did not start");
        Self {
            cluster,
            _permit: permit,
        }
    }

    /// Returns the caller address of an entry.
    pub(crate) fn caller(&self, entry: usize) -> SocketAddr {
        self.cluster.entries[entry].caller
    }

    /// Sends a request to apply a file to an entry.
    pub(crate) async fn apply(&self, entry: usize, req: &ApplyRequest) -> ApplyAnswer {
        self.cluster
            .client
            .post_json(self.caller(entry), "/v1/config", req)
            .await
            .expect("the entry did not respond")
    }

    /// Reads the configuration in force from an entry.
    pub(crate) async fn config(&self, entry: usize) -> AcceptedConfig {
        self.cluster
            .client
            .get_json(self.caller(entry), "/v1/config")
            .await
            .expect("the entry did not respond")
    }

    /// Waits until an entry has this revision or a later one in force.
    pub(crate) async fn wait_for_revision(&self, entry: usize, revision: u64, within: Duration) {
        let what = format!("revision {revision} to be in force at entry {entry}");
        let address = self.caller(entry);
        wait_until(within, &what, || async {
            let status = self.cluster.status(address).await;
            status.is_ok_and(|status| status.revision >= Revision(revision))
        })
        .await
        .expect("the revision did not come into force");
    }

    /// Waits until an entry is ready for new requests, or not ready if `ready` is false.
    pub(crate) async fn wait_for_readiness(&self, entry: usize, ready: bool, within: Duration) {
        let what = format!("entry {entry} to report ready = {ready}");
        let address = self.caller(entry);
        wait_until(within, &what, || async {
            let status = self.cluster.status(address).await;
            status.is_ok_and(|status| status.ready == ready)
        })
        .await
        .expect("the entry did not change its readiness");
    }

    /// Starts or ends an outage of the platform, and ends all its other faults.
    pub(crate) async fn set_platform_down(&self, down: bool) {
        let faults = PlatformFaults {
            down,
            ..PlatformFaults::default()
        };
        self.cluster
            .set_platform_faults(&faults)
            .await
            .expect("the platform rejected the faults");
    }

    /// Returns the proxy rules that isolate an entry: the first one cuts its outgoing connections,
    /// the second one those of its peers to it.
    pub(crate) fn isolation_rules(&self, entry: usize) -> Vec<FaultRule> {
        let entry = &self.cluster.entries[entry];
        vec![
            FaultRule {
                from: Some(entry.caller.ip().to_string()),
                to: None,
                kind: FaultKind::Cut,
            },
            FaultRule {
                from: None,
                to: Some(entry.advertised_peer),
                kind: FaultKind::Cut,
            },
        ]
    }

    /// Sends a non-idempotent operation on behalf of the large workspace.
    pub(crate) async fn operate(&self, entry: usize) -> Result<OperationOutcome, Problem> {
        let key = OperationKey::try_from(Uuid::now_v7()).expect("the key is not a UUIDv7");
        let (_, call) = DEPLOYMENT.service_call();
        Caller::default()
            .operate(self.caller(entry), DEPLOYMENT, call, Some(key), "{}")
            .await
            .expect("the entry did not respond")
    }
}

/// Returns a request to replace the revision `base` with the example file, in which the large
/// workspace has this weight.
pub(crate) fn apply_request(base: u64, weight: u32) -> ApplyRequest {
    ApplyRequest {
        apply: ApplyId::generate(),
        base: Revision(base),
        text: config_text_with_weight(weight),
    }
}

/// Returns the example file with this weight for its large workspace, by which the tests tell
/// files apart.
pub(crate) fn config_text_with_weight(weight: u32) -> String {
    let (large, _) = DEPLOYMENT.workspaces();
    let old = format!("[workspaces.{large}]\nweight = 8\n");
    let text = DEPLOYMENT.config_text();
    assert!(text.contains(&old));
    text.replace(&old, &format!("[workspaces.{large}]\nweight = {weight}\n"))
}

/// Returns the example file, in which the large workspace may use no service.
pub(crate) fn config_text_without_service() -> String {
    let (large, _) = DEPLOYMENT.workspaces();
    let mut table: toml::Table = DEPLOYMENT
        .config_text()
        .parse()
        .expect("the example file is not valid TOML");
    let workspace = table["workspaces"][large]
        .as_table_mut()
        .expect("the workspace is not a table");
    let services = toml::Value::Array(Vec::new());
    workspace.insert("services".to_owned(), services);
    table.to_string()
}

/// Returns the answer that the file was accepted as this revision.
pub(crate) fn accepted(revision: u64) -> ApplyAnswer {
    ApplyAnswer::Accepted {
        revision: Revision(revision),
    }
}
