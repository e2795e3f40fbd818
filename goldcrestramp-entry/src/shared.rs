//! The state that the control thread and the traffic thread share, in
//! addition to the fleet view.

use std::sync::Arc;

use goldcrestramp_adapter::NodeSettings;
use goldcrestramp_decisions::ReachRule;

use crate::{
    control::{
        ControlActivity, FreshnessClock, LoadRecorder, PermitMailbox,
        RetryRecorder, ShareBoard,
    },
    crashes::CrashBoard,
    metrics::EntryMetrics,
    notices::NoticeBoard,
    reach::ReachTracker,
};

/// The state shared by both threads; a clone refers to the same state.
#[derive(Clone, Debug, Default)]
pub struct SharedState {
    /// The recorded load, reported to the planning VM.
    pub loads: LoadRecorder,
    /// The shares of capacity that the planning VM allots to this VM.
    pub shares: ShareBoard,
    /// The use of the retry budgets, reported to the planning VM.
    pub retries: RetryRecorder,
    /// Permits for servers that state a rate limit.
    pub permits: PermitMailbox,
    /// The metrics of this VM.
    pub metrics: Arc<EntryMetrics>,
    /// The time up to which the store's changes are known.
    pub clock: FreshnessClock,
    /// Whether the control thread is busy.
    pub activity: ControlActivity,
    /// What servers have stated in their responses.
    pub notices: NoticeBoard,
    /// The requests under which servers have ended.
    pub crashes: CrashBoard,
    /// Whether this VM reaches the servers of each service.
    pub reach: ReachTracker,
}

impl SharedState {
    /// The state of a VM with these settings.
    #[must_use]
    pub fn open(settings: &NodeSettings) -> Self {
        let rule = if settings.load_control {
            ReachRule::ProbesAndResponses
        } else {
            ReachRule::Probes
        };
        let metrics = Arc::<EntryMetrics>::default();
        let reach = ReachTracker::open(rule, metrics.slow_rounds.clone());
        Self { metrics, reach, ..Self::default() }
    }
}
