//! The input and output of placement.

use goldcrestramp_types::{SliceIndex, SliceSet};

/// A server, or a failure domain, that can hold slices of a service.
#[derive(Clone, Debug, Default)]
pub struct TargetView {
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether slices may be assigned to it: the rules allow it, it is
    /// reachable and not draining.
    pub accepts_slices: bool,
    /// The number of its region. Moves between regions cost more.
    pub region: u16,
    /// The slices that it holds.
    pub held: SliceSet,
    /// Slices with long work in progress, which a move would wait for.
    pub long_work: SliceSet,
}

/// The load that a target reports.
#[derive(Clone, Debug, Default)]
pub struct TargetReport {
    /// The slots in use, averaged over the report's interval.
    pub busy: f64,
    /// The slots in use by each of its heaviest slices. The rest is spread
    /// evenly over its other slices.
    pub heavy: Vec<(SliceIndex, f64)>,
}

/// A planned move. Targets are given by their positions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedMove {
    /// The slice to move.
    pub slice: SliceIndex,
    /// The position of the current holder.
    pub source: usize,
    /// The position of the new holder.
    pub target: usize,
}
