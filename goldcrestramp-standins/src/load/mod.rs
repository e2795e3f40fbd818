//! Open-loop load: requests arrive when they arrive, however slow the
//! answers are.
//!
//! Arrivals, callers and keys follow from a seed. A latency counts from the
//! moment at which the caller meant to send, so that a stall shows in every
//! request that it held up.

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
