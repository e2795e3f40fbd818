//! Slice sets behave as sets, and convert to ranges without loss.

use std::collections::BTreeSet;

use goldcrestramp_types::{SliceIndex, SliceSet};
use proptest::prelude::*;

fn set_of(numbers: &BTreeSet<u32>) -> SliceSet {
    numbers.iter().filter_map(|n| SliceIndex::new(*n)).collect()
}

proptest! {
    #[test]
    fn a_set_equals_the_set_of_its_ranges(
        numbers in prop::collection::btree_set(0_u32..65_536, 0..200),
    ) {
        let set = set_of(&numbers);
        let restored = SliceSet::from(set.ranges());
        prop_assert_eq!(&restored, &set);
        prop_assert_eq!(restored.len(), numbers.len());
    }

    #[test]
    fn set_operations_match_the_standard_ones(
        left in prop::collection::btree_set(0_u32..300, 0..100),
        right in prop::collection::btree_set(0_u32..300, 0..100),
    ) {
        let mut union = set_of(&left);
        union.union_with(&set_of(&right));
        let mut difference = set_of(&left);
        difference.subtract(&set_of(&right));
        let mut intersection = set_of(&left);
        intersection.intersect_with(&set_of(&right));
        let expected: BTreeSet<u32> = &left | &right;
        prop_assert_eq!(&union, &set_of(&expected));
        let expected: BTreeSet<u32> = &left - &right;
        prop_assert_eq!(&difference, &set_of(&expected));
        let expected: BTreeSet<u32> = &left & &right;
        prop_assert_eq!(&intersection, &set_of(&expected));
        let shared = !expected.is_empty();
        prop_assert_eq!(set_of(&left).overlaps(&set_of(&right)), shared);
    }
}
