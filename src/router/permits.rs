//! Keeps requests within the limits that endpoints name.
//!
//! Before a request goes to a limited endpoint, the entry that is responsible for it is asked
//! for a permit, in one datagram and its answer. `docs/design/request-limits.md` describes this.

mod messages;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use pistachioyard_platform::AnswerHead;
use pistachioyard_policy::{
    EndpointRun, FleetPart, LimitChange, PermitAnswer, RequestRate, ReturnSchedule,
    responsible_entry,
};
use pistachioyard_wire::{EntryState, ServiceName};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use self::messages::PermitBody;
pub(crate) use self::messages::PermitMessage;
use super::endpoint_answer::AnswerTo;
use super::{PEER_TIMEOUT, Router, metric};
use crate::prelude::*;
use crate::router::log::ms;
use crate::router::told_age::ToldAge;

/// How long the responsible entry may take to answer; a host without a share of a processor left
/// answers after up to a tenth of a second.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(150);
/// When to ask again an entry that did not answer.
const UNANSWERED_RETRY: Duration = Duration::from_millis(100);
/// The time within which a small fleet hears that another entry has become responsible.
const HANDOVER: Duration = Duration::from_secs(1);
/// The number of entries that hear of each other directly in each gossip period; in larger fleets
/// all that depends on hearing takes as many times longer.
const HEARD_PER_PERIOD: usize = 8;
/// The fewest permits a second that refused callers are told to expect.
const MIN_RETURN_RATE: f64 = 0.1;

/// Holds what this entry needs to ask for permits.
#[derive(Default)]
pub(crate) struct Permits {
    socket: OnceLock<Arc<UdpSocket>>,
    next_nonce: AtomicU64,
    pending: Mutex<HashMap<u64, oneshot::Sender<PermitAnswer>>>,
    returns: Mutex<HashMap<ServiceName, ReturnSchedule>>,
    /// When the entries that this one hears last changed.
    heard_changed_at: Mutex<Option<Instant>>,
    heard: Mutex<Vec<EntryId>>,
    /// The number of entries that are registered in the store, as last read.
    registered: AtomicU64,
}

impl Permits {
    /// Sets the socket over which permits are asked for.
    pub(crate) fn set_socket(&self, socket: Arc<UdpSocket>) {
        // A process has one socket for its peers, so it is never set twice.
        let _ = self.socket.set(socket);
    }

    /// Sends a datagram to a peer at once, or not at all.
    pub(crate) fn send(&self, to: SocketAddr, datagram: &[u8]) {
        let sent = match self.socket.get() {
            Some(socket) => socket.try_send_to(datagram, to).map(|_| ()),
            None => Err(std::io::ErrorKind::NotConnected.into()),
        };
        if let Err(e) = sent {
            spdlog::warn!("permits: cannot send", kv: {
                to = to.to_string().as_str(), why = e.to_string().as_str()
            });
        }
    }

    /// Records how many entries are registered in the store.
    pub(crate) fn note_registered(&self, entries: usize) {
        self.registered.store(entries as u64, Ordering::Relaxed);
    }
}

impl Router {
    /// Applies what an answer says of its endpoint's limit.
    ///
    /// Only an answer to a request ends a limit by not naming it.
    pub(super) fn note_limit_of_answer(&self, run: &EndpointRun, head: &AnswerHead, to: AnswerTo) {
        match &head.limit {
            Ok(None) if to == AnswerTo::Control => {}
            Ok(rate) => self.note_limit(run, *rate, Instant::now(), "answer"),
            Err(e) => {
                let is_new = self
                    .endpoints
                    .lock()
                    .limits_mut()
                    .note_invalid(run, Instant::now());
                if is_new {
                    spdlog::warn!("endpoints: ignoring an invalid limit", kv: {
                        endpoint = run.endpoint.as_str(), why = e.to_string().as_str()
                    });
                }
            }
        }
    }

    /// Records the limit of an endpoint, or its end; `from` says who told.
    pub(crate) fn note_limit(
        &self,
        run: &EndpointRun,
        rate: Option<RequestRate>,
        said_at: Instant,
        from: &str,
    ) {
        let now = Instant::now();
        let is_known = self.endpoints.lock().limits().limit_of(run).is_some();
        if rate.is_none() && !is_known {
            return;
        }
        let responsible_since = match is_known {
            true => None,
            false => self.is_responsible_for(run, now).then(|| {
                self.permits
                    .heard_changed_at
                    .lock()
                    .unwrap_or(self.started_at)
            }),
        };
        let change = {
            let mut endpoints = self.endpoints.lock();
            endpoints
                .limits_mut()
                .note(run, rate, said_at, responsible_since)
        };
        let Some(change) = change else {
            return;
        };
        let per_second = rate.map(RequestRate::per_second).unwrap_or_default();
        let what = match change {
            LimitChange::Set => "set",
            LimitChange::Changed => "changed",
            LimitChange::Lifted => "lifted",
        };
        spdlog::info!("endpoints: limit named", kv: {
            endpoint = run.endpoint.as_str(), what, per_second, from
        });
        if change == LimitChange::Lifted {
            self.capacity_changed.notify_waiters();
        }
    }

    /// Returns the entry that is responsible for the limit of an endpoint, with its address.
    fn responsible_for(&self, run: &EndpointRun, now: Instant) -> (EntryId, SocketAddr) {
        let members = self.members.lock();
        let (key, _) = Self::run_id(&run.endpoint, run.started_unix_ms)
            .0
            .as_u64_pair();
        let heard = || members.heard_within(hearing_time(members.count()), now);
        let live = heard().filter(|record| record.state == EntryState::Live);
        let chosen = responsible_entry(key, live.map(|record| &record.entry));
        let own = members.own_record();
        let record = chosen.and_then(|entry| heard().find(|record| record.entry == *entry));
        let record = record.unwrap_or(own);
        (record.entry.clone(), record.peer_address)
    }

    fn is_responsible_for(&self, run: &EndpointRun, now: Instant) -> bool {
        self.responsible_for(run, now).0 == self.settings.entry
    }

    /// Reviews for which limits this entry is responsible; `was_paused` says whether the process
    /// was paused since the last review.
    pub(crate) fn review_limits(&self, was_paused: bool) {
        let now = Instant::now();
        let heard: Vec<EntryId> = {
            let members = self.members.lock();
            let heard = members.heard_within(hearing_time(members.count()), now);
            heard.map(|record| record.entry.clone()).collect()
        };
        let has_changed =
            std::mem::replace(&mut *self.permits.heard.lock(), heard.clone()) != heard;
        if has_changed || was_paused {
            *self.permits.heard_changed_at.lock() = Some(now);
        }
        let runs: Vec<EndpointRun> = {
            let endpoints = self.endpoints.lock();
            endpoints
                .limits()
                .told(now)
                .map(|(run, ..)| run.clone())
                .collect()
        };
        let own: Vec<EndpointRun> = runs
            .into_iter()
            .filter(|run| self.is_responsible_for(run, now))
            .collect();
        let mut endpoints = self.endpoints.lock();
        if was_paused {
            endpoints.limits_mut().note_paused(now);
        }
        endpoints.review_limits(|run| own.contains(run), now);
    }

    /// Takes a permit for one request to an endpoint; returns whether there was one. Always
    /// succeeds for an endpoint without a limit.
    pub(crate) async fn take_permit(&self, run: &EndpointRun) -> bool {
        let now = Instant::now();
        let Some((rate, said_at)) = self.endpoints.lock().limits().limit_of(run) else {
            return true;
        };
        let (owner, address) = self.responsible_for(run, now);
        let answer = match owner == self.settings.entry {
            true => self.hand_out_permit(run, now),
            false => {
                let age_ms = ToldAge::of(now.saturating_duration_since(said_at));
                let ask = PermitBody::Ask {
                    endpoint: run.endpoint.clone(),
                    started_unix_ms: run.started_unix_ms,
                    per_second: rate.per_second(),
                    age_ms,
                };
                self.ask_for_permit(address, ask).await
            }
        };
        let is_granted = answer == PermitAnswer::Granted;
        metric::count_permit(is_granted);
        let now = Instant::now();
        let mut endpoints = self.endpoints.lock();
        match answer {
            PermitAnswer::Granted => {
                let service = endpoints.get(&run.endpoint).map(|r| r.service.clone());
                if let Some(service) = service {
                    let mut returns = self.permits.returns.lock();
                    returns.entry(service).or_default().note_permit(now);
                }
            }
            PermitAnswer::Denied { retry } => {
                endpoints.limits_mut().note_denied(run, retry, now);
            }
        }
        is_granted
    }

    async fn ask_for_permit(&self, to: SocketAddr, ask: PermitBody) -> PermitAnswer {
        let unanswered = PermitAnswer::Denied {
            retry: UNANSWERED_RETRY,
        };
        let nonce = self.permits.next_nonce.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        self.permits.pending.lock().insert(nonce, tx);
        self.send_permit_message(to, &PermitMessage(nonce, ask));
        let answered = tokio::time::timeout(PERMIT_TIMEOUT, rx).await;
        self.permits.pending.lock().remove(&nonce);
        match answered {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => {
                spdlog::info!("permits: no answer", kv: { from = to.to_string().as_str() });
                unanswered
            }
        }
    }

    /// Hands out a permit of this entry, if it is responsible for the endpoint and has one left.
    fn hand_out_permit(&self, run: &EndpointRun, now: Instant) -> PermitAnswer {
        let (part, handover) = {
            let members = self.members.lock();
            let count = members.count();
            let registered = self.permits.registered.load(Ordering::Relaxed) as usize;
            let part = FleetPart {
                heard: members.heard_within(hearing_time(count), now).count(),
                all: count.max(registered),
            };
            (part, HANDOVER * scale(count))
        };
        let mut endpoints = self.endpoints.lock();
        endpoints.limits_mut().try_permit(run, part, handover, now)
    }

    /// Handles a message about permits.
    pub(crate) fn receive_permit_message(&self, message: PermitMessage, from: SocketAddr) {
        let PermitMessage(nonce, body) = message;
        match body {
            PermitBody::Ask {
                endpoint,
                started_unix_ms,
                per_second,
                age_ms,
            } => {
                let now = Instant::now();
                let run = EndpointRun {
                    endpoint,
                    started_unix_ms,
                };
                let said_at = now.checked_sub(age_ms.duration());
                match (RequestRate::try_from(per_second), said_at) {
                    (Ok(rate), Some(said_at)) => {
                        self.note_limit(&run, Some(rate), said_at, "peer");
                    }
                    (Err(e), _) => spdlog::warn!("permits: ignoring an invalid limit", kv: {
                        from = from.to_string().as_str(), why = e.to_string().as_str()
                    }),
                    (Ok(_), None) => {}
                }
                let answer = self.hand_out_permit(&run, now).into();
                self.send_permit_message(from, &PermitMessage(nonce, answer));
            }
            PermitBody::Answer { denied_ms } => {
                let waiting = self.permits.pending.lock().remove(&nonce);
                if let Some(tx) = waiting {
                    let answer = match denied_ms {
                        None => PermitAnswer::Granted,
                        Some(retry_ms) => PermitAnswer::Denied {
                            retry: Duration::from_millis(retry_ms),
                        },
                    };
                    // The request that asked may have ended.
                    let _ = tx.send(answer);
                }
            }
        }
    }

    fn send_permit_message(&self, to: SocketAddr, message: &PermitMessage) {
        match message.encode() {
            Ok(datagram) => self.permits.send(to, &datagram),
            Err(e) => spdlog::error!("permits: cannot encode a message", kv: {
                why = e.to_string().as_str()
            }),
        }
    }

    /// Returns the time after which a caller may return to a service whose limits leave no room
    /// now, in ms; none if they do.
    pub(crate) fn book_return_ms(&self, service: &ServiceName) -> Option<u64> {
        let now = Instant::now();
        let (next_permit, per_second) = self.endpoints.lock().next_room(service, now)?;
        let entries = self.live_entries(now) as f64;
        let least_rate = (per_second / entries).max(MIN_RETURN_RATE);
        let mut returns = self.permits.returns.lock();
        let schedule = returns.entry(service.clone()).or_default();
        metric::count_limit_refusal();
        // Rounded up, since a caller must not return before there is a permit.
        Some(ms(schedule.book(next_permit, least_rate, now)) + 1)
    }
}

/// Returns how many times longer news takes than in a small fleet.
fn scale(entries: usize) -> u32 {
    entries.div_ceil(HEARD_PER_PERIOD).max(1) as u32
}

/// Returns how long an entry may be silent before another one becomes responsible.
fn hearing_time(entries: usize) -> Duration {
    PEER_TIMEOUT * scale(entries)
}
