//! Every key has at most one owner, under any sequence of faults.
//!
//! Several VMs plan one after the other and at the same time. Servers crash,
//! restart, drain, become unregistered and return. Commits and orders are
//! lost, carried out late or not at all. The oracle is what each server
//! itself holds by its own clock, which may run 2% slow.

mod cluster;
mod fuzz;
