//! Tells refused callers of one service when to return.
//!
//! Load pattern: a crowd asks for several times the room for some seconds. Callers that are all
//! told the same time return together and are refused again, while others that never waited get
//! the room. The ledger promises each refused caller a part of the room to come, and knows those
//! who return. `docs/design/returns.md` describes it.

mod booking;
mod promise_row;
mod return_news;
mod room_rate;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use booking::Booking;
pub use booking::Standing;
use pistachioyard_wire::{EntryId, RequestDigest};
use promise_row::{PromiseRow, SPAN, SPANS, URGENCIES};
pub use return_news::{MAX_TOLD_BOOKINGS, ReturnNews, ToldBooking};
use room_rate::RoomRate;

use crate::membership::LOAD_FANOUT;

/// The shares of the room that are promised to callers of each urgency, the most urgent first.
/// What less urgent ones leave free gives more urgent ones an earlier return; the rest is for
/// callers that come for the first time.
const PROMISED_SHARES: [f64; URGENCIES] = [0.9, 0.8, 0.7];
/// The share for callers that were refused again although they had returned as told.
const MISSED_SHARE: f64 = 1.0;
/// The part of the time that is left to a caller for which it waits as told.
const HONOURED_PART: u32 = 3;
/// The least rate at which room is expected, in requests a second; one for each caller within the
/// longest time that is told.
const MIN_RATE: f64 = 0.1;
/// How long after its due time a booking is kept; callers connect anew within a second.
const KEEP_TIME: Duration = Duration::from_secs(2);
/// How long a booking is told to peers; several rounds of gossip, since datagrams may be lost.
const TELL_TIME: Duration = Duration::from_secs(2);
/// How long what a peer told of its rates is used.
const NEWS_TIME: Duration = Duration::from_secs(3);
/// The maximum number of bookings that are known, those of peers included.
const MAX_BOOKINGS: usize = 16_384;
/// The largest share by which a time is raised that is not one of a booking.
const MAX_SPREAD: f64 = 0.5;
/// The time before a due return in which room is held for it.
const HOLD_TIME: Duration = Duration::from_millis(100);

/// Describes a refused request.
#[derive(Clone, Copy, Debug)]
pub struct RefusedRequest {
    /// The digest of the request.
    pub digest: RequestDigest,
    /// Its urgency; 0 is the most urgent.
    pub urgency: u8,
    /// The time until there may be room at all.
    pub earliest: Duration,
    /// The time until its caller's deadline.
    pub time_left: Duration,
    /// The number of peers to which the caller may return.
    pub peers: usize,
}

/// Says what a refused caller is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Promise {
    /// The time after which it may return.
    pub wait: Duration,
    /// Whether room is booked for its return.
    pub is_booked: bool,
    /// Whether it had returned as told, so that an earlier promise was missed.
    pub is_missed: bool,
}

/// Holds the promised returns to one service, as one entry knows them.
#[derive(Clone, Debug)]
pub struct ReturnLedger {
    rate: RoomRate,
    own: PromiseRow,
    bookings: HashMap<u32, Booking>,
    /// The bookings that are told to peers, the newest last, with the times of booking.
    untold: VecDeque<(u32, Instant)>,
    /// The number of bookings since peers were told last.
    booked_since_news: usize,
    peers: BTreeMap<EntryId, Peer>,
}

/// Holds what a peer has told.
#[derive(Clone, Debug)]
struct Peer {
    told_at: Instant,
    asked: f64,
    admitted: f64,
    promised: PromiseRow,
}

/// Holds the rates at which room is expected, in requests a second.
#[derive(Clone, Copy, Debug)]
struct Rates {
    /// The part of this entry.
    own: f64,
    /// That of all entries together.
    all: f64,
}

impl ReturnLedger {
    /// Creates an empty ledger.
    pub fn new(now: Instant) -> Self {
        Self {
            rate: RoomRate::new(now),
            own: PromiseRow::new(now),
            bookings: HashMap::new(),
            untold: VecDeque::new(),
            booked_since_news: 0,
            peers: BTreeMap::new(),
        }
    }

    /// Returns how the caller of a request stands.
    pub fn standing(&self, digest: RequestDigest, now: Instant) -> Standing {
        let booking = self.bookings.get(&key_of(digest));
        let kept = booking.filter(|booking| booking.due + KEEP_TIME > now);
        kept.map_or(Standing::Fresh, |booking| booking.standing(now))
    }

    /// Counts an admitted request; returns whether a promise was kept by it.
    pub fn note_admitted(&mut self, digest: RequestDigest, now: Instant) -> bool {
        let is_kept = self.standing(digest, now) == Standing::Expected;
        self.rate.note(true, now);
        self.bookings.remove(&key_of(digest));
        is_kept
    }

    /// Books the return of a refused caller.
    ///
    /// A caller that returns before its time keeps its booking. One that returned as told and is
    /// refused again goes before all others. Room after a caller's deadline is not booked.
    pub fn book(&mut self, request: &RefusedRequest, now: Instant) -> Promise {
        self.advance(now);
        let standing = self.standing(request.digest, now);
        let key = key_of(request.digest);
        let honoured = request.time_left / HONOURED_PART;
        if let Some(booking) = self.bookings.get_mut(&key)
            && booking.due > now
        {
            let wait = booking.due - now;
            booking.back_at = now + wait.min(honoured);
            if matches!(standing, Standing::Early { .. }) && !booking.is_repeated {
                booking.is_repeated = true;
                self.tell(key, now);
            }
            return Promise {
                wait,
                is_booked: true,
                is_missed: false,
            };
        }
        self.rate.note(false, now);
        let known = self.bookings.get(&key).copied();
        let is_missed = standing == Standing::Expected;
        let urgency = usize::from(request.urgency).min(URGENCIES - 1);
        let rates = self.rates(now);
        let first = now + request.earliest.max(news_time(request.peers));
        let find = |share: f64| self.find_due(first, rates, share);
        let share = match is_missed {
            true => MISSED_SHARE,
            false => PROMISED_SHARES[urgency],
        };
        let due = match find(share) {
            Some(due) if due <= now + honoured => Some(due),
            late => find(share.max(PROMISED_SHARES[0])).or(late),
        };
        let longest = SPAN * SPANS as u32;
        let unknown = longest.max(request.earliest).mul_f64(1.0 + spread(key));
        let wait = due.map_or(unknown, |due| due - now);
        let is_booked = due.is_some() && wait < request.time_left;
        if is_booked {
            let turn = known.map_or(0, |known| known.turn.saturating_add(1));
            let booking = Booking::new(now + wait, now + wait.min(honoured), turn, now);
            self.own.add(booking.due, urgency);
            self.insert(key, booking, now);
            self.tell(key, now);
        }
        Promise {
            wait,
            is_booked,
            is_missed,
        }
    }

    /// Returns for how many returns of at least an urgency room is to be held now, over all
    /// entries that are heard.
    pub fn due_now(&self, urgency: u8, now: Instant) -> f64 {
        self.due_within(HOLD_TIME, urgency, now)
    }

    /// Returns whether the caller of a request has come before its time while room is promised to
    /// others until then, so that it would gain by not waiting.
    pub fn must_wait(&self, digest: RequestDigest, urgency: u8, now: Instant) -> bool {
        match self.standing(digest, now) {
            Standing::Fresh | Standing::Expected => false,
            // A time that is so near may be one that was told late.
            Standing::Early { left } if left <= SPAN => false,
            Standing::Early { left } => self.due_within(left, urgency, now) >= 1.0,
        }
    }

    fn due_within(&self, time: Duration, urgency: u8, now: Instant) -> f64 {
        let urgency = usize::from(urgency).min(URGENCIES - 1);
        let rows = std::iter::once(&self.own);
        let rows = rows.chain(self.heard(now).map(|peer| &peer.promised));
        rows.map(|row| row.due_within(time, urgency, now)).sum()
    }

    /// Returns whether so many returns were booked that peers should be told at once, so that each
    /// is told several times.
    pub fn has_much_news(&self) -> bool {
        self.booked_since_news >= MAX_TOLD_BOOKINGS / 4
    }

    /// Returns what to tell peers, with up to `max_bookings` of the newest bookings; nothing while
    /// no return is promised here or by peers.
    pub fn news(&mut self, max_bookings: usize, now: Instant) -> Option<ReturnNews> {
        self.advance(now);
        self.booked_since_news = 0;
        let ms = |at: Instant| at.saturating_duration_since(now).as_millis() as u32;
        let newest = self.untold.iter().rev();
        let known = newest.filter_map(|(key, _)| Some((*key, self.bookings.get(key)?)));
        let bookings: Vec<_> = known
            .filter(|(_, booking)| booking.due > now)
            .take(max_bookings)
            .map(|(key, b)| (key, ms(b.due), ms(b.back_at), b.turn, b.is_repeated))
            .collect();
        let is_calm = self.own.is_empty() && bookings.is_empty() && self.peers.is_empty();
        (!is_calm).then(|| ReturnNews {
            asked: self.rate.asked(now),
            admitted: self.rate.admitted(now),
            promised: self.own.to_told(),
            bookings,
        })
    }

    /// Applies what a peer tells. Its rates and promises count only if it shares the room.
    pub fn apply_news(&mut self, from: &EntryId, news: &ReturnNews, shares: bool, now: Instant) {
        for (key, due_ms, back_ms, turn, is_repeated) in
            news.bookings.iter().take(MAX_TOLD_BOOKINGS)
        {
            let at = |ms: u32| now + Duration::from_millis(u64::from(ms)).min(SPAN * SPANS as u32);
            let mut booking = Booking::new(at(*due_ms), at(*back_ms), *turn, now);
            booking.is_repeated = *is_repeated;
            match self.bookings.get_mut(key) {
                Some(known) => known.merge(&booking),
                None => self.insert(*key, booking, now),
            }
        }
        let are_rates = |rates: [f64; 2]| rates.iter().all(|r| r.is_finite() && *r >= 0.0);
        if shares && are_rates([news.asked, news.admitted]) {
            let peer = Peer {
                told_at: now,
                asked: news.asked,
                admitted: news.admitted,
                promised: PromiseRow::from_told(&news.promised, now),
            };
            self.peers.insert(from.clone(), peer);
        }
    }

    /// Finds the first time from which room is left in the promised share.
    fn find_due(&self, first: Instant, rates: Rates, share: f64) -> Option<Instant> {
        let mut own = 0.0;
        let mut all = 0.0;
        for span in self.own.span_of(first)..SPANS {
            let start = self.own.start_of(span);
            own += self.own.count(span);
            let peers = self.peers.values();
            let peers = peers.map(|peer| peer.promised.count(peer.promised.span_of(start)));
            all += peers.sum::<f64>() + self.own.count(span);
            let wait_s = (own / (rates.own * share)).max(all / (rates.all * share));
            let longest = SPAN * SPANS as u32;
            let wait = Duration::from_secs_f64(wait_s.min(longest.as_secs_f64()));
            if first + wait < start + SPAN {
                return Some((first + wait).max(start));
            }
        }
        None
    }

    /// Returns the rates at which room is expected: what has been admitted lately, divided by
    /// what each entry is asked for. An entry without a sample of its own goes by its peers.
    fn rates(&self, now: Instant) -> Rates {
        let peers = self.heard(now);
        let (mut count, mut asked, mut admitted) = (0.0, 0.0, 0.0);
        for peer in peers {
            count += 1.0;
            asked += peer.asked;
            admitted += peer.admitted;
        }
        let has_sample = self.rate.has_sample(now) || count == 0.0;
        let (own_asked, own_admitted) = match has_sample {
            true => (self.rate.asked(now), self.rate.admitted(now)),
            false => (asked / count, admitted / count),
        };
        let all = (admitted + own_admitted).max(MIN_RATE);
        let part = own_asked / (asked + own_asked).max(f64::MIN_POSITIVE);
        Rates {
            own: (all * part).max(MIN_RATE),
            all,
        }
    }

    fn heard(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let is_recent = move |peer: &&Peer| now.saturating_duration_since(peer.told_at) < NEWS_TIME;
        self.peers.values().filter(is_recent)
    }

    fn insert(&mut self, key: u32, booking: Booking, now: Instant) {
        if self.bookings.len() >= MAX_BOOKINGS {
            self.bookings
                .retain(|_, booking| booking.due + KEEP_TIME > now);
        }
        if self.bookings.len() < MAX_BOOKINGS || self.bookings.contains_key(&key) {
            self.bookings.insert(key, booking);
        }
    }

    /// Lets the next news tell of a booking; only the newest are told.
    fn tell(&mut self, key: u32, now: Instant) {
        if self.untold.len() >= MAX_TOLD_BOOKINGS {
            self.untold.pop_front();
        }
        self.untold.push_back((key, now));
        self.booked_since_news += 1;
    }

    /// Drops what has passed.
    fn advance(&mut self, now: Instant) {
        self.own.advance(now);
        let is_recent = |at: Instant, time| now.saturating_duration_since(at) < time;
        self.peers
            .retain(|_, peer| is_recent(peer.told_at, NEWS_TIME));
        while let Some((_, at)) = self.untold.front()
            && !is_recent(*at, TELL_TIME)
        {
            self.untold.pop_front();
        }
    }
}

/// Returns the time until all peers have heard of a booking.
fn news_time(peers: usize) -> Duration {
    match peers {
        0 => Duration::ZERO,
        _ => SPAN * (1 + peers.div_ceil(LOAD_FANOUT) as u32),
    }
}

/// Returns by which share the time is raised that a caller is told if no room is in sight, so
/// that not all return at once.
fn spread(key: u32) -> f64 {
    MAX_SPREAD * f64::from(key) / f64::from(u32::MAX)
}

/// Returns the short key of a request. A collision lets a caller pass for another one that
/// returns.
fn key_of(digest: RequestDigest) -> u32 {
    digest.0 as u32
}
