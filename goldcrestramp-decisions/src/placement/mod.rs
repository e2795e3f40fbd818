//! Which server, or failure domain, gets which slice.
//!
//! The load that this answers: a few keys get much of the traffic, and
//! others do so minutes later; servers come, go and drain. Without it the
//! server of a hot key queues while others idle, and slices that a lost
//! server had stay where they fell.
//!
//! The same decision serves servers within a failure domain and failure
//! domains within a deployment: both are *places* with slots. Rules on
//! failure domain and region are in the list of places: one that may not
//! own a slice is not open.
//!
//! - [`LoadEstimate`] smooths what places report of their slices.
//! - [`PlacementPlanner`] asks for moves: only where a place is out of the
//!   band around the mean, only while the saved waiting outweighs what the
//!   move costs, within a budget of moves a minute. A hot slice stays;
//!   others leave its server.
//! - [`assign_orphans`] spreads the slices of a place that is gone.
//! - [`hash_placement`] and [`greedy_moves`] are baselines: what is simpler
//!   must be beaten, or used.

mod assign;
mod balance;
mod baseline;
mod budget;
mod load;
mod settings;
mod view;
mod waiting;

pub use self::{
    assign::assign_orphans,
    balance::PlacementPlanner,
    baseline::{greedy_moves, hash_placement},
    load::LoadEstimate,
    settings::PlacementSettings,
    view::{PlannedMove, TargetReport, TargetView},
    waiting::waiting_requests,
};
