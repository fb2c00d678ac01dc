//! A small cluster, and files to apply to it.

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

/// A generous bound on anything that is waited for.
pub(crate) const LONG: Duration = Duration::from_secs(40);
/// The stated time in which a configuration is in force everywhere.
pub(crate) const IN_FORCE: Duration = Duration::from_secs(3);
pub(crate) const DEPLOYMENT: Deployment = Deployment::Obnova;

/// The clusters that run at the same time.
static CLUSTERS: Semaphore = Semaphore::const_new(2);

/// A running cluster.
pub(crate) struct Bench {
    pub(crate) cluster: Cluster,
    _permit: SemaphorePermit<'static>,
}

impl Bench {
    pub(crate) async fn start(entries: usize, is_proxied: bool) -> Self {
        let permit = CLUSTERS.acquire().await.expect("it is never closed");
        let mut plan = ClusterPlan::new(DEPLOYMENT, ClusterSize::Small);
        plan.engines.clear();
        plan.entries = entries;
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

    pub(crate) async fn apply(&self, entry: usize, req: &ApplyRequest) -> ApplyAnswer {
        self.cluster
            .client
            .post_json(self.caller(entry), "/v1/config", req)
            .await
            .expect("an answer")
    }

    pub(crate) async fn config(&self, entry: usize) -> AcceptedConfig {
        self.cluster
            .client
            .get_json(self.caller(entry), "/v1/config")
            .await
            .expect("an answer")
    }

    /// Waits until an entry has at least a revision in force.
    pub(crate) async fn wait_revision(&self, entry: usize, revision: u64, within: Duration) {
        let what = format!("revision {revision} at entry {entry}");
        let address = self.caller(entry);
        wait_until(within, &what, || async {
            let status = self.cluster.status(address).await;
            status.is_ok_and(|status| status.revision >= Revision(revision))
        })
        .await
        .expect("the revision is in force");
    }

    /// Waits until an entry does, or does not, take new work.
    pub(crate) async fn wait_ready(&self, entry: usize, ready: bool, within: Duration) {
        let what = format!("entry {entry} to be ready: {ready}");
        let address = self.caller(entry);
        wait_until(within, &what, || async {
            let status = self.cluster.status(address).await;
            status.is_ok_and(|status| status.ready == ready)
        })
        .await
        .expect("the entry's readiness");
    }

    pub(crate) async fn platform_down(&self, down: bool) {
        let faults = PlatformFaults {
            down,
            ..PlatformFaults::default()
        };
        self.cluster
            .set_platform_faults(&faults)
            .await
            .expect("the platform takes faults");
    }

    /// Returns the rules that cut an entry off from all that it calls and that
    /// calls it.
    pub(crate) fn isolate(&self, entry: usize) -> Vec<FaultRule> {
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

    /// Sends an operation of the large workspace that may be repeated or not.
    pub(crate) async fn operate(&self, entry: usize) -> Result<OperationOutcome, Problem> {
        let key = OperationKey::try_from(Uuid::now_v7()).expect("it is a UUIDv7");
        let (_, call) = DEPLOYMENT.service_call();
        Caller::default()
            .operate(self.caller(entry), DEPLOYMENT, call, Some(key), "{}")
            .await
            .expect("an answer")
    }
}

/// Asks to follow a revision with the example file, marked by a workspace's weight.
pub(crate) fn request(base: u64, mark: u32) -> ApplyRequest {
    ApplyRequest {
        apply: ApplyId::generate(),
        base: Revision(base),
        text: marked_text(mark),
    }
}

pub(crate) fn marked_text(mark: u32) -> String {
    let (large, _) = DEPLOYMENT.workspaces();
    let old = format!("[workspaces.{large}]\nweight = 8\n");
    let text = DEPLOYMENT.config_text();
    assert!(text.contains(&old));
    text.replace(&old, &format!("[workspaces.{large}]\nweight = {mark}\n"))
}

/// Returns the example file with its large workspace shut out of the service.
pub(crate) fn text_without_service() -> String {
    let (large, _) = DEPLOYMENT.workspaces();
    let mut table: toml::Table = DEPLOYMENT.config_text().parse().expect("it is TOML");
    let workspace = table["workspaces"][large].as_table_mut().expect("a table");
    let services = toml::Value::Array(Vec::new());
    workspace.insert("services".to_owned(), services);
    table.to_string()
}

pub(crate) fn accepted(revision: u64) -> ApplyAnswer {
    ApplyAnswer::Accepted {
        revision: Revision(revision),
    }
}
