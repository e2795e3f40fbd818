//! Answers whose server falls silent half way.
//!
//! A lost VM sends no byte and no end, and TCP alone keeps such a connection
//! open for as long as the reader waits: two minutes for a download. Silence
//! is no proof, though, as a server may work between two parts. So one that
//! is silent is asked what it knows of the request; any answer shows that
//! it lives, also while it is being drained.

use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, StreamExt};

use crate::keeper::prove;

/// A server that has sent nothing for so long is asked.
const SILENCE: Duration = Duration::from_secs(2);
/// A server that has not answered so often in a row is lost. With the time
/// of each question these are six to eight seconds, more than a server of
/// the users' stands still when it collects garbage.
const QUESTIONS: u32 = 3;

/// Whom to ask of a request whose answer does not go on.
#[derive(Clone, Copy, Debug)]
pub(super) struct SilenceWatch<'a> {
    pub(super) http: &'a reqwest::Client,
    pub(super) address: &'a str,
    pub(super) request: &'a str,
}

impl SilenceWatch<'_> {
    /// The next part of an answer; `None`: its end.
    ///
    /// # Errors
    ///
    /// The answer broke off, or its server is lost.
    pub(super) async fn next(
        &self,
        chunks: &mut (impl Stream<Item = reqwest::Result<Bytes>> + Unpin),
    ) -> Option<Result<Bytes, AnswerLost>> {
        let mut unanswered = 0;
        while unanswered < QUESTIONS {
            let next = tokio::time::timeout(SILENCE, chunks.next()).await;
            if let Ok(next) = next {
                return next.map(|part| part.map_err(|_error| AnswerLost));
            }
            let state = prove::state(self.http, self.address, self.request);
            let lives = state.await.is_some();
            unanswered = if lives { 0 } else { unanswered + 1 };
        }
        Some(Err(AnswerLost))
    }
}

/// An answer that will not be whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct AnswerLost;
