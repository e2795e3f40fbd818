//! The planner decides which failure domain holds each slice.
//!
//! It divides a service's slices among failure domains and moves them
//! between domains. It never makes a server an owner: only the steward of
//! the domain that the [`ServiceRecord`] names as holder may grant a slice.
//!
//! A move takes three changes. Each changes one record by compare-and-swap:
//!
//! 1. The planner adds the target to the slice's holding.
//! 2. The holder's steward makes its servers release the slice and puts the
//!    release on the record of its domain.
//! 3. The planner reads the release and makes the target the holder. From
//!    then on the target's steward may grant the slice.
//!
//! Each step can be retried. Two planners may act at once, and a planner may
//! be paused between reading and writing, because a change is written only
//! over the exact state on which it was decided. A lease limits the number of
//! planners so that they do not undo each other's changes. Correctness does
//! not depend on the lease.
//!
//! A domain that cannot be reached keeps its slices, because it may be
//! serving them. Only a ticket that declares the domain lost takes them away.
//! With it the operator asserts that the domain's servers and entry VMs have
//! stopped and will restart. After the restart the steward reads the record
//! before it grants anything, and the record lists only the slices that were
//! not reassigned.

mod division;
mod domain_plan;
mod policy;
mod record;
mod round;

pub use self::{
    domain_plan::domain_plan,
    policy::{DomainShare, ServicePolicy},
    record::{RecordDomain, ServiceRecord, SliceHolding},
    round::{DomainMove, DomainView, PlannerRound, RecordStage, ViewStage},
};
