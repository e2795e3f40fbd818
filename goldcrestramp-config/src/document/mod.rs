//! Reads JSON with comments and reports all faults at once.
//!
//! serde stops at the first fault. Here a document is parsed into a tree
//! whose nodes have positions. Readers take fields from it one by one and
//! collect each fault with its position, so that an operator can correct a
//! file in one pass.

mod fault;
mod fields;
mod positions;
mod tree;

pub use self::fault::{DocumentFault, FaultList, SourcePosition};
pub(crate) use self::{
    fields::{FieldReader, parse_value},
    positions::PositionIndex,
    tree::{DocumentNode, open_document},
};
