//! A bounded table of the requests that a server knows.

use std::{collections::VecDeque, sync::Arc};

use bytes::Bytes;
use goldcrestramp_types::FastMap;
use goldcrestramp_wire::server::RequestState;

/// The maximum number of requests that are kept after they ended.
const MAX_ENDED_REQUESTS: usize = 65_536;
/// The maximum number of response bodies that are kept.
const ANSWER_LIMIT: usize = 8_192;

/// The state of one request.
#[derive(Clone, Debug)]
struct KnownRequest {
    state: RequestState,
    cancelled: bool,
    answer: Option<Bytes>,
}

/// All requests that a server knows.
#[derive(Debug, Default)]
pub(super) struct RequestTable {
    known: FastMap<Arc<str>, KnownRequest>,
    ended: VecDeque<Arc<str>>,
    answered: VecDeque<Arc<str>>,
}

impl RequestTable {
    /// The state of a request.
    pub(super) fn state(&self, request: &str) -> RequestState {
        self.known.get(request).map_or(RequestState::NotSeen, |r| r.state)
    }

    /// Whether a request was cancelled, before or after its start.
    pub(super) fn is_cancelled(&self, request: &str) -> bool {
        self.known.get(request).is_some_and(|known| known.cancelled)
    }

    /// Records the start of a request.
    pub(super) fn started(&mut self, request: &Arc<str>) {
        self.put(request, RequestState::Running, false);
    }

    /// Records the end of a request and the response body to keep.
    pub(super) fn ended(&mut self, request: &Arc<str>, answer: Option<Bytes>) {
        self.put(request, RequestState::Ended, false);
        self.record_ended(request);
        let Some(answer) = answer else {
            return;
        };
        if let Some(known) = self.known.get_mut(request) {
            known.answer = Some(answer);
        }
        self.answered.push_back(Arc::clone(request));
        if self.answered.len() > ANSWER_LIMIT {
            self.evict_answer();
        }
    }

    /// Cancels a request; if it has not started, it never will.
    pub(super) fn cancel(&mut self, request: &str) -> RequestState {
        let request = Arc::from(request);
        if let Some(known) = self.known.get_mut(&request) {
            known.cancelled = true;
        } else {
            self.put(&request, RequestState::NotStarted, true);
            self.record_ended(&request);
        }
        self.state(&request)
    }

    /// The response body of an ended request, if it is still kept.
    pub(super) fn answer(&self, request: &str) -> Option<Bytes> {
        self.known.get(request)?.answer.clone()
    }

    fn put(
        &mut self,
        request: &Arc<str>,
        state: RequestState,
        cancelled: bool,
    ) {
        let known = KnownRequest { state, cancelled, answer: None };
        self.known.insert(Arc::clone(request), known);
    }

    /// Records an ended request and evicts the oldest one above the maximum.
    fn record_ended(&mut self, request: &Arc<str>) {
        self.ended.push_back(Arc::clone(request));
        if self.ended.len() <= MAX_ENDED_REQUESTS {
            return;
        }
        if let Some(oldest) = self.ended.pop_front() {
            self.known.remove(&oldest);
        }
    }

    fn evict_answer(&mut self) {
        let Some(oldest) = self.answered.pop_front() else {
            return;
        };
        if let Some(known) = self.known.get_mut(&oldest) {
            known.answer = None;
        }
    }
}
