//! Tells refused callers when to return, and knows those who do.
//!
//! `docs/design/returns.md` describes it.

use std::collections::HashMap;

use parking_lot::Mutex;
use pistachioyard_policy::{
    MAX_TOLD_BOOKINGS, Promise, RefusedRequest, ReturnLedger, ReturnNews, RouteTable, Standing,
    spread_return_ms,
};
use pistachioyard_wire::{RequestDigest, ServiceName};

use super::filter::{Call, no_capacity};
use super::log::ms;
use super::reach::service_key;
use super::{LoadControl, Router, metric};
use crate::prelude::*;

/// The maximum number of services of whose returns a datagram tells; what is left out is told in
/// another round.
const MAX_TOLD_SERVICES: usize = 4;

/// Holds the promised returns to each service.
#[derive(Default)]
pub(crate) struct Returns {
    ledgers: Mutex<HashMap<ServiceName, ReturnLedger>>,
}

impl Router {
    /// Returns the time after which a caller whose request did not run may return, in ms: the end
    /// of the first pause if all endpoints asked for one, or else a time at which room is expected.
    ///
    /// `room_ms` is the time until there may be room at all.
    pub(crate) fn return_after_ms(&self, call: &Call, service: &ServiceName, room_ms: u64) -> u64 {
        let pause_ms = self.pause_left_ms(service);
        pause_ms
            .or_else(|| self.book_return(call, service, room_ms))
            .unwrap_or_else(|| spread_return_ms(room_ms, &mut rand::rng()))
    }

    /// Books the return of a refused caller and returns after how many ms it is due; none if the
    /// configuration does not rank the requests for the service.
    pub(crate) fn book_return(
        &self,
        call: &Call,
        service: &ServiceName,
        room_ms: u64,
    ) -> Option<u64> {
        if !self.promises_returns(&call.config.table, service) {
            return None;
        }
        let now = Instant::now();
        let request = RefusedRequest {
            digest: call.digest,
            urgency: call.urgency(),
            earliest: Duration::from_millis(room_ms),
            time_left: call.deadline.saturating_duration_since(now),
            peers: self.members.lock().count_near(now),
        };
        let (promise, has_much_news) = {
            let mut ledgers = self.returns.ledgers.lock();
            let ledger = ledgers.entry(service.clone());
            let ledger = ledger.or_insert_with(|| ReturnLedger::new(now));
            let promise = ledger.book(&request, now);
            (promise, ledger.has_much_news())
        };
        if has_much_news {
            self.urgent_news.notify_one();
        }
        log_promise(&request, service, promise);
        // Rounded up, since a caller must not return before it is due.
        Some(ms(promise.wait) + 1)
    }

    /// Counts a request that was given room, and whether its caller has returned as told.
    pub(crate) fn note_room_given(&self, call: &Call, service: &ServiceName) {
        if !self.promises_returns(&call.config.table, service) {
            return;
        }
        let now = Instant::now();
        let is_kept = {
            let mut ledgers = self.returns.ledgers.lock();
            let ledger = ledgers.entry(service.clone());
            let ledger = ledger.or_insert_with(|| ReturnLedger::new(now));
            ledger.note_admitted(call.digest, now)
        };
        if is_kept {
            metric::count_return("kept");
            spdlog::info!("returns: kept", kv: {
                digest = call.digest.to_string().as_str(), service = service.as_str()
            });
        }
    }

    fn promises_returns(&self, table: &RouteTable, service: &ServiceName) -> bool {
        self.uses(LoadControl::Returns) && table.is_ranked(service)
    }

    /// Returns whether the caller of a request was told to return now.
    pub(crate) fn is_expected(&self, service: &ServiceName, digest: RequestDigest) -> bool {
        let ledgers = self.returns.ledgers.lock();
        let ledger = ledgers.get(service);
        ledger.is_some_and(|l| l.standing(digest, Instant::now()) == Standing::Expected)
    }

    /// Refuses a request that has come before the time that its caller was told, if it would take
    /// room that is promised to others.
    pub(crate) fn check_return(&self, call: &Call, service: &ServiceName) -> Result<(), Problem> {
        if call.is_relayed || !self.came_too_early(call, service) {
            return Ok(());
        }
        let Some(retry_after_ms) = self.book_return(call, service, 0) else {
            return Ok(());
        };
        let detail = "it came before the time that it was told; the request was not run";
        Err(no_capacity(detail, retry_after_ms))
    }

    fn came_too_early(&self, call: &Call, service: &ServiceName) -> bool {
        let ledgers = self.returns.ledgers.lock();
        let ledger = ledgers.get(service);
        ledger.is_some_and(|l| l.must_wait(call.digest, call.urgency(), Instant::now()))
    }

    /// Returns what to tell peers of the returns to some services, by their keys.
    pub(crate) fn returns_to_tell(&self, now: Instant) -> Vec<(u32, ReturnNews)> {
        let mut ledgers = self.returns.ledgers.lock();
        let mut told = Vec::new();
        let mut bookings_left = MAX_TOLD_BOOKINGS;
        for (service, ledger) in ledgers.iter_mut() {
            if let Some(news) = ledger.news(bookings_left, now) {
                bookings_left -= news.bookings.len();
                told.push((service_key(service), news));
            }
            if told.len() >= MAX_TOLD_SERVICES {
                break;
            }
        }
        told
    }

    /// Applies what a peer tells of returns; `shares_room` says whether it sends requests to the
    /// same endpoints first.
    pub(crate) fn apply_return_news(
        &self,
        from: &EntryId,
        told: &[(u32, ReturnNews)],
        shares_room: bool,
        now: Instant,
    ) {
        if told.is_empty() || !self.uses(LoadControl::Returns) {
            return;
        }
        let Some(active) = self.active_config() else {
            return;
        };
        let mut ledgers = self.returns.ledgers.lock();
        ledgers.retain(|service, _| active.table.is_ranked(service));
        let ranked = active.table.service_names();
        for service in ranked.filter(|service| active.table.is_ranked(service)) {
            let key = service_key(service);
            for (_, news) in told.iter().filter(|(told_key, _)| *told_key == key) {
                let ledger = ledgers.entry(service.clone());
                let ledger = ledger.or_insert_with(|| ReturnLedger::new(now));
                ledger.apply_news(from, news, shares_room, now);
            }
        }
    }
}

fn log_promise(request: &RefusedRequest, service: &ServiceName, promise: Promise) {
    if promise.is_booked {
        metric::count_return("booked");
    }
    if promise.is_missed {
        metric::count_return("missed");
    }
    spdlog::info!("returns: told", kv: {
        digest = request.digest.to_string().as_str(), service = service.as_str(),
        wait_ms = ms(promise.wait), booked = promise.is_booked, missed = promise.is_missed,
        urgency = request.urgency
    });
}
