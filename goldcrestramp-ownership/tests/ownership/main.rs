//! The ownership machines in a small world of faults, against an oracle.

mod fault;

mod message;
mod random;
mod standin;
mod world;

mod failures;
mod fuzz;
#[expect(
    clippy::unreadable_literal,
    reason = "runs of faults stand as the fuzzer printed them"
)]
mod late_grants;
mod mutations;
#[expect(
    clippy::unreadable_literal,
    clippy::too_many_lines,
    reason = "runs of faults stand as the fuzzer printed them"
)]
mod regressions;
mod scale;
