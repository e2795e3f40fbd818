//! A slot of a server, occupied by one request.

use std::sync::Arc;

use goldcrestramp_decisions::{RequestKey, is_reader_stalled};
use goldcrestramp_types::{LocalTime, RequestClass, SliceIndex, TimeSpan};

use crate::keeper::admission::ServerAdmission;

/// How the use of a slot ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SlotEnd {
    /// The server's response started after this time.
    Responded(TimeSpan),
    /// The server did not start the request.
    Refused,
    /// The server did not start the request, whose pass had ended. This says
    /// nothing about the server's load.
    PassEnded,
    /// No connection could be made.
    Unreachable,
    /// The response was truncated or did not arrive.
    Broken,
    /// The caller disconnected. This says nothing about the server.
    Cancelled,
}

/// Allows to run one request at a server; dropping it frees the slot.
#[derive(Debug)]
pub(crate) struct ServerSlot {
    admission: Arc<ServerAdmission>,
    key: RequestKey,
    class: RequestClass,
    slice: SliceIndex,
    since: LocalTime,
    /// How long the server took to start its response.
    ///
    /// The end is not measured, as a slow reader would make the server look
    /// slow.
    latency: Option<TimeSpan>,
    end: SlotEnd,
}

impl ServerSlot {
    pub(super) fn new(
        admission: Arc<ServerAdmission>,
        key: RequestKey,
        class: RequestClass,
        slice: SliceIndex,
    ) -> Self {
        let since = admission.now();
        let end = SlotEnd::Cancelled;
        Self { admission, key, class, slice, since, latency: None, end }
    }

    /// Records that the response has started.
    pub(crate) fn record_start(&mut self) {
        self.latency = Some(self.admission.now().since(self.since));
        self.admission.record_start();
    }

    /// Records that a part of the response arrived.
    pub(crate) fn record_progress(&self) {
        self.admission.record_progress();
    }

    /// Whether to abort the response because the caller has read nothing
    /// since `stalled_since`.
    pub(crate) fn is_reader_stalled(&self, stalled_since: LocalTime) -> bool {
        let now = self.admission.now();
        is_reader_stalled(now, stalled_since, self.admission.has_waiting())
    }

    /// The current time.
    pub(crate) fn now(&self) -> LocalTime {
        self.admission.now()
    }

    /// Records that the response was forwarded completely.
    pub(crate) fn record_complete(&mut self) {
        let latency = self.latency.unwrap_or(TimeSpan::ZERO);
        self.end = SlotEnd::Responded(latency);
    }

    /// Whether the server did not start the request.
    pub(crate) fn is_refused(&self) -> bool {
        self.end == SlotEnd::Refused
    }

    /// Records another end.
    pub(crate) const fn record_end(&mut self, end: SlotEnd) {
        self.end = end;
    }
}

impl Drop for ServerSlot {
    fn drop(&mut self) {
        if self.latency.is_none() {
            self.admission.record_start();
        }
        let slot_time = self.admission.now().since(self.since);
        self.admission.record_load(self.slice, slot_time);
        self.admission.finish(self.key, self.class, self.end);
    }
}
