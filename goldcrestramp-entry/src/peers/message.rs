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
    control::{
        DemandReport, FleetShares, LoadReport, PermitGrants, PermitRequests,
    },
    crashes::CrashReport,
    history::{TableRevision, TableUpdate},
    mirror::{MirrorDelta, StoreMirror},
    notices::NoticeReport,
};

/// A call of one VM to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerCall {
    /// Requests the changes of the store, as earlier builds do: they can't
    /// read an extension of the configuration.
    BasicSync(SyncRequest),
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
    Sync(SyncRequest),
    /// Reports to the planning VM what owners of keys have stated. One of an
    /// earlier build rejects it.
    Notices(NoticeReport),
    /// Reports the requests under which servers ended. A VM of an earlier
    /// build rejects it.
    Crashes(CrashReport),
    /// Reports a VM's demand to the planning VM. A VM of an earlier build
    /// rejects it.
    Demand(DemandReport),
}

impl PeerCall {
    /// The request for changes of the store, if the call is one.
    #[must_use]
    pub const fn sync_request(&self) -> Option<&SyncRequest> {
        match self {
            Self::BasicSync(request) | Self::Sync(request) => Some(request),
            _ => None,
        }
    }
}

/// A request for the changes of the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The revisions that the calling VM knows.
    pub known: KnownRevisions,
    /// Whether to wait for a change if there is none yet.
    pub wait: bool,
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
    /// Whether the update contains a change of the configuration.
    #[must_use]
    pub const fn has_configuration(&self) -> bool {
        match self {
            Self::Unchanged => false,
            Self::Delta { configuration, .. }
            | Self::Snapshot { configuration, .. } => configuration.is_some(),
        }
    }

    /// The configuration in the update, if it has any.
    const fn configuration(&mut self) -> Option<&mut ConfigurationUpdate> {
        match self {
            Self::Unchanged => None,
            Self::Delta { configuration, .. }
            | Self::Snapshot { configuration, .. } => configuration.as_mut(),
        }
    }
}

/// The changes of the store as another VM knows them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncReply {
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

impl SyncReply {
    /// Takes the extension of the configuration, which is sent beside it.
    #[must_use]
    pub fn take_extension(&mut self) -> ConfigurationExtension {
        let configuration = self.update.configuration();
        configuration
            .map(ConfigurationUpdate::take_extension)
            .unwrap_or_default()
    }
}

/// The reply to a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// The call was accepted.
    Accepted,
    /// The versions of the tables that the VM has now.
    Tables(Vec<TableRevision>),
    /// What has changed in the store, for a VM of an earlier build.
    BasicUpdate(SyncReply),
    /// That instance does not plan and has no order in flight.
    SteppedDown,
    /// That instance still has orders in flight.
    Busy,
    /// The permits that were granted.
    Permits(PermitGrants),
    /// What has changed in the store, and the extension of the configuration
    /// in it.
    Update(SyncReply, ConfigurationExtension),
    /// The shares that the planning VM allots to the calling VM.
    Shares(FleetShares),
}

impl PeerReply {
    /// Records for how long a call for changes has waited.
    pub const fn set_held(&mut self, waited: TimeSpan) {
        if let Self::BasicUpdate(reply) | Self::Update(reply, _) = self {
            reply.held = waited;
        }
    }

    /// The changes of the store, if the reply has any with their extension.
    #[must_use]
    pub fn into_update(self) -> Option<SyncReply> {
        let Self::Update(mut reply, extension) = self else { return None };
        if let Some(configuration) = reply.update.configuration() {
            configuration.set_extension(extension);
        }
        Some(reply)
    }
}
