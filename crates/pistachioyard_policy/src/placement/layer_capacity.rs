//! Total capacity of each layer of one model version.

use pistachioyard_wire::LayerRange;

/// The rate, in tokens per second, below which a layer counts as uncovered.
const COVERED_RATE: f64 = 1e-6;

/// The number of holders and the total token rate of each layer.
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

    fn indices(&self, range: LayerRange) -> std::ops::Range<usize> {
        let len = self.rates.len();
        (range.first() as usize).min(len)..(range.end() as usize).min(len)
    }

    /// Adds a holder of a range.
    pub(super) fn add(&mut self, range: LayerRange, rate: f64) {
        for layer in self.indices(range) {
            self.rates[layer] += rate;
            self.holders[layer] += 1;
        }
    }

    /// Removes a holder of a range.
    pub(super) fn remove(&mut self, range: LayerRange, rate: f64) {
        for layer in self.indices(range) {
            self.holders[layer] = self.holders[layer].saturating_sub(1);
            let remaining = self.rates[layer] - rate;
            self.rates[layer] = if self.holders[layer] == 0 {
                0.0
            } else {
                remaining
            };
        }
    }

    /// Returns the number of layers without a holder.
    pub(super) fn uncovered(&self) -> usize {
        self.holders.iter().filter(|holders| **holders == 0).count()
    }

    /// Returns the number of layers of a range without a holder.
    pub(super) fn uncovered_in(&self, range: LayerRange) -> usize {
        self.holders[self.indices(range)]
            .iter()
            .filter(|holders| **holders == 0)
            .count()
    }

    /// Returns whether every layer of a range has more than one holder.
    pub(super) fn is_redundant(&self, range: LayerRange) -> bool {
        self.holders[self.indices(range)]
            .iter()
            .all(|holders| *holders > 1)
    }

    /// Returns the first contiguous range of layers without a holder.
    pub(super) fn first_gap(&self) -> Option<LayerRange> {
        let first = self.holders.iter().position(|holders| *holders == 0)?;
        let len = self.holders[first..]
            .iter()
            .take_while(|holders| **holders == 0)
            .count();
        let first = u32::try_from(first).ok()?;
        LayerRange::new(first, first + u32::try_from(len).ok()?).ok()
    }

    /// Returns the minimum rate over all layers.
    pub(super) fn min_rate(&self) -> f64 {
        self.rates.iter().copied().reduce(f64::min).unwrap_or(0.0)
    }

    /// Returns the minimum rate over the layers of a range.
    pub(super) fn min_rate_in(&self, range: LayerRange) -> f64 {
        self.rates[self.indices(range)]
            .iter()
            .copied()
            .reduce(f64::min)
            .unwrap_or(0.0)
    }

    /// Returns the sum of the time per token over the layers, in seconds.
    ///
    /// Minimising the sum raises the lowest rates first. Unlike the minimum rate, it
    /// also ranks changes that improve only some of the layers.
    pub(super) fn time_per_token(&self) -> f64 {
        self.rates
            .iter()
            .map(|rate| 1.0 / rate.max(COVERED_RATE))
            .sum()
    }

    /// Returns by how much another holder of a range would lower the time per token.
    pub(super) fn gain(&self, range: LayerRange, rate: f64) -> f64 {
        self.rates[self.indices(range)]
            .iter()
            .map(|current| {
                1.0 / current.max(COVERED_RATE) - 1.0 / (current + rate).max(COVERED_RATE)
            })
            .sum()
    }
}
