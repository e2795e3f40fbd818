//! An open-loop load generator: arrivals don't wait for responses.
//!
//! Arrivals, callers and keys are drawn from a seed. Latency is measured from
//! the time at which the caller intended to send, so that a stall shows in
//! every request that it delayed.

mod call;
mod compare;
mod draw;
mod plan;
mod plot;
mod report;
mod run;

pub use self::{
    compare::compare_reports,
    plan::{LoadPlan, LoadStream, PlanError},
    plot::plot_report,
    report::{FaultMark, LatencyFigures, LoadReport, SecondFigures},
    run::{LoadProgress, run_load},
};
