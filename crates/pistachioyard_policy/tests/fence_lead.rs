//! Tests that fencing tokens pass those that endpoints have seen, without using them up.

use pistachioyard_policy::FenceLead;
use pistachioyard_wire::Fence;

/// Returns how many refusals it takes until a token is higher than one that endpoints have seen.
fn refusals_until(seen: u64) -> usize {
    let (mut lead, mut fence, mut refusals) = (FenceLead::default(), Fence(1), 0);
    while fence.0 < seen {
        fence = lead.raise(fence).next();
        refusals += 1;
    }
    refusals
}

#[test]
fn a_token_passes_those_that_endpoints_have_seen_after_a_few_refusals() {
    assert_eq!(refusals_until(2), 1);
    assert!(refusals_until(40) <= 3);
    assert!(refusals_until(1_000_000) <= 6);
}

#[test]
fn the_first_refusal_names_no_token_above_that_of_a_later_holder() {
    let mut lead = FenceLead::default();
    assert_eq!(lead.raise(Fence(7)), Fence(8));
    lead.raise(Fence(8));
    lead.reset();
    assert_eq!(lead.raise(Fence(9)), Fence(10));
}

#[test]
fn an_endpoint_that_refuses_all_orders_for_a_year_does_not_use_up_the_tokens() {
    let (mut lead, mut fence) = (FenceLead::default(), Fence(1));
    for _ in 0..2 * 60 * 60 * 24 * 365_u32 {
        fence = lead.raise(fence).next();
    }
    // JSON numbers are exact up to there.
    assert!(fence.0 < 1 << 53);
}
