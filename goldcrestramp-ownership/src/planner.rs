//! The planner: which failure domain holds each slice.
//!
//! It divides a service's slices among failure domains and moves them
//! between domains. It never makes a server an owner: only the steward of
//! the domain that a [`ServiceRecord`] names may grant a slice.

mod record;

pub use record::{ServiceRecord, SliceHolding};
