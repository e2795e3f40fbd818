/*!
The protocol between nodes, and the one towards backend servers.

[`peer`] is what daemons speak with each other: protocol buffers over gRPC,
generated from `proto/peer.proto` and committed. [`delta`] keeps its most
frequent messages small. [`server`] is what a keeper
speaks with a backend server: JSON and plain bodies over HTTP.
*/

pub mod delta;
pub mod server;

/// The generated messages, client and server of the peer protocol.
#[expect(
    missing_docs,
    clippy::pedantic,
    clippy::clone_on_ref_ptr,
    clippy::allow_attributes_without_reason,
    reason = "generated code; proto/peer.proto holds the comments"
)]
#[rustfmt::skip]
mod generated;

/// Messages, client and server of the protocol between daemons.
pub mod peer {
    pub use crate::generated::*;
}
