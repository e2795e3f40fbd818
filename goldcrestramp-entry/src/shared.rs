//! What the control thread and the traffic thread share, besides the view.

use std::sync::Arc;

use crate::{
    control::{FreshnessClock, LoadRecorder, PermitMailbox},
    metrics::EntryMetrics,
};

/// What both threads hold; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct SharedState {
    /// What was asked for, told to the planning VM.
    pub loads: LoadRecorder,
    /// Permits for servers that name a limit.
    pub permits: PermitMailbox,
    /// What is counted.
    pub metrics: Arc<EntryMetrics>,
    /// The moment up to which the store's changes are known.
    pub clock: FreshnessClock,
}
