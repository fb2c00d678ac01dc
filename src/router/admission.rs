//! The requests that wait for room at this entry, and who asks for it at all entries.
//!
//! It takes part only for services for which the configuration has routes of unlike urgency, or
//! workspaces (`docs/design/admission.md`).

mod place;

use std::collections::BTreeMap;

use parking_lot::Mutex;
use pistachioyard_policy::{
    Applicant, Contention, ContentionReport, GossipScope, NewsTime, PipelineSpec, QueueRefusal,
    StageOffer, Standings,
};
use pistachioyard_wire::{DataCentre, ServiceName, WorkspaceName};
use place::ServiceQueue;
pub(crate) use place::{Place, Turn};
use xxhash_rust::xxh3::xxh3_64;

use super::filter::Call;
use super::reach::service_key;
use super::{LoadControl, Router, metric};
use crate::prelude::*;
use crate::router::controller::GOSSIP_PERIOD;

/// The tokens that a request for a plain service counts as.
const PLAIN_REQUEST_TOKENS: f64 = 1.0;

/// Holds the queues of this entry and what it knows of the demand.
#[derive(Default)]
pub(crate) struct Admission {
    queues: Mutex<BTreeMap<ServiceName, ServiceQueue>>,
    contention: Mutex<Contention>,
}

/// Describes a request that competes for the room of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Contender {
    service: u32,
    pub(crate) urgency: u8,
    workspace: Option<u32>,
    tokens: f64,
    bytes: usize,
    /// Whether its caller was refused before and returns when it was told to.
    is_returning: bool,
}

impl Contender {
    /// Returns the applicant for a place in the queue.
    pub(crate) fn applicant(&self, is_particular: bool, give_up_at: Instant) -> Applicant {
        Applicant {
            urgency: self.urgency,
            is_returning: self.is_returning,
            workspace: self.workspace,
            bytes: self.bytes,
            is_particular,
            give_up_at,
        }
    }
}

/// Counts a request as in progress for its workspace until it is dropped.
pub(crate) struct WorkspaceUse {
    admission: Arc<Admission>,
    service: u32,
    workspace: u32,
    tokens: f64,
}

impl Drop for WorkspaceUse {
    fn drop(&mut self) {
        let mut contention = self.admission.contention.lock();
        contention.end(self.service, self.workspace, self.tokens);
    }
}

/// Returns the key that stands for a workspace in datagrams.
fn workspace_key(workspace: &WorkspaceName) -> u32 {
    xxh3_64(workspace.as_str().as_bytes()) as u32
}

impl Admission {
    /// Returns how the workspaces of a service stand.
    fn standings(&self, service: &ServiceName) -> Standings {
        let contention = self.contention.lock();
        contention.standings(service_key(service), Instant::now())
    }

    /// Returns what to tell peers in a scope.
    pub(crate) fn report(&self, scope: GossipScope, now: Instant) -> ContentionReport {
        let contention = self.contention.lock();
        match scope {
            GossipScope::SameCentre | GossipScope::SameCentreLoad => contention.own_report(now),
            GossipScope::OtherCentre => contention.centre_report(now),
        }
    }

    /// Applies what a peer in this data centre told.
    pub(crate) fn set_peer(&self, peer: EntryId, report: ContentionReport, now: Instant) {
        self.contention.lock().set_peer(peer, report, now);
    }

    /// Applies what was told of another data centre.
    pub(crate) fn set_centre(&self, centre: DataCentre, report: ContentionReport, now: Instant) {
        self.contention.lock().set_centre(centre, report, now);
    }

    /// Forgets what lost peers told, and what was told too long ago.
    pub(crate) fn expire<'a>(&self, lost: impl Iterator<Item = &'a EntryId>, now: Instant) {
        let mut contention = self.contention.lock();
        contention.expire(now);
        lost.for_each(|peer| contention.forget_peer(peer));
    }

    /// Counts a request that was admitted as in progress for its workspace.
    fn begin(self: &Arc<Self>, contender: &Contender) -> Option<WorkspaceUse> {
        let workspace = contender.workspace?;
        let (service, tokens) = (contender.service, contender.tokens);
        let mut contention = self.contention.lock();
        contention.begin(service, workspace, tokens, Instant::now());
        Some(WorkspaceUse {
            admission: self.clone(),
            service,
            workspace,
            tokens,
        })
    }
}

impl Router {
    /// Returns a request as a contender for the room of a service; none if the configuration has
    /// neither routes of unlike urgency for it nor workspaces.
    pub(crate) fn contender(&self, call: &Call, service: &ServiceName) -> Option<Contender> {
        let table = &call.config.table;
        if !self.uses(LoadControl::Admission) || !table.is_contended(service) {
            return None;
        }
        let pipeline = table.service(service).and_then(|s| s.pipeline.as_ref());
        let tokens = pipeline.map_or(PLAIN_REQUEST_TOKENS, |spec| {
            let size = call.head.size.unwrap_or(spec.mean_size());
            size.resident_tokens()
        });
        let workspace = call.workspace.as_ref();
        Some(Contender {
            service: service_key(service),
            urgency: call.urgency(),
            workspace: workspace.map(|workspace| workspace_key(&workspace.name)),
            tokens,
            bytes: call.body.len(),
            is_returning: self.is_expected(service, call.digest),
        })
    }

    /// Records that a request asks for room.
    pub(crate) fn note_arrival(&self, call: &Call, service: &ServiceName) {
        if let Some(contender) = self.contender(call, service) {
            self.admission.contention.lock().on_arrival(
                contender.service,
                contender.urgency,
                contender.workspace,
                contender.tokens,
                Instant::now(),
            );
        }
    }

    /// Records that a request was admitted.
    pub(crate) fn note_admitted(&self, call: &Call, contender: &Contender) {
        call.in_progress
            .get_or_init(|| self.admission.begin(contender));
    }

    /// Returns the share of a service's memory that a request leaves free for others.
    pub(crate) fn reserve(
        &self,
        contender: &Contender,
        spec: &PipelineSpec,
        offers: &[StageOffer],
        near_peers: usize,
        now: Instant,
    ) -> f64 {
        let capacities = offers
            .iter()
            .map(|offer| spec.token_layer_capacity(&offer.card, offer.layers.len()));
        let capacity = capacities.sum::<f64>() / f64::from(spec.layers.max(1));
        let news = NewsTime::new(GOSSIP_PERIOD, near_peers, !self.is_large_fleet());
        let reserve = self.admission.contention.lock().reserve(
            contender.service,
            contender.urgency,
            contender.workspace,
            capacity,
            news,
            now,
        );
        metric::record_reserve(contender.urgency, reserve);
        reserve
    }

    /// Returns whether a new request has to wait behind others that are as urgent.
    pub(crate) fn must_wait(&self, contender: &Contender, service: &ServiceName) -> bool {
        let queues = self.admission.queues.lock();
        let queue = queues.get(service);
        queue.is_some_and(|queue| queue.must_wait(contender.urgency))
    }

    /// Adds a request to the queue of a service.
    ///
    /// # Errors
    ///
    /// Fails if it would not get room in time, or the queue is full of others that are as urgent.
    pub(crate) fn join_queue(
        &self,
        service: &ServiceName,
        applicant: Applicant,
    ) -> Result<Place, QueueRefusal> {
        let joined = Place::join(&self.admission, service, applicant);
        if let Err(why) = &joined {
            metric::count_admission_refusal(applicant.urgency, why.as_str());
            spdlog::info!("admission: refused on arrival", kv: {
                service = service.as_str(), urgency = applicant.urgency, why = why.as_str()
            });
        }
        joined
    }
}
