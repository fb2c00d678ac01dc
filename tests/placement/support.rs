//! The harness of the placement tests: a small cluster and queries about its state.

use std::time::Duration;

use pistachioyard_policy::LeaseRecord;
use pistachioyard_standins::{
    Answer, Caller, Cluster, ClusterPlan, ClusterSize, Deployment, GenerateEnd, draft_request,
    reference_tokens, wait_until,
};
use pistachioyard_wire::{EndpointReport, EntryId, Fence, GenerateRequest, ObjectRecord, Order};
use tokio::sync::{Semaphore, SemaphorePermit};

pub(crate) const DEPLOYMENT: Deployment = Deployment::Obnova;
/// The default timeout of waits, generous enough for a busy machine.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// The version that the tests roll out.
pub(crate) const NEXT_VERSION: &str = "2026-12";

/// Limits how many clusters run at the same time.
static CLUSTER_PERMITS: Semaphore = Semaphore::const_new(1);

pub(crate) struct Harness {
    pub(crate) cluster: Cluster,
    pub(crate) caller: Caller,
    _permit: SemaphorePermit<'static>,
}

impl Harness {
    /// Starts a cluster and waits until every engine has carried out its first orders.
    pub(crate) async fn start() -> Self {
        let permit = CLUSTER_PERMITS.acquire().await.unwrap();
        let plan = ClusterPlan::new(DEPLOYMENT, ClusterSize::Small);
        let harness = Self {
            cluster: Cluster::start(plan).await.unwrap(),
            caller: Caller::default(),
            _permit: permit,
        };
        let loaded = || async {
            let reports = harness.read_reports().await;
            reports.len() == harness.cluster.engines.len()
                && reports.iter().all(|r| !r.adapters.is_empty())
        };
        harness
            .wait_for("every engine to have its adapters", loaded)
            .await;
        harness
    }

    pub(crate) async fn wait_for<F: Future<Output = bool>>(
        &self,
        what: &str,
        condition: impl FnMut() -> F,
    ) {
        if let Err(e) = wait_until(WAIT_TIMEOUT, what, condition).await {
            panic!("{e}\n{}", self.cluster.entry_logs());
        }
    }

    /// Reads the placement lease from the platform.
    pub(crate) async fn read_lease(&self) -> Option<LeaseRecord> {
        let read = self
            .cluster
            .client
            .get_json(self.cluster.platform, "/objects/lease%2Fplacement");
        let object: ObjectRecord = read.await.ok()?;
        serde_json::from_str(&object.value).ok()
    }

    /// Returns the index of the entry that holds the lease, and the lease's fencing token.
    pub(crate) async fn lease_holder(&self) -> (usize, Fence) {
        let lease = self
            .read_lease()
            .await
            .expect("the platform holds no lease");
        (self.entry_index(&lease.holder), lease.fence)
    }

    pub(crate) fn entry_index(&self, entry: &EntryId) -> usize {
        let mut entries = self.cluster.entries.iter();
        entries.position(|e| e.name == entry.as_str()).unwrap()
    }

    /// Reads the reports of the engines that respond.
    pub(crate) async fn read_reports(&self) -> Vec<EndpointReport> {
        let mut reports = Vec::new();
        for engine in &self.cluster.engines {
            let read = self.cluster.client.get_json(engine.address, "/v1/report");
            reports.extend(read.await.ok());
        }
        reports
    }

    /// Reads the orders that the engines have taken, from those that respond.
    pub(crate) async fn taken_orders(&self) -> Vec<Order> {
        let mut orders = Vec::new();
        for engine in &self.cluster.engines {
            let read = self
                .cluster
                .client
                .get_json(engine.address, "/control/orders");
            let taken: Vec<Order> = read.await.unwrap_or_default();
            orders.extend(taken);
        }
        orders
    }

    /// Kills both engines of the first layer range and does not restart them.
    pub(crate) fn kill_first_range(&mut self) {
        for engine in &mut self.cluster.engines[..2] {
            engine.child.kill().unwrap();
        }
    }

    /// Returns whether the engines that are not loading hold every layer of a version.
    pub(crate) async fn covers_all_layers(&self, version: &str) -> bool {
        let reports = self.read_reports().await;
        let held_ranges: Vec<_> = reports
            .iter()
            .filter(|r| !r.loading && r.version.as_ref().is_some_and(|v| v.as_str() == version))
            .filter_map(|r| r.layers)
            .collect();
        (0..DEPLOYMENT.layers()).all(|layer| {
            held_ranges
                .iter()
                .any(|range| (range.first()..range.end()).contains(&layer))
        })
    }

    /// Applies the configuration file with the next version of the model.
    pub(crate) async fn apply_next_version(&self, entry: usize) {
        let text = DEPLOYMENT.config_text();
        let text = text.replace(DEPLOYMENT.version(), NEXT_VERSION);
        let base = self.cluster.status(self.cluster.entries[entry].caller);
        let base = base.await.unwrap().revision;
        self.cluster.apply(entry, base, text).await.unwrap();
    }

    pub(crate) async fn generate(
        &self,
        entry: usize,
        prompt: &str,
        tokens: u32,
    ) -> (GenerateRequest, Answer) {
        let (workspace, _) = DEPLOYMENT.workspaces();
        let req = draft_request(DEPLOYMENT, workspace, prompt, tokens).unwrap();
        let entry = self.cluster.entries[entry].caller;
        let answer = self.caller.generate(entry, &req, |_| {}).await;
        (req, answer)
    }
}

/// Returns whether an answer is complete and correct for a version.
pub(crate) fn is_correct_for(req: &GenerateRequest, answer: &Answer, version: &str) -> bool {
    let expected = reference_tokens(
        DEPLOYMENT.model(),
        version,
        &req.prompt,
        DEPLOYMENT.layers(),
        req.max_tokens,
    );
    answer.end == GenerateEnd::Complete && answer.tokens == expected
}
