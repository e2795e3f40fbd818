//! Calls between VMs, on ports that only they use.
//!
//! The system works without them, only slower: through them a VM that the
//! store does not serve gets its updates from another, tables reach all VMs as
//! soon as they are committed, and the planning VM gets load reports.

mod busy;
mod client;
mod message;
mod server;

pub(crate) use crate::peers::busy::{BUSY_PATH, BusySource};
pub use crate::peers::{
    client::PeerClient,
    message::{
        KnownRevisions, PeerCall, PeerReply, StoreUpdate, SyncReply,
        SyncRequest,
    },
    server::{PeerSource, serve_peers},
};

/// The HTTP path at which calls of other VMs are accepted.
const PEER_PATH: &str = "/peer";
