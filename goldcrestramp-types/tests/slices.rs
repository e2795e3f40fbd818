//! Slice sets behave as sets, and travel as their runs without loss.

use std::collections::BTreeSet;

use goldcrestramp_types::{SliceIndex, SliceSet};
use proptest::prelude::*;

fn set_of(numbers: &BTreeSet<u32>) -> SliceSet {
    numbers.iter().filter_map(|n| SliceIndex::new(*n)).collect()
}

proptest! {
    #[test]
    fn a_set_survives_its_runs(
        numbers in prop::collection::btree_set(0_u32..65_536, 0..200),
    ) {
        let set = set_of(&numbers);
        let back = SliceSet::from(set.ranges());
        prop_assert_eq!(&back, &set);
        prop_assert_eq!(back.len(), numbers.len());
    }

    #[test]
    fn set_operations_match_the_standard_ones(
        left in prop::collection::btree_set(0_u32..300, 0..100),
        right in prop::collection::btree_set(0_u32..300, 0..100),
    ) {
        let mut union = set_of(&left);
        union.union_with(&set_of(&right));
        let mut rest = set_of(&left);
        rest.subtract(&set_of(&right));
        let mut both = set_of(&left);
        both.intersect_with(&set_of(&right));
        let expected: BTreeSet<u32> = &left | &right;
        prop_assert_eq!(&union, &set_of(&expected));
        let expected: BTreeSet<u32> = &left - &right;
        prop_assert_eq!(&rest, &set_of(&expected));
        let expected: BTreeSet<u32> = &left & &right;
        prop_assert_eq!(&both, &set_of(&expected));
        let shared = !expected.is_empty();
        prop_assert_eq!(set_of(&left).overlaps(&set_of(&right)), shared);
    }
}
