//! What placement sees, and what it asks for.

use goldcrestramp_types::{SliceIndex, SliceSet};

/// A server, or a failure domain, that can hold slices of a service.
#[derive(Clone, Debug, Default)]
pub struct TargetView {
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it may be given slices: the rules let it, it is reachable
    /// and not draining.
    pub open: bool,
    /// A number for its region; moves between regions cost more.
    pub region: u16,
    /// The slices that it holds.
    pub held: SliceSet,
    /// Slices with long work in progress, which a move would wait for.
    pub long_work: SliceSet,
}

/// What a place reports of its load.
#[derive(Clone, Debug, Default)]
pub struct TargetReport {
    /// The slots in use, averaged over the report's interval.
    pub busy: f64,
    /// The slots in use by its heaviest slices; the rest is spread evenly
    /// over its other slices.
    pub heavy: Vec<(SliceIndex, f64)>,
}

/// A move that placement asks for; places by their position.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedMove {
    /// The slice.
    pub slice: SliceIndex,
    /// Who holds it.
    pub source: usize,
    /// Who is to hold it.
    pub target: usize,
}
