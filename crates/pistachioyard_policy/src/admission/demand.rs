//! Measures how many tokens callers ask for.

use std::time::{Duration, Instant};

/// The time over which arrivals are averaged: a crowd counts within a few gossip periods, and a
/// single request does not pass for one.
const AVERAGING_TIME: Duration = Duration::from_secs(1);
/// The standard deviations of the demand that are covered besides its mean.
const DEVIATIONS: f64 = 2.0;
/// The demand below which a measure counts as idle, in tokens a second.
const IDLE_DEMAND: f64 = 0.5;

/// Holds the rate at which requests ask for tokens, admitted or not.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// The tokens a second.
    pub per_second: f64,
    /// The sum of the squares of the requests' tokens, a second; the variance of what arrives in a
    /// second.
    pub squares_per_second: f64,
}

impl Demand {
    /// Returns the tokens that may arrive within a time, with what they vary by.
    pub fn within(self, time: Duration) -> f64 {
        let seconds = time.as_secs_f64();
        let variance = self.squares_per_second.max(0.0) * seconds;
        (self.per_second * seconds + DEVIATIONS * variance.sqrt()).max(0.0)
    }

    /// Returns the demand without a part of it; none if too little is left.
    pub(super) fn without(self, part: Self) -> Self {
        let left = Self {
            per_second: (self.per_second - part.per_second).max(0.0),
            squares_per_second: (self.squares_per_second - part.squares_per_second).max(0.0),
        };
        match left.is_idle() {
            true => Self::default(),
            false => left,
        }
    }

    /// Returns whether too little arrives to be told of.
    pub(super) fn is_idle(self) -> bool {
        self.per_second < IDLE_DEMAND
    }

    fn scaled(self, factor: f64) -> Self {
        Self {
            per_second: self.per_second * factor,
            squares_per_second: self.squares_per_second * factor,
        }
    }
}

impl std::ops::AddAssign for Demand {
    fn add_assign(&mut self, other: Self) {
        self.per_second += other.per_second;
        self.squares_per_second += other.squares_per_second;
    }
}

/// Averages the demand that arrives at one entry.
#[derive(Clone, Copy, Debug)]
pub(super) struct MeasuredDemand {
    average: Demand,
    as_of: Instant,
}

impl MeasuredDemand {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            average: Demand::default(),
            as_of: now,
        }
    }

    pub(super) fn on_arrival(&mut self, tokens: f64, now: Instant) {
        let arrived = Demand {
            per_second: tokens,
            squares_per_second: tokens * tokens,
        };
        self.average = self.at(now);
        self.average += arrived.scaled(1.0 / AVERAGING_TIME.as_secs_f64());
        self.as_of = self.as_of.max(now);
    }

    /// Returns the average at a time; it fades while nothing arrives.
    pub(super) fn at(&self, now: Instant) -> Demand {
        let elapsed = now.saturating_duration_since(self.as_of).as_secs_f64();
        let decay = (-elapsed / AVERAGING_TIME.as_secs_f64()).exp();
        self.average.scaled(decay)
    }
}
