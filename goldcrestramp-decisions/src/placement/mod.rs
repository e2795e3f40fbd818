//! Decides which server, or failure domain, gets which slice.
//!
//! A few keys get much of the traffic, other keys minutes later, and servers
//! are added, removed and drained. Without placement the server of a hot key
//! queues while others idle, and the slices of a lost server stay wherever
//! they were reassigned.
//!
//! The same planner serves servers within a failure domain and failure domains
//! within a deployment: both are *targets* with slots. Rules on failure domain
//! and region are applied in the list of targets: one that may not own a slice
//! doesn't accept slices.
//!
//! - [`LoadEstimate`] smooths the loads that targets report for their slices.
//! - [`PlacementPlanner`] plans moves: only where a target is outside the band
//!   around the mean, only while the saved waiting outweighs the cost of the
//!   move, within a budget of moves a minute. A hot slice stays, and others
//!   leave its server.
//! - [`assign_orphans`] spreads the slices of a target that is lost or drains.
//! - [`hash_placement`] and [`greedy_moves`] are baselines. They are simpler,
//!   so the planner is worth its complexity only while it outperforms them.

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
