//! Random numbers that are the same in each run.

/// The next number of the sequence that `state` holds.
pub fn next_number(state: &mut u64) -> u64 {
    *state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
    *state >> 33
}
