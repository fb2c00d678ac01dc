//! A small cluster and what the tests ask of it.

use std::time::Duration;

use pistachioyard_policy::LeaseRecord;
use pistachioyard_standins::{
    Answer, Caller, Cluster, ClusterPlan, ClusterSize, Deployment, GenerateEnd, draft_request,
    reference_tokens, wait_until,
};
use pistachioyard_wire::{EndpointReport, EntryId, Fence, GenerateRequest, ObjectRecord, Order};
use tokio::sync::{Semaphore, SemaphorePermit};

pub(crate) const DEPLOYMENT: Deployment = Deployment::Obnova;
/// Long enough for a busy machine; each wait ends with its condition.
pub(crate) const PATIENCE: Duration = Duration::from_secs(60);
/// The version that the tests roll out.
pub(crate) const NEXT_VERSION: &str = "2026-12";

/// The clusters that run at the same time.
static CLUSTERS: Semaphore = Semaphore::const_new(1);

pub(crate) struct Bed {
    pub(crate) cluster: Cluster,
    pub(crate) caller: Caller,
    _permit: SemaphorePermit<'static>,
}

impl Bed {
    /// Starts a cluster whose engines have all got their first orders.
    pub(crate) async fn start() -> Self {
        let permit = CLUSTERS.acquire().await.unwrap();
        let plan = ClusterPlan::new(DEPLOYMENT, ClusterSize::Small);
        let bed = Self {
            cluster: Cluster::start(plan).await.unwrap(),
            caller: Caller::default(),
            _permit: permit,
        };
        let loaded = || async {
            let reports = bed.reports().await;
            reports.len() == bed.cluster.engines.len()
                && reports.iter().all(|r| !r.adapters.is_empty())
        };
        bed.wait("every engine to have its adapters", loaded).await;
        bed
    }

    pub(crate) async fn wait<F: Future<Output = bool>>(
        &self,
        what: &str,
        holds: impl FnMut() -> F,
    ) {
        if let Err(e) = wait_until(PATIENCE, what, holds).await {
            panic!("{e}\n{}", self.cluster.entry_logs());
        }
    }

    /// Reads the lease object.
    pub(crate) async fn lease(&self) -> Option<LeaseRecord> {
        let read = self
            .cluster
            .client
            .get_json(self.cluster.platform, "/objects/lease%2Fplacement");
        let object: ObjectRecord = read.await.ok()?;
        serde_json::from_str(&object.value).ok()
    }

    /// Returns the place of the entry that holds the lease, and its fence.
    pub(crate) async fn holder(&self) -> (usize, Fence) {
        let lease = self.lease().await.expect("there is a lease");
        (self.place_of(&lease.holder), lease.fence)
    }

    pub(crate) fn place_of(&self, entry: &EntryId) -> usize {
        let mut entries = self.cluster.entries.iter();
        entries.position(|e| e.name == entry.as_str()).unwrap()
    }

    /// Reads the reports of the engines that answer.
    pub(crate) async fn reports(&self) -> Vec<EndpointReport> {
        let mut reports = Vec::new();
        for engine in &self.cluster.engines {
            let read = self.cluster.client.get_json(engine.address, "/v1/report");
            reports.extend(read.await.ok());
        }
        reports
    }

    /// Reads all orders that the engines that answer have taken.
    pub(crate) async fn orders(&self) -> Vec<Order> {
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

    /// Ends both engines of the first range for good.
    pub(crate) fn lose_first_range(&mut self) {
        for engine in &mut self.cluster.engines[..2] {
            engine.child.kill().unwrap();
        }
    }

    /// Tells whether ready engines hold every layer of a version.
    pub(crate) async fn is_covered(&self, version: &str) -> bool {
        let reports = self.reports().await;
        let held: Vec<_> = reports
            .iter()
            .filter(|r| !r.loading && r.version.as_ref().is_some_and(|v| v.as_str() == version))
            .filter_map(|r| r.layers)
            .collect();
        (0..DEPLOYMENT.layers()).all(|layer| {
            held.iter()
                .any(|range| (range.first()..range.end()).contains(&layer))
        })
    }

    /// Applies the operators' file with another version of the model.
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

/// Tells whether an answer is whole and right for one version.
pub(crate) fn is_right_for(req: &GenerateRequest, answer: &Answer, version: &str) -> bool {
    let expected = reference_tokens(
        DEPLOYMENT.model(),
        version,
        &req.prompt,
        DEPLOYMENT.layers(),
        req.max_tokens,
    );
    answer.end == GenerateEnd::Complete && answer.tokens == expected
}
