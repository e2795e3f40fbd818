/*!
The protocol between nodes and the protocol with backend servers.

[`peer`] is the protocol between daemons: protocol buffers over gRPC. Its code
is generated from `proto/peer.proto` and committed. [`delta`] reduces the size
of its most frequent messages. [`server`] is the protocol between a keeper and
a backend server: JSON and plain bodies over HTTP.
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

/// The messages, client and server of the protocol between daemons.
pub mod peer {
    pub use crate::generated::*;
}
