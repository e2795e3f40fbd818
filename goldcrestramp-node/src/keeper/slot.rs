//! A slot of a server, held by one request.

use std::sync::Arc;

use goldcrestramp_decisions::{RequestKey, is_reader_stalled};
use goldcrestramp_types::{LocalTime, RequestClass, SliceIndex, TimeSpan};

use crate::keeper::admission::ServerAdmission;

/// How the use of a slot ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SlotEnd {
    /// The server's answer began after this time.
    Answered(TimeSpan),
    /// The server did not start the request.
    Refused,
    /// No connection could be made.
    Unreachable,
    /// The answer broke off or did not come.
    Broken,
    /// The caller went away; says nothing of the server.
    Cancelled,
}

/// Leave to run one request at a server; dropped, the slot is free.
#[derive(Debug)]
pub(crate) struct ServerSlot {
    admission: Arc<ServerAdmission>,
    key: RequestKey,
    class: RequestClass,
    slice: SliceIndex,
    since: LocalTime,
    /// How long the server took to begin its answer.
    ///
    /// Its end is not measured: a slow reader would make the server look
    /// slow.
    began: Option<TimeSpan>,
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
        Self { admission, key, class, slice, since, began: None, end }
    }

    /// Notes that the answer has begun.
    pub(crate) fn begin(&mut self) {
        self.began = Some(self.admission.now().since(self.since));
        self.admission.replied();
    }

    /// Notes that a part of the answer came.
    pub(crate) fn progress(&self) {
        self.admission.progressed();
    }

    /// Whether the answer is to be broken off, of which the caller has
    /// taken nothing since `stalled_since`.
    pub(crate) fn is_reader_stalled(&self, stalled_since: LocalTime) -> bool {
        let now = self.admission.now();
        is_reader_stalled(now, stalled_since, self.admission.has_waiting())
    }

    /// The present moment.
    pub(crate) fn now(&self) -> LocalTime {
        self.admission.now()
    }

    /// Notes that the answer was passed on whole.
    pub(crate) fn complete(&mut self) {
        let span = self.began.unwrap_or(TimeSpan::ZERO);
        self.end = SlotEnd::Answered(span);
    }

    /// Notes another end.
    pub(crate) const fn fail(&mut self, end: SlotEnd) {
        self.end = end;
    }
}

impl Drop for ServerSlot {
    fn drop(&mut self) {
        if self.began.is_none() {
            self.admission.replied();
        }
        let used = self.admission.now().since(self.since);
        self.admission.record_load(self.slice, used);
        self.admission.finish(self.key, self.class, self.end);
    }
}
