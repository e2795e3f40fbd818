//! What VMs tell one another, over the ports that are theirs alone.
//!
//! Everything goes without it, only later: a VM that the store turns away
//! learns from another, tables reach all VMs as soon as they are
//! committed, and the planning VM learns what is asked for.

mod client;
mod message;
mod server;

pub use crate::peers::{
    client::PeerClient,
    message::{KnownRevisions, PeerCall, PeerReply, StoreUpdate},
    server::{PeerSource, serve_peers},
};

/// Where calls of other VMs are taken.
const PEER_PATH: &str = "/peer";
