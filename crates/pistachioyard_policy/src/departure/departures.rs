//! Follows how short a data centre is, what it offers to others and what others grant it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pistachioyard_wire::DataCentre;

use super::centre_news::CentreNews;
use super::centre_room::CentreRoom;
use super::demand::{Demand, weight_of};
use super::terms::{CentreTerms, DepartureTerms};
use crate::pipeline::PipelineSpec;

/// The share of memory in use up to which no request wants to leave. Requests take about twice as
/// long there as on empty endpoints.
const CALM_FILL: f64 = 0.55;
/// The share of memory in use from which every request would leave; little more is given out.
const SHORT_FILL: f64 = 0.75;
/// The time in which the wish to leave follows a growing shortage: two gossip periods, in which
/// the entries of a data centre have heard of each other's load.
const RISE: Duration = Duration::from_millis(500);
/// The time in which it follows a shortage that ends; about as long as a request stays, since those
/// in progress elsewhere end as slowly.
const FALL: Duration = Duration::from_secs(2);
/// The time in which a grant follows its offer: the age that an offer may have.
const GRANT_FOLLOWS: Duration = Duration::from_secs(1);
/// The wish to leave from which an entry counts among those that divide an offer.
const WANTING_FROM: f64 = 0.05;
/// The share of a data centre's memory that is offered to nobody: what is not given out at home,
/// and a tenth for those who choose among the same endpoints at one moment.
const KEPT_SHARE: f64 = 0.25;

/// The smallest part of a request that is rounded up.
const MIN_ROUNDING: f64 = 0.01;

/// Holds an entry's view of one service with endpoints in several data centres.
#[derive(Clone, Debug)]
pub struct Departures {
    /// The part of a request from which a grant is rounded up to a whole one.
    rounding: f64,
    want: f64,
    offered_tokens: f64,
    demand: Demand,
    news: BTreeMap<DataCentre, CentreNews>,
    /// The tokens that this entry may have in progress in each other data centre.
    granted: BTreeMap<DataCentre, f64>,
    reviewed_at: Option<Instant>,
}

impl Departures {
    /// Creates the state of an entry. `rounding` is from 0 to 1 and differs between entries, so
    /// that many small parts of an offer add up to it.
    pub fn new(rounding: f64) -> Self {
        Self {
            rounding: rounding.clamp(MIN_ROUNDING, 1.0),
            want: 0.0,
            offered_tokens: 0.0,
            demand: Demand::default(),
            news: BTreeMap::new(),
            granted: BTreeMap::new(),
            reviewed_at: None,
        }
    }

    /// Records what another data centre has told.
    pub fn note(&mut self, centre: DataCentre, news: CentreNews) {
        self.news.insert(centre, news);
    }

    /// Assesses the room at home, what home can offer and what the entry may send elsewhere.
    ///
    /// `wanting_peers` is the number of other entries of the data centre that want to send
    /// elsewhere.
    pub fn review(&mut self, home: &CentreRoom, wanting_peers: usize, now: Instant) {
        let since = self.reviewed_at.replace(now);
        let pause = since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let shortage = ((home.fill - CALM_FILL) / (SHORT_FILL - CALM_FILL)).clamp(0.0, 1.0);
        let follows_in = if shortage > self.want { RISE } else { FALL };
        self.want += (shortage - self.want) * weight_of(pause, follows_in);
        self.demand.note(home.own_tokens, now);
        let kept = KEPT_SHARE * home.capacity + self.demand.growth(home.own_tokens);
        self.offered_tokens = (home.unused_by_own - kept).max(0.0) * (1.0 - self.want);
        self.news.retain(|_, news| !news.is_outdated(now));
        self.review_grants(wanting_peers, pause, now);
    }

    fn review_grants(&mut self, wanting_peers: usize, pause: Duration, now: Instant) {
        let wanting = wanting_peers + 1;
        let elsewhere: usize = self.news.values().map(|news| news.wanting).sum();
        for (centre, news) in &self.news {
            let sharing = wanting + elsewhere - news.wanting;
            let part = news.offered_tokens * news.weight(now) / sharing as f64;
            let target = if self.wants() { part } else { 0.0 };
            let granted = self.granted.entry(centre.clone()).or_default();
            *granted += (target - *granted) * weight_of(pause, GRANT_FOLLOWS);
            // A smaller offer counts at once, since the other data centre's callers come first.
            *granted = granted.min(part);
        }
        let news = &self.news;
        self.granted.retain(|centre, _| news.contains_key(centre));
    }

    /// Returns the terms on which requests may start elsewhere. `used` is the number of tokens
    /// that this entry's requests use in a data centre.
    pub fn terms(&self, spec: &PipelineSpec, used: impl Fn(&DataCentre) -> f64) -> DepartureTerms {
        let centres = self.granted.iter().map(|(centre, granted)| {
            let room_tokens = granted - used(centre);
            let terms = CentreTerms::new(spec, self.want, room_tokens);
            (centre.clone(), terms)
        });
        DepartureTerms {
            centres: centres.collect(),
            rounding: self.rounding,
        }
    }

    /// Returns whether this entry wants to send requests elsewhere.
    pub fn wants(&self) -> bool {
        self.want >= WANTING_FROM
    }

    /// Returns how strongly requests want to leave, from 0 to 1.
    pub fn want(&self) -> f64 {
        self.want
    }

    /// Returns the memory that the data centre offers to all others together, in tokens.
    pub fn offered_tokens(&self) -> f64 {
        self.offered_tokens
    }

    /// Returns the memory elsewhere that this entry may use, in tokens.
    pub fn granted_tokens(&self) -> f64 {
        self.granted.values().sum()
    }
}
