//! Detects servers that stop responding in the middle of a response.
//!
//! A lost VM sends neither data nor a connection close, and TCP keeps such a
//! connection open until the reader's timeout: two minutes for a download.
//! Silence alone proves nothing, as a server may compute between two parts. So
//! a silent server is queried for the state of the request. Any answer shows
//! that it is alive, also while it is draining.

use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, StreamExt};

use crate::keeper::prove;

/// A server that has sent nothing for this time is queried.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// A server that leaves this many queries in a row unanswered is lost. With
/// the time of each query these are six to eight seconds, longer than a
/// garbage collection pauses a user's server.
const MAX_UNANSWERED: u32 = 3;

/// The server and request to query when a response stalls.
#[derive(Clone, Copy, Debug)]
pub(super) struct SilenceWatch<'a> {
    pub(super) http: &'a reqwest::Client,
    pub(super) address: &'a str,
    pub(super) request: &'a str,
}

impl SilenceWatch<'_> {
    /// The next part of a response, or `None` at its end.
    ///
    /// # Errors
    ///
    /// The response was truncated, or its server is lost.
    pub(super) async fn next(
        &self,
        chunks: &mut (impl Stream<Item = reqwest::Result<Bytes>> + Unpin),
    ) -> Option<Result<Bytes, ResponseLost>> {
        let mut unanswered = 0;
        while unanswered < MAX_UNANSWERED {
            let next =
                tokio::time::timeout(SILENCE_TIMEOUT, chunks.next()).await;
            if let Ok(next) = next {
                return next.map(|part| part.map_err(|_error| ResponseLost));
            }
            let state = prove::state(self.http, self.address, self.request);
            let is_alive = state.await.is_some();
            unanswered = if is_alive { 0 } else { unanswered + 1 };
        }
        Some(Err(ResponseLost))
    }
}

/// The response stays incomplete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct ResponseLost;
