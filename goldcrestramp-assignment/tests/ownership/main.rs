//! One owner a key, under any order of faults.
//!
//! Two VMs plan in turn and at the same time, servers crash, restart,
//! leave, lapse and return, commits and orders are lost, carried out late
//! or not at all. The oracle is what each server itself holds, by its own
//! clock, which may run 2% slow.

mod fuzz;
mod world;
