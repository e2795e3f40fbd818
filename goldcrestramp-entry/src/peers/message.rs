//! What VMs tell one another.

use std::sync::Arc;

use goldcrestramp_assignment::TablePatch;
use serde::{Deserialize, Serialize};

use crate::{
    control::LoadReport,
    mirror::{MirrorDelta, StoreMirror},
};

/// A call of one VM to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerCall {
    /// Asks for what has changed in the store since a revision.
    Sync {
        /// The revision up to which the asking VM knows all changes.
        revision: u64,
        /// Items that it knows newer, with their revisions.
        ahead: Vec<(Arc<str>, u64)>,
        /// Whether to wait for a change, if there is none yet.
        wait: bool,
    },
    /// Tells what a commit has changed in a table.
    TableChange {
        /// The table's key in the store.
        key: Arc<str>,
        /// The revision of the table from which the patch was made.
        base: u64,
        /// The store's revision of the commit.
        revision: u64,
        /// What has changed.
        patch: TablePatch,
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

/// What has changed in the store since a revision.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StoreNews {
    /// Nothing.
    None,
    /// This.
    Changes(MirrorDelta),
    /// More than is remembered: all of it.
    Whole(StoreMirror),
}

/// The answer to a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// It was taken.
    Taken,
    /// The patch is for a table that this VM does not have.
    OtherBase,
    /// What has changed in the store.
    News {
        /// The changes.
        news: StoreNews,
        /// Whether the answering VM follows the store itself.
        fresh: bool,
    },
    /// That run plans no more and has no order under way.
    StoodDown,
    /// That run still has orders under way.
    Busy,
}
