//! For how long slices have no server that surely serves them.

use goldcrestramp_types::{LocalTime, ServiceName, TimeSpan};

/// How often a steward looks.
///
/// A loss lasts one to two seconds; a look goes over every slice set of the
/// domain, some 50 microseconds at 128 servers of 65,536 slices.
const LOOK_EVERY: TimeSpan = TimeSpan::from_millis(200);

/// Adds up the unserved slices between looks.
#[derive(Debug, Default)]
pub(crate) struct UnservedMeter {
    looked: Option<LocalTime>,
}

impl UnservedMeter {
    /// Whether it is time to look.
    pub(crate) fn due(&self, now: LocalTime) -> bool {
        self.looked.is_none_or(|at| now.since(at) >= LOOK_EVERY)
    }

    /// Takes what is unserved now; gives for each service the slices, and
    /// the span for which they count. The first look counts for nothing.
    pub(crate) fn take(
        &mut self,
        now: LocalTime,
        counts: Vec<(ServiceName, usize)>,
    ) -> Vec<(ServiceName, usize, TimeSpan)> {
        let before = self.looked.replace(now).unwrap_or(now);
        let span = now.since(before);
        let counts = counts.into_iter();
        counts.map(|(service, slices)| (service, slices, span)).collect()
    }
}
