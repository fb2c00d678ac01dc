//! Raises fencing tokens above those that endpoints have seen and no entry knows of.
//!
//! A lease that was lost begins with low tokens again. Endpoints refuse them without naming the
//! token that they have seen.

use pistachioyard_wire::Fence;

/// The factor by which the lead grows while orders are refused.
const LEAD_GROWTH: u64 = 16;
/// The maximum lead. An endpoint that refuses every token does not use them up.
const MAX_LEAD: u64 = 1 << 20;

/// Tracks how far the next fencing token is ahead of one whose orders endpoints refused.
///
/// The first lead is 1, which no holder with a later token notices.
#[derive(Clone, Copy, Debug, Default)]
pub struct FenceLead {
    lead: u64,
}

impl FenceLead {
    /// Returns a token that endpoints may have seen, since they refused an order with `refused`.
    pub fn raise(&mut self, refused: Fence) -> Fence {
        self.lead = self.lead.saturating_mul(LEAD_GROWTH).clamp(1, MAX_LEAD);
        Fence(refused.0.saturating_add(self.lead))
    }

    /// Records that no endpoint refused the orders, or that another entry holds the lease.
    pub fn reset(&mut self) {
        self.lead = 0;
    }
}
