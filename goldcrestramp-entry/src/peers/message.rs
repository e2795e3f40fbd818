//! What VMs tell one another.

use goldcrestramp_types::TimeSpan;
use serde::{Deserialize, Serialize};

use crate::{
    configuration::{ConfigurationRevision, ConfigurationUpdate},
    control::{LoadReport, PermitGrants, PermitRequests},
    history::{TableRevision, TableUpdate},
    mirror::{MirrorDelta, StoreMirror},
};

/// A call of one VM to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerCall {
    /// Asks for what has changed in the store.
    Sync {
        /// What the asking VM knows.
        known: KnownRevisions,
        /// Whether to wait for a change, if there is none yet.
        wait: bool,
    },
    /// Tells of tables that were committed.
    Tables(Vec<TableUpdate>),
    /// Tells the planning VM what was asked for.
    Load(LoadReport),
    /// Tells a former planner that another has taken its place.
    StepDown {
        /// The run of the program that is meant.
        start: u64,
    },
    /// Asks the planning VM for permits.
    Permits(PermitRequests),
}

/// How much of the store a VM knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KnownRevisions {
    /// The revision up to which it knows all changes.
    pub revision: u64,
    /// The versions of the tables that it has.
    pub tables: Vec<TableRevision>,
    /// How much of the configuration it knows.
    pub configuration: ConfigurationRevision,
}

/// What has changed in the store.
///
/// Tables and the configuration stand apart, as they are told by what has
/// changed in them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StoreUpdate {
    /// Nothing.
    Unchanged,
    /// Some of it.
    Delta {
        /// Items that have changed.
        items: MirrorDelta,
        /// Tables that have changed.
        tables: Vec<TableUpdate>,
        /// The configuration, if it has changed.
        configuration: Option<ConfigurationUpdate>,
    },
    /// More than is remembered: all of it.
    Snapshot {
        /// All other items.
        items: StoreMirror,
        /// Tables that have changed.
        tables: Vec<TableUpdate>,
        /// The configuration, if it has changed.
        configuration: Option<ConfigurationUpdate>,
    },
}

/// The answer to a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// It was taken.
    Accepted,
    /// The versions of the tables that the VM has now.
    Tables(Vec<TableRevision>),
    /// What has changed in the store.
    Update {
        /// The changes.
        update: StoreUpdate,
        /// How long ago the store was as these tell.
        age: TimeSpan,
        /// For how long the call had waited for news by then.
        held: TimeSpan,
        /// Whether the answering VM follows the store itself.
        fresh: bool,
    },
    /// That run plans no more and has no order under way.
    SteppedDown,
    /// That run still has orders under way.
    Busy,
    /// The permits that were given.
    Permits(PermitGrants),
}
