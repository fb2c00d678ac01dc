//! The state that entries send to each other, as datagrams in CBOR.

use pistachioyard_policy::{Heartbeat, ReturnNews, StoreEra, ToldBooking};
use pistachioyard_wire::{Fence, LayerRange, MemberRecord, PartReport, QuarantineMark};
use serde::{Deserialize, Serialize};

use crate::router::ToldDeparture;
use crate::router::told_age::ToldAge;

/// Holds the state that entries send to each other.
#[derive(Deserialize, Serialize)]
pub(super) struct Gossip {
    /// The sender's record, followed by some that it relays.
    pub(super) members: Vec<MemberRecord>,
    /// The heartbeats of other entries.
    #[serde(default)]
    pub(super) heartbeats: Vec<Heartbeat>,
    /// Whether the sender can reach the store.
    pub(super) reaches_store: bool,
    /// The store revision of the newest endpoint change that the sender has seen.
    pub(super) endpoints_revision: u64,
    /// The era of that revision, if it is known.
    #[serde(default)]
    pub(super) endpoints_era: Option<StoreEra>,
    /// The digest of the sender's list of endpoints, and the age of its confirmation.
    #[serde(default)]
    pub(super) endpoints_fresh: Option<(u64, ToldAge)>,
    /// The age of the confirmation of the sender's configuration, whose version is in its record.
    #[serde(default)]
    pub(super) config_age_ms: Option<ToldAge>,
    /// The highest fencing token of the placement lease that the sender knows of, since the
    /// store may lose it.
    #[serde(default)]
    pub(super) newest_fence: Fence,
    /// A load per endpoint: short key, requests, token-layers. It is the sender's for peers in its
    /// data centre, and the data centre's for others; none if the sender does not know that yet.
    #[serde(default)]
    pub(super) load: Option<Vec<(u32, u32, f32)>>,
    /// What the sender tells of requests that leave their data centre.
    #[serde(default)]
    pub(super) departures: Vec<ToldDeparture>,
    /// The prompt tokens times layers that are being read at each endpoint, by short key, in the
    /// same scope as the load; the endpoints with the most.
    #[serde(default)]
    pub(super) reading: Vec<(u32, u64)>,
    /// The demand for services: key, urgency, tokens a second, their squares; of the sender or of
    /// its data centre, as the load.
    #[serde(default)]
    pub(super) demand: Vec<(u32, u8, f32, f32)>,
    /// The largest workspaces of services: key, key of the workspace, tokens in progress, tokens
    /// asked for a second, their squares; of the sender or of its data centre.
    #[serde(default)]
    pub(super) workspaces: Vec<(u32, u32, f32, f32, f32)>,
    /// The layer reports that the sender has recently received from endpoints.
    pub(super) heard: Vec<LayerReport>,
    /// The runs of endpoints that are leaving: short key, Unix time of the start in ms.
    #[serde(default)]
    pub(super) leaving: Vec<(u32, Option<u64>)>,
    /// The runs of endpoints that refused a connection lately: short key, Unix time of the start in
    /// ms, time since.
    #[serde(default)]
    pub(super) dead: Vec<(u32, Option<u64>, ToldAge)>,
    /// The limits that endpoints have named, and those that have ended lately.
    #[serde(default)]
    pub(super) limits: Vec<LimitNotice>,
    /// The services of which the sender misses endpoints: key, silent endpoints, whether it
    /// reaches none.
    #[serde(default)]
    pub(super) reach: Vec<(u32, u32, bool)>,
    /// The returns that the sender has promised to refused callers.
    #[serde(default)]
    pub(super) returns: Vec<ReturnNotice>,
    /// The requests that crashed endpoints.
    pub(super) quarantine: Vec<QuarantineMark>,
    /// The findings about prompt parts; empty from entries that have none.
    #[serde(default)]
    pub(super) parts: PartReport,
    /// Whether a task of the sender keeps ending, so that what it tells may be stale.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub(super) is_failing: bool,
    /// Whether the lists of news are left out, so that the message tells only of the load.
    #[serde(default)]
    pub(super) load_only: bool,
}

/// Holds what an endpoint reported about its layers.
#[derive(Deserialize, Serialize)]
pub(super) struct LayerReport {
    /// The short key of the endpoint.
    pub(super) key: u32,
    pub(super) layers: Option<LayerRange>,
    pub(super) is_moving: bool,
    pub(super) orders_begun: u64,
    pub(super) started_unix_ms: Option<u64>,
    pub(super) slowdown: f32,
    pub(super) age_ms: ToldAge,
}

/// Holds what an endpoint said of its limit.
#[derive(Deserialize, Serialize)]
pub(super) struct LimitNotice {
    /// The short key of the endpoint.
    pub(super) key: u32,
    pub(super) started_unix_ms: Option<u64>,
    /// The requests a second that it takes from all entries; none if there is no limit any more.
    pub(super) per_second: Option<f64>,
    pub(super) age_ms: ToldAge,
}

/// Holds what an entry tells of the returns to one service.
#[derive(Deserialize, Serialize)]
pub(super) struct ReturnNotice {
    /// The key of the service.
    pub(super) service: u32,
    /// The requests a second that the sender was lately asked for, and has admitted.
    pub(super) rates: (f32, f32),
    /// The returns that it has promised, by time span and urgency.
    pub(super) promised: Vec<u16>,
    /// Its newest bookings.
    pub(super) bookings: Vec<ToldBooking>,
}

impl From<(u32, ReturnNews)> for ReturnNotice {
    fn from((service, news): (u32, ReturnNews)) -> Self {
        Self {
            service,
            rates: (news.asked as f32, news.admitted as f32),
            promised: news.promised,
            bookings: news.bookings,
        }
    }
}

impl From<ReturnNotice> for (u32, ReturnNews) {
    fn from(notice: ReturnNotice) -> Self {
        let (asked, admitted) = notice.rates;
        let news = ReturnNews {
            asked: f64::from(asked),
            admitted: f64::from(admitted),
            promised: notice.promised,
            bookings: notice.bookings,
        };
        (notice.service, news)
    }
}
