//! Reading JSON with comments so that all faults are told at once.
//!
//! serde stops at the first fault. Here a document becomes a tree whose
//! nodes know where they stand; readers take fields from it one by one and
//! note each fault with its place, so that an operator mends a file in one
//! go.

mod fault;
mod fields;
mod positions;
mod tree;

pub use self::fault::{DocumentFault, FaultList, SourcePosition};
pub(crate) use self::{
    fields::{FieldReader, leaf},
    positions::PlaceIndex,
    tree::{DocumentNode, open_document},
};
