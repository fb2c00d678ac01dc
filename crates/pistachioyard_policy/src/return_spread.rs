//! Spreads the returns of callers that are refused.
//!
//! Load pattern: endpoints crash or all entries restart, and many callers are refused at the same
//! moment. Told the same time, they return at the same moment, and are refused again.

use rand::Rng;

/// The bounds of a return, as multiples of the time after which there should be room. Some return
/// before it, since requests end all the time; the span is one and a half times that time.
const BOUNDS: std::ops::RangeInclusive<f64> = 0.5..=2.0;

/// Returns after how many ms one caller is to return, if there should be room after `room_ms`.
pub fn spread_return_ms(room_ms: u64, rng: &mut impl Rng) -> u64 {
    (room_ms as f64 * rng.random_range(BOUNDS)).round() as u64
}
