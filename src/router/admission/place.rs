//! The place of a request in the queue of its service.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};

use pistachioyard_policy::{AdmissionQueue, Applicant, QueueRefusal, Standings, Ticket};
use pistachioyard_wire::ServiceName;
use tokio::sync::Notify;

use super::Admission;
use crate::prelude::*;
use crate::router::log::ms;
use crate::router::{Router, metric};

/// Holds the queue of a service, and those who wait in it.
#[derive(Default)]
pub(super) struct ServiceQueue {
    queue: AdmissionQueue,
    waiters: HashMap<Ticket, Arc<Waiter>>,
}

/// Wakes a request that waits.
#[derive(Default)]
struct Waiter {
    /// Notified when the request comes to the front, or is displaced.
    changed: Notify,
    is_displaced: AtomicBool,
}

/// Says what a waiting request may do now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Turn {
    /// Look for room.
    Look,
    /// Look for room, and leave none free for more urgent requests, which went first many times.
    LookFirst,
    /// Give up, since a more urgent request has taken its place.
    Displaced,
    /// Give up, since it cannot be served in time any more.
    Late,
}

/// Says how the wait of a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// It found room.
    Admitted,
    /// A more urgent request has taken its place.
    Displaced,
    /// Its caller has gone.
    Gone,
    /// It could not be served in time any more.
    Late,
    /// No endpoint could take it.
    NoRoom,
}

impl End {
    /// Returns the name of the end, for logs and metrics.
    fn as_str(self) -> &'static str {
        match self {
            Self::Admitted => "admitted",
            Self::Displaced => "displaced",
            Self::Gone => "gone",
            Self::Late => "late",
            Self::NoRoom => "no_room",
        }
    }
}

/// Holds the place of a request, which it leaves when this is dropped.
pub(crate) struct Place {
    admission: Arc<Admission>,
    service: ServiceName,
    ticket: Ticket,
    waiter: Arc<Waiter>,
    applicant: Applicant,
    joined_at: Instant,
    ended: End,
}

impl ServiceQueue {
    pub(super) fn must_wait(&self, urgency: u8) -> bool {
        self.queue.must_wait(urgency)
    }

    /// Returns the number of waiting requests of each urgency.
    pub(super) fn waiting(&self) -> impl Iterator<Item = (u8, usize)> {
        self.queue.waiting_by_urgency().into_iter()
    }

    fn remove(&mut self, ticket: Ticket) {
        self.queue.leave(ticket);
        self.waiters.remove(&ticket);
    }

    /// Wakes the requests that may look for room.
    fn wake_front(&self, standings: &Standings) {
        for ticket in self.queue.front(standings) {
            if let Some(waiter) = self.waiters.get(&ticket) {
                waiter.changed.notify_one();
            }
        }
    }
}

impl Place {
    pub(super) fn join(
        admission: &Arc<Admission>,
        service: &ServiceName,
        applicant: Applicant,
    ) -> Result<Self, QueueRefusal> {
        let now = Instant::now();
        let standings = admission.standings(service);
        let mut queues = admission.queues.lock();
        let queue = queues.entry(service.clone()).or_default();
        let joined = queue.queue.join(applicant, &standings, now)?;
        for displaced in joined.displaced {
            if let Some(waiter) = queue.waiters.remove(&displaced) {
                waiter.is_displaced.store(true, Ordering::Relaxed);
                waiter.changed.notify_one();
            }
        }
        let waiter: Arc<Waiter> = Arc::default();
        queue.waiters.insert(joined.ticket, waiter.clone());
        Ok(Self {
            admission: admission.clone(),
            service: service.clone(),
            ticket: joined.ticket,
            waiter,
            applicant,
            joined_at: now,
            ended: End::Gone,
        })
    }

    /// Waits until the request may look for room or has to give up.
    pub(crate) async fn wait_for_turn(&mut self) -> Turn {
        loop {
            let turn = self.turn();
            match turn {
                Some(Turn::Displaced) => self.ended = End::Displaced,
                Some(Turn::Late) => self.ended = End::Late,
                Some(Turn::Look | Turn::LookFirst) | None => {}
            }
            if let Some(turn) = turn {
                return turn;
            }
            let give_up_at = tokio::time::Instant::from_std(self.applicant.give_up_at);
            // A timeout and a notification both lead to the next check.
            let _ = tokio::time::timeout_at(give_up_at, self.waiter.changed.notified()).await;
        }
    }

    /// Waits until there may be room, after a look that found none.
    pub(crate) async fn wait_for_room(&self, room: impl Future<Output = ()>) {
        tokio::select! {
            () = self.waiter.changed.notified() => {}
            () = room => {}
        }
    }

    /// Leaves the queue, since the request found room.
    pub(crate) fn admitted(mut self) {
        self.ended = End::Admitted;
    }

    /// Leaves the queue, since the request cannot run now.
    pub(crate) fn refused(mut self) {
        self.ended = End::NoRoom;
    }

    fn turn(&self) -> Option<Turn> {
        if self.waiter.is_displaced.load(Ordering::Relaxed) {
            return Some(Turn::Displaced);
        }
        if self.applicant.give_up_at <= Instant::now() {
            return Some(Turn::Late);
        }
        let standings = self.admission.standings(&self.service);
        let queues = self.admission.queues.lock();
        let queue = &queues.get(&self.service)?.queue;
        if queue.is_relief(self.ticket) {
            return Some(Turn::LookFirst);
        }
        let is_in_front = queue.front(&standings).contains(&self.ticket);
        is_in_front.then_some(Turn::Look)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let now = Instant::now();
        let standings = self.admission.standings(&self.service);
        {
            let mut queues = self.admission.queues.lock();
            if let Some(queue) = queues.get_mut(&self.service) {
                if self.ended == End::Admitted {
                    queue.queue.on_admitted(self.ticket, now);
                }
                queue.remove(self.ticket);
                queue.wake_front(&standings);
            }
        }
        let waited = now.saturating_duration_since(self.joined_at);
        metric::record_admission_wait(self.applicant.urgency, self.ended.as_str(), waited);
        spdlog::info!("admission: waited", kv: {
            service = self.service.as_str(), urgency = self.applicant.urgency,
            ended = self.ended.as_str(), waited_ms = ms(waited)
        });
    }
}

impl Router {
    /// Returns the number of waiting requests of each service, by urgency.
    pub(crate) fn waiting_by_urgency(&self) -> Vec<(u8, usize)> {
        let queues = self.admission.queues.lock();
        queues.values().flat_map(ServiceQueue::waiting).collect()
    }
}
