//! What VMs tell one another.

use goldcrestramp_types::TimeSpan;
use serde::{Deserialize, Serialize};

use crate::{
    configuration::{ConfigurationMark, ConfigurationNews},
    control::{LoadReport, PermitGrants, PermitRequests},
    history::{TableMark, TableNews},
    mirror::{MirrorDelta, StoreMirror},
};

/// A call of one VM to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerCall {
    /// Asks for what has changed in the store.
    Sync {
        /// What the asking VM knows.
        known: NewsMarks,
        /// Whether to wait for a change, if there is none yet.
        wait: bool,
    },
    /// Tells of tables that were committed.
    Tables(Vec<TableNews>),
    /// Tells the planning VM what was asked for.
    Load(LoadReport),
    /// Tells a former planner that another has taken its place.
    StandDown {
        /// The run of the program that is meant.
        start: u64,
    },
    /// Asks the planning VM for permits.
    Permits(PermitRequests),
}

/// How much of the store a VM knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NewsMarks {
    /// The revision up to which it knows all changes.
    pub revision: u64,
    /// The versions of the tables that it has.
    pub tables: Vec<TableMark>,
    /// How much of the configuration it knows.
    pub configuration: ConfigurationMark,
}

/// What has changed in the store.
///
/// Tables and the configuration stand apart, as they are told by what has
/// changed in them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StoreNews {
    /// Nothing.
    None,
    /// Some of it.
    Changes {
        /// Items that have changed.
        items: MirrorDelta,
        /// Tables that have changed.
        tables: Vec<TableNews>,
        /// The configuration, if it has changed.
        configuration: Option<ConfigurationNews>,
    },
    /// More than is remembered: all of it.
    Whole {
        /// All other items.
        items: StoreMirror,
        /// Tables that have changed.
        tables: Vec<TableNews>,
        /// The configuration, if it has changed.
        configuration: Option<ConfigurationNews>,
    },
}

/// The answer to a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// It was taken.
    Taken,
    /// The versions of the tables that the VM has now.
    Tables(Vec<TableMark>),
    /// What has changed in the store.
    News {
        /// The changes.
        news: StoreNews,
        /// How long ago the store was as these tell.
        age: TimeSpan,
        /// For how long the call had waited for news by then.
        held: TimeSpan,
        /// Whether the answering VM follows the store itself.
        fresh: bool,
    },
    /// That run plans no more and has no order under way.
    StoodDown,
    /// That run still has orders under way.
    Busy,
    /// The permits that were given.
    Permits(PermitGrants),
}
