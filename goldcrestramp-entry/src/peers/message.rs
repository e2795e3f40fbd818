//! What VMs tell one another.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{control::LoadReport, mirror::StoreMirror};

/// A call of one VM to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerCall {
    /// Asks for the store's contents, if they are known beyond a revision:
    /// the store turns the asking VM away.
    Sync {
        /// The revision up to which the asking VM knows all changes.
        revision: u64,
    },
    /// Tells of a table that was just committed.
    Table {
        /// The table's key in the store.
        key: Arc<str>,
        /// The table's bytes.
        value: Vec<u8>,
        /// The store's revision of the commit.
        revision: u64,
    },
    /// Tells the planning VM what was asked for.
    Load(LoadReport),
    /// Tells a former planner that another has taken its place.
    StandDown {
        /// The run of the program that is meant.
        start: u64,
    },
}

/// The answer to a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// It was taken.
    Taken,
    /// The store's contents, if they are newer than what was asked.
    Mirror(Option<StoreMirror>),
    /// That run plans no more and has no order under way.
    StoodDown,
    /// That run still has orders under way.
    Busy,
}
