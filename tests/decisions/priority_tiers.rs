//! Tests of grouping weights into priority tiers.

use marlshelf::{PriorityTier, PriorityTiers};

#[test]
fn a_tier_begins_where_a_weight_falls_below_the_ratio() {
    let tiers = PriorityTiers::by_weight_ratio(vec![1.0, 10.0, 7.0, 6.0, 5.0, 4.0], 0.7);
    // The tiers begin at 10, 6, 4 and 1: 7 is not below 0.7 times 10, and 5 is not below 0.7 times 6.
    assert_eq!(tiers.count(), 4);
    let expected = [(10.0, 0), (7.0, 0), (6.0, 1), (5.0, 1), (4.0, 2), (1.0, 3)];
    for (weight, tier) in expected {
        assert_eq!(tiers.tier_of(weight), PriorityTier(tier), "{weight}");
    }
}

#[test]
fn without_weights_there_is_one_tier() {
    let tiers = PriorityTiers::by_weight_ratio(Vec::new(), 0.7);
    assert_eq!((tiers.count(), tiers.tier_of(3.0)), (1, PriorityTier(0)));
}
