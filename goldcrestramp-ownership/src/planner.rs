//! The planner: which failure domain holds each slice.
//!
//! It divides a service's slices among failure domains and moves them
//! between domains. It never makes a server an owner: only the steward of
//! the domain that a [`ServiceRecord`] names may grant a slice.
//!
//! A move takes three changes, each of one record by compare-and-swap:
//!
//! 1. The planner notes the target beside the holder.
//! 2. The holder's steward lets its servers release the slice and puts the
//!    release on the record of its domain.
//! 3. The planner sees the release and makes the target the holder, whose
//!    steward may grant from then on.
//!
//! Each step can be repeated, and two planners may act at once, or one be
//! paused between reading and writing: a change is written only over the
//! very state that it was decided on. A lease keeps planners few, so that
//! they do not undo each other's work; nothing rests on it.
//!
//! A domain that cannot be reached keeps its slices, because it may be
//! serving them. Only a ticket that declares it lost takes them away; the
//! operator thereby asserts that its servers and entry VMs have stopped and
//! will start anew. When they do, the steward reads the record before it
//! grants anything, and finds there only what nobody has taken.

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
