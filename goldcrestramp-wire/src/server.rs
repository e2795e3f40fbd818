//! The protocol between a keeper and a backend server over HTTP.
//!
//! | call | body | reply |
//! | --- | --- | --- |
//! | `POST /grant` | [`GrantOrder`] | [`GrantReply`] |
//! | `POST /run` | the request's body | the response, streamed |
//! | `POST /cancel/{request}` | none | [`RequestState`] |
//! | `GET /request/{request}` | none | [`RequestState`] |
//! | `GET /answer/{request}` | none | the stored response, if any |
//!
//! Every reply that contains a clock reading also acknowledges the order that
//! it replies to.

use goldcrestramp_types::{
    FenceToken, ServerTime, ServiceName, SliceSet, TimeSpan,
};
use serde::{Deserialize, Serialize};

/// Header of requests and responses: the request's id, `caller/request`.
pub const HEADER_REQUEST: &str = "x-goldcrestramp-request";
/// Header: the key, percent-encoded.
pub const HEADER_KEY: &str = "x-goldcrestramp-key";
/// Header: the slice index of the key.
pub const HEADER_SLICE: &str = "x-goldcrestramp-slice";
/// Header: the service's name.
pub const HEADER_SERVICE: &str = "x-goldcrestramp-service";
/// Header: the fencing token, see [`encode_token`].
pub const HEADER_TOKEN: &str = "x-goldcrestramp-token";
/// Header: the latest time at which work may start, by the server's clock.
pub const HEADER_START_BY: &str = "x-goldcrestramp-start-by";
/// Header: the deadline of the response, by the server's clock.
pub const HEADER_DEADLINE: &str = "x-goldcrestramp-deadline";
/// Header: the class: `lookup`, `order` or `long`.
pub const HEADER_CLASS: &str = "x-goldcrestramp-class";
/// Header of a response: `not-started` if the server refused to start.
pub const HEADER_STARTED: &str = "x-goldcrestramp-started";

/// A keeper's order that sets the slices which a server holds.
///
/// It has three forms:
///
/// * a query (`slices` and `accept_by` absent): the server replies with its
///   state and changes nothing;
/// * an extension (`slices` absent): the server keeps the slices that it
///   holds at that time;
/// * a grant (`slices` present): the server holds these from now on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantOrder {
    /// The service that the slices belong to.
    pub service: Option<ServiceName>,
    /// The fencing token of the order.
    pub token: FenceToken,
    /// The slices to hold from now on; absent in an extension.
    pub slices: Option<SliceSet>,
    /// The slices to release: no new work may start on them.
    pub release: SliceSet,
    /// The time at which the grant expires.
    pub deadline: ServerTime,
    /// In an extension, the deadline of the grant that it extends.
    ///
    /// Also present in a grant that lists only slices which the server holds
    /// already.
    ///
    /// An extension that arrives later than this is rejected, so a late
    /// message cannot renew an expired grant.
    pub accept_by: Option<ServerTime>,
    /// The lowest token with which a request may start from now on.
    ///
    /// It increases with a change of keeper, not with every order, so that
    /// requests in flight are not rejected for each slice that moves.
    #[serde(default)]
    pub admits: FenceToken,
    /// The server instance whose clock the deadlines refer to.
    pub run: u64,
}

/// A server's state after an order or a query.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantReply {
    /// Whether the order was applied.
    pub accepted: bool,
    /// The reason why it was not applied, for logs.
    pub refusal: Option<GrantRefusal>,
    /// The server's clock when it replied.
    pub clock: ServerTime,
    /// The server's instance: a random number chosen at its start.
    pub run: u64,
    /// The token of the current grant.
    pub token: FenceToken,
    /// The lowest token that the server accepts.
    pub fence: FenceToken,
    /// The slices that the server holds; empty after the grant has expired.
    ///
    /// Absent, like `last`, after an extension that changed no token, so that
    /// a renewal every 300 ms doesn't contain thousands of slices.
    pub held: Option<SliceSet>,
    /// The slices that the server held last, even if the grant has expired.
    ///
    /// A failure domain that starts while the store is unavailable determines
    /// its own slices from this.
    pub last: Option<SliceSet>,
    /// The released slices on which non-idempotent work is still in
    /// progress.
    pub busy: SliceSet,
    /// The time at which the server's grant expires.
    pub deadline: ServerTime,
}

/// The reason why a server did not apply an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GrantRefusal {
    /// The order's token is below the fence.
    OldToken,
    /// The extension arrived later than its `accept_by`.
    Lapsed,
    /// The order's own deadline has passed.
    Late,
    /// The order was made for another instance of the server.
    OtherRun,
}

/// The state of a request on a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestState {
    /// It has not reached this instance of the server.
    NotSeen,
    /// It was cancelled before it started and never starts.
    NotStarted,
    /// It is in progress.
    Running,
    /// It has completed; the response may still be stored.
    Ended,
}

/// The reply to a query about a request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestReport {
    /// The state of the request.
    pub state: RequestState,
    /// The server's instance; a reply from an unexpected one proves nothing.
    pub run: u64,
    /// The age of this instance: one that is younger than a request may have
    /// replaced the instance that executed it.
    #[serde(default)]
    pub age: TimeSpan,
}

/// Encodes a token for [`HEADER_TOKEN`].
#[must_use]
pub fn encode_token(token: FenceToken) -> String {
    let term = token.term;
    format!(
        "{}.{:x}.{:x}.{}",
        term.number, term.vm, term.start, token.sequence
    )
}

/// Decodes a token from [`HEADER_TOKEN`]; `None` if it is malformed.
#[must_use]
pub fn decode_token(text: &str) -> Option<FenceToken> {
    let mut parts = text.split('.');
    let number = parts.next()?.parse().ok()?;
    let vm = u64::from_str_radix(parts.next()?, 16).ok()?;
    let start = u64::from_str_radix(parts.next()?, 16).ok()?;
    let sequence = parts.next()?.parse().ok()?;
    if parts.next().is_some() {
        return None;
    }
    let term = goldcrestramp_types::TermId { number, vm, start };
    Some(FenceToken { term, sequence })
}
