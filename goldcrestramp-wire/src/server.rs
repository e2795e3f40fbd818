//! What a keeper and a backend server say to each other over HTTP.
//!
//! | call | body | reply |
//! | --- | --- | --- |
//! | `POST /grant` | [`GrantOrder`] | [`GrantReply`] |
//! | `POST /run` | the request's body | the answer, streamed |
//! | `POST /cancel/{request}` | none | [`RequestState`] |
//! | `GET /request/{request}` | none | [`RequestState`] |
//! | `GET /answer/{request}` | none | the kept answer, if any |
//!
//! Every reply that carries a clock reading is also an acknowledgement of
//! the order that it answers.

use goldcrestramp_types::{
    FenceToken, ServerTime, ServiceName, SliceSet, TimeSpan,
};
use serde::{Deserialize, Serialize};

/// Header: the request's id, `caller/request`, in and out.
pub const HEADER_REQUEST: &str = "x-goldcrestramp-request";
/// Header: the key, percent-encoded.
pub const HEADER_KEY: &str = "x-goldcrestramp-key";
/// Header: the slice index of the key.
pub const HEADER_SLICE: &str = "x-goldcrestramp-slice";
/// Header: the service's name.
pub const HEADER_SERVICE: &str = "x-goldcrestramp-service";
/// Header: the fencing token, see [`encode_token`].
pub const HEADER_TOKEN: &str = "x-goldcrestramp-token";
/// Header: the last moment at which work may start, in the server's clock.
pub const HEADER_START_BY: &str = "x-goldcrestramp-start-by";
/// Header: the deadline of the answer, in the server's clock.
pub const HEADER_DEADLINE: &str = "x-goldcrestramp-deadline";
/// Header: the class: `lookup`, `order` or `long`.
pub const HEADER_CLASS: &str = "x-goldcrestramp-class";
/// Header of an answer: `not-started` when the server refused to start.
pub const HEADER_STARTED: &str = "x-goldcrestramp-started";

/// What a keeper tells a server to hold.
///
/// Three forms:
///
/// * a question (`slices` and `accept_by` absent): the server replies with
///   its state and changes nothing;
/// * an extension (`slices` absent): it goes on with what it holds then;
/// * a grant (`slices` present): it holds these from now on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantOrder {
    /// The service whose slices these are.
    pub service: Option<ServiceName>,
    /// The fencing token of the order.
    pub token: FenceToken,
    /// The slices to hold from now on; absent in an extension.
    pub slices: Option<SliceSet>,
    /// The slices to give up: nothing new may start on them.
    pub release: SliceSet,
    /// When the grant ends.
    pub deadline: ServerTime,
    /// Present in an extension: the deadline of the grant it extends.
    ///
    /// Present in a grant that only names what the server holds already.
    ///
    /// An extension that arrives later than this is void, so a late message
    /// cannot bring a lapsed grant back to life.
    pub accept_by: Option<ServerTime>,
    /// The lowest token with which a request may start from now on.
    ///
    /// It rises with a change of keeper, not with every order, so that
    /// requests under way are not refused for each slice that moves.
    #[serde(default)]
    pub admits: FenceToken,
    /// The run of the server that the deadlines were reckoned for.
    pub run: u64,
}

/// What a server says of itself after an order or a question.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantReply {
    /// Whether the order was carried out.
    pub accepted: bool,
    /// Why not, for logs.
    pub refusal: Option<GrantRefusal>,
    /// The server's clock when it replied.
    pub clock: ServerTime,
    /// A random number drawn when the server started.
    pub run: u64,
    /// The token of the grant that it holds.
    pub token: FenceToken,
    /// The lowest token that it still accepts.
    pub fence: FenceToken,
    /// The slices it holds; empty once the grant has lapsed.
    ///
    /// Absent, like `last`, after an extension that changed no token: a
    /// renewal every 300 ms is not to carry thousands of slices.
    pub held: Option<SliceSet>,
    /// The slices it held last, also when the grant has lapsed since.
    ///
    /// A failure domain that starts while the store is away learns from
    /// this which slices are its own.
    pub last: Option<SliceSet>,
    /// The slices on which non-idempotent work is still under way though
    /// they were given up.
    pub busy: SliceSet,
    /// The end of its grant.
    pub deadline: ServerTime,
}

/// Why a server did not carry out an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GrantRefusal {
    /// The order's token is below the fence.
    OldToken,
    /// The extension came after its *accept by*.
    Lapsed,
    /// The order's own deadline has passed.
    Late,
    /// The order was reckoned for another run of the server.
    OtherRun,
}

/// What a server knows of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestState {
    /// It never reached the server, or not in this run.
    NotSeen,
    /// It was cancelled before it started; it never will.
    NotStarted,
    /// It is under way.
    Running,
    /// It ended; the answer may still be kept.
    Ended,
}

/// The answer to a question about a request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestReport {
    /// What the server knows.
    pub state: RequestState,
    /// The server's run; another run than expected proves nothing.
    pub run: u64,
    /// How long this run has lasted: one that is younger than a request
    /// may have replaced the run that executed it.
    #[serde(default)]
    pub age: TimeSpan,
}

/// Writes a token as it stands in [`HEADER_TOKEN`].
#[must_use]
pub fn encode_token(token: FenceToken) -> String {
    let term = token.term;
    format!(
        "{}.{:x}.{:x}.{}",
        term.number, term.vm, term.start, token.sequence
    )
}

/// Reads a token from [`HEADER_TOKEN`]; `None` if it is malformed.
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
