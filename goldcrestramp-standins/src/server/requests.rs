//! What a server remembers of requests, within a bound.

use std::{collections::VecDeque, sync::Arc};

use bytes::Bytes;
use goldcrestramp_types::FastMap;
use goldcrestramp_wire::server::RequestState;

/// The most requests that are remembered after they ended.
const MEMORY_LIMIT: usize = 65_536;
/// The most answers that are kept.
const ANSWER_LIMIT: usize = 8_192;

/// What is known of one request.
#[derive(Clone, Debug)]
struct KnownRequest {
    state: RequestState,
    cancelled: bool,
    answer: Option<Bytes>,
}

/// The requests that a server remembers.
#[derive(Debug, Default)]
pub(super) struct RequestTable {
    known: FastMap<Arc<str>, KnownRequest>,
    ended: VecDeque<Arc<str>>,
    answered: VecDeque<Arc<str>>,
}

impl RequestTable {
    /// What is known of a request.
    pub(super) fn state(&self, request: &str) -> RequestState {
        self.known.get(request).map_or(RequestState::NotSeen, |r| r.state)
    }

    /// Whether a request was cancelled, before or after its start.
    pub(super) fn is_cancelled(&self, request: &str) -> bool {
        self.known.get(request).is_some_and(|known| known.cancelled)
    }

    /// Notes that a request has started.
    pub(super) fn started(&mut self, request: &Arc<str>) {
        self.put(request, RequestState::Running, false);
    }

    /// Notes that a request has ended, with the answer to keep.
    pub(super) fn ended(&mut self, request: &Arc<str>, kept: Option<Bytes>) {
        self.put(request, RequestState::Ended, false);
        self.remember(request);
        let Some(answer) = kept else {
            return;
        };
        if let Some(known) = self.known.get_mut(request) {
            known.answer = Some(answer);
        }
        self.answered.push_back(Arc::clone(request));
        if self.answered.len() > ANSWER_LIMIT {
            self.drop_answer();
        }
    }

    /// Cancels a request; one that has not started never will.
    pub(super) fn cancel(&mut self, request: &str) -> RequestState {
        let request = Arc::from(request);
        if let Some(known) = self.known.get_mut(&request) {
            known.cancelled = true;
        } else {
            self.put(&request, RequestState::NotStarted, true);
            self.remember(&request);
        }
        self.state(&request)
    }

    /// The answer to a request that has ended, if it is still kept.
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

    /// Forgets the oldest request when there are too many.
    fn remember(&mut self, request: &Arc<str>) {
        self.ended.push_back(Arc::clone(request));
        if self.ended.len() <= MEMORY_LIMIT {
            return;
        }
        if let Some(oldest) = self.ended.pop_front() {
            self.known.remove(&oldest);
        }
    }

    fn drop_answer(&mut self) {
        let Some(oldest) = self.answered.pop_front() else {
            return;
        };
        if let Some(known) = self.known.get_mut(&oldest) {
            known.answer = None;
        }
    }
}
