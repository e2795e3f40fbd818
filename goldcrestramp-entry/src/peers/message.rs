//! The messages between VMs.
//!
//! They are encoded with `postcard`, so the order and types of their fields
//! and variants are fixed; the names are not.

use goldcrestramp_types::TimeSpan;
use serde::{Deserialize, Serialize};

use crate::{
    configuration::{
        ConfigurationExtension, ConfigurationRevision, ConfigurationUpdate,
    },
    control::{LoadReport, PermitGrants, PermitRequests},
    history::{TableRevision, TableUpdate},
    mirror::{MirrorDelta, StoreMirror},
};

/// A call of one VM to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerCall {
    /// Requests the changes of the store, as earlier builds do: they can't
    /// read an extension of the configuration.
    BasicSync {
        /// The revisions that the calling VM knows.
        known: KnownRevisions,
        /// Whether to wait for a change if there is none yet.
        wait: bool,
    },
    /// Replicates tables that were committed.
    Tables(Vec<TableUpdate>),
    /// Reports a VM's load to the planning VM.
    Load(LoadReport),
    /// Notifies a previous planner that another VM has replaced it.
    StepDown {
        /// Identifies the VM instance that is meant, by its `start`.
        start: u64,
    },
    /// Requests permits from the planning VM.
    Permits(PermitRequests),
    /// Requests the changes of the store. A VM of an earlier build does not
    /// reply, and another one is followed.
    Sync {
        /// The revisions that the calling VM knows.
        known: KnownRevisions,
        /// Whether to wait for a change if there is none yet.
        wait: bool,
    },
}

impl PeerCall {
    /// The revisions that the calling VM knows and whether the call waits for
    /// changes, if it requests changes.
    #[must_use]
    pub const fn sync_inputs(&self) -> Option<(&KnownRevisions, bool)> {
        match self {
            Self::BasicSync { known, wait } | Self::Sync { known, wait } => {
                Some((known, *wait))
            }
            _ => None,
        }
    }
}

/// The revisions up to which a VM knows the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KnownRevisions {
    /// The revision up to which it knows all changes.
    pub revision: u64,
    /// The versions of the tables that it has.
    pub tables: Vec<TableRevision>,
    /// The revisions of the configuration that it knows.
    pub configuration: ConfigurationRevision,
}

/// The changes of the store.
///
/// Tables and the configuration are separate, because they are sent as
/// patches.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StoreUpdate {
    /// No changes.
    Unchanged,
    /// The items that have changed.
    Delta {
        /// The items that have changed or were removed.
        items: MirrorDelta,
        /// The tables that have changed.
        tables: Vec<TableUpdate>,
        /// The configuration, if it has changed.
        configuration: Option<ConfigurationUpdate>,
    },
    /// The full store, because the changes since the known revision are no
    /// longer available.
    Snapshot {
        /// All items except tables and the configuration.
        items: StoreMirror,
        /// The tables that have changed.
        tables: Vec<TableUpdate>,
        /// The configuration, if it has changed.
        configuration: Option<ConfigurationUpdate>,
    },
}

impl StoreUpdate {
    /// The extension of the configuration in the update.
    #[must_use]
    pub fn extension(&self) -> ConfigurationExtension {
        match self {
            Self::Unchanged => ConfigurationExtension::default(),
            Self::Delta { configuration, .. }
            | Self::Snapshot { configuration, .. } => {
                let update = configuration.as_ref();
                update.map(ConfigurationUpdate::extension).unwrap_or_default()
            }
        }
    }

    /// Adds the extension that was received beside the update.
    fn with_extension(mut self, extension: ConfigurationExtension) -> Self {
        if let Self::Delta { configuration, .. }
        | Self::Snapshot { configuration, .. } = &mut self
        {
            *configuration = configuration
                .take()
                .map(|update| update.with_extension(extension));
        }
        self
    }
}

/// The changes of the store as another VM knows them.
#[derive(Clone, Debug)]
pub struct ReceivedUpdate {
    /// The changes themselves.
    pub update: StoreUpdate,
    /// The age of the replying VM's copy of the store.
    pub age: TimeSpan,
    /// How long the call had waited for changes by then.
    pub held: TimeSpan,
    /// Whether the replying VM follows the store itself and its copy is
    /// recent.
    pub fresh: bool,
}

/// The reply to a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// The call was accepted.
    Accepted,
    /// The versions of the tables that the VM has now.
    Tables(Vec<TableRevision>),
    /// What has changed in the store, for a VM of an earlier build.
    BasicUpdate {
        /// The changes themselves.
        update: StoreUpdate,
        /// The age of the replying VM's copy of the store.
        age: TimeSpan,
        /// How long the call had waited for changes by then.
        held: TimeSpan,
        /// Whether the replying VM follows the store itself and its copy is
        /// recent.
        fresh: bool,
    },
    /// That instance does not plan and has no order in flight.
    SteppedDown,
    /// That instance still has orders in flight.
    Busy,
    /// The permits that were granted.
    Permits(PermitGrants),
    /// What has changed in the store.
    Update {
        /// The changes themselves.
        update: StoreUpdate,
        /// The extension of the configuration in the update.
        extension: ConfigurationExtension,
        /// The age of the replying VM's copy of the store.
        age: TimeSpan,
        /// How long the call had waited for changes by then.
        held: TimeSpan,
        /// Whether the replying VM follows the store itself and its copy is
        /// recent.
        fresh: bool,
    },
}

impl PeerReply {
    /// Records for how long a call for changes has waited.
    pub const fn set_held(&mut self, waited: TimeSpan) {
        if let Self::BasicUpdate { held, .. } | Self::Update { held, .. } =
            self
        {
            *held = waited;
        }
    }

    /// The changes of the store, if the reply has any with their extension.
    #[must_use]
    pub fn into_update(self) -> Option<ReceivedUpdate> {
        let Self::Update { update, extension, age, held, fresh } = self else {
            return None;
        };
        let update = update.with_extension(extension);
        Some(ReceivedUpdate { update, age, held, fresh })
    }
}
