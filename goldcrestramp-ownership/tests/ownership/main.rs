//! The ownership machines in a small world of faults, against an oracle.

mod fault;
mod message;
mod random;
mod standin;
mod world;

mod failures;
mod fuzz;
mod mutations;
mod regressions;
