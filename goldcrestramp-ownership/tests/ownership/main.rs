//! The ownership machines in a simulated failure domain with faults, checked
//! by an oracle.

mod fault;

mod cluster;
mod message;
mod nodes;
mod random;

mod failures;
mod fuzz;
#[expect(
    clippy::unreadable_literal,
    reason = "fault sequences are kept as the fuzzer printed them"
)]
mod late_grants;
mod mutations;
#[expect(
    clippy::unreadable_literal,
    clippy::too_many_lines,
    reason = "fault sequences are kept as the fuzzer printed them"
)]
mod regressions;
mod scale;
