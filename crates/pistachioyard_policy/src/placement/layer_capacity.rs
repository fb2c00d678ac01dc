//! Summed capacity of each layer of one model version.

use pistachioyard_wire::LayerRange;

/// Below this rate, in tokens per second, a layer counts as uncovered.
const COVERED_RATE: f64 = 1e-6;

/// The holders and token rate of each layer.
#[derive(Clone, Debug)]
pub(super) struct LayerCapacity {
    rates: Vec<f64>,
    holders: Vec<u32>,
}

impl LayerCapacity {
    pub(super) fn new(layers: u32) -> Self {
        Self {
            rates: vec![0.0; layers as usize],
            holders: vec![0; layers as usize],
        }
    }

    fn places(&self, range: LayerRange) -> std::ops::Range<usize> {
        let len = self.rates.len();
        (range.first() as usize).min(len)..(range.end() as usize).min(len)
    }

    /// Adds a holder of a range.
    pub(super) fn add(&mut self, range: LayerRange, rate: f64) {
        for layer in self.places(range) {
            self.rates[layer] += rate;
            self.holders[layer] += 1;
        }
    }

    /// Takes a holder of a range away.
    pub(super) fn remove(&mut self, range: LayerRange, rate: f64) {
        for layer in self.places(range) {
            self.holders[layer] = self.holders[layer].saturating_sub(1);
            let left = self.rates[layer] - rate;
            self.rates[layer] = if self.holders[layer] == 0 { 0.0 } else { left };
        }
    }

    /// Returns the number of layers without a holder.
    pub(super) fn uncovered(&self) -> usize {
        self.holders.iter().filter(|holders| **holders == 0).count()
    }

    /// Returns the number of layers of a range without a holder.
    pub(super) fn uncovered_in(&self, range: LayerRange) -> usize {
        self.holders[self.places(range)]
            .iter()
            .filter(|holders| **holders == 0)
            .count()
    }

    /// Tells whether every layer of a range has another holder beside one.
    pub(super) fn is_redundant(&self, range: LayerRange) -> bool {
        self.holders[self.places(range)]
            .iter()
            .all(|holders| *holders > 1)
    }

    /// Returns the first stretch of layers without a holder.
    pub(super) fn first_gap(&self) -> Option<LayerRange> {
        let first = self.holders.iter().position(|holders| *holders == 0)?;
        let len = self.holders[first..]
            .iter()
            .take_while(|holders| **holders == 0)
            .count();
        let first = u32::try_from(first).ok()?;
        LayerRange::new(first, first + u32::try_from(len).ok()?).ok()
    }

    /// Returns the least rate over the layers.
    pub(super) fn bound(&self) -> f64 {
        self.rates.iter().copied().reduce(f64::min).unwrap_or(0.0)
    }

    /// Returns the least rate over the layers of a range.
    pub(super) fn bound_in(&self, range: LayerRange) -> f64 {
        self.rates[self.places(range)]
            .iter()
            .copied()
            .reduce(f64::min)
            .unwrap_or(0.0)
    }

    /// Returns the sum over the layers of the time per token, in seconds.
    ///
    /// Lowering it raises the least rates first, and unlike the least rate alone
    /// it tells apart two changes that each help only a part of the layers.
    pub(super) fn time_per_token(&self) -> f64 {
        self.rates
            .iter()
            .map(|rate| 1.0 / rate.max(COVERED_RATE))
            .sum()
    }

    /// Returns by how much adding a holder of a range would lower that sum.
    pub(super) fn gain(&self, range: LayerRange, rate: f64) -> f64 {
        self.rates[self.places(range)]
            .iter()
            .map(|now| 1.0 / now.max(COVERED_RATE) - 1.0 / (now + rate).max(COVERED_RATE))
            .sum()
    }
}
