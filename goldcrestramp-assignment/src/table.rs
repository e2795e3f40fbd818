//! The record of who owns which keys of one service.

use std::{fmt, net::SocketAddr, sync::Arc};

use goldcrestramp_types::{SliceIndex, SliceRange};
use serde::{Deserialize, Serialize};

/// The version of the record's encoding, its first byte.
const ENCODING: u8 = 1;

/// One run of a backend server, from its start to its end.
///
/// A server that starts again under its id holds nothing of before, so the
/// start is part of its identity.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct ServerInstance {
    /// The server's id.
    pub id: Arc<str>,
    /// The Unix millisecond of its start.
    pub started_ms: u64,
    /// Where it takes orders.
    ///
    /// Kept here because the server's own entry may be gone by the time
    /// that its keys have to be taken back.
    pub address: SocketAddr,
}

/// The place of a [`ServerInstance`] in its table.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
pub struct InstanceKey(pub(crate) u16);

/// Where a run of keys stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum AssignmentPhase {
    /// The holder may hold the keys.
    Granted,
    /// The keys are being taken back from the holder.
    Releasing,
}

/// A run of adjacent keys with its holder.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AssignedRange {
    /// The keys.
    pub range: SliceRange,
    /// The server that holds them, or held them last.
    pub instance: InstanceKey,
    /// The fencing token of the grant, or of the release.
    pub token: u64,
    /// Where the run stands.
    pub phase: AssignmentPhase,
    /// What the former holder left for this one.
    pub handover: Option<Arc<str>>,
}

/// Bytes that are no table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TableError;

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the bytes are no assignment table")
    }
}

impl std::error::Error for TableError {}

/// Who owns which keys of one service.
///
/// The runs cover every key once, in order.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AssignmentTable {
    /// The highest token that was ever written for the service.
    pub(crate) highest_token: u64,
    pub(crate) instances: Vec<ServerInstance>,
    pub(crate) ranges: Vec<AssignedRange>,
}

impl AssignmentTable {
    /// A first table: `stripes` runs a server, dealt in turn.
    ///
    /// Keys that are asked for often lie side by side. Dealt in turn, the
    /// neighbours of a busy key fall to other servers from the start.
    /// Nothing if there is no server.
    #[must_use]
    pub fn striped(
        instances: &[ServerInstance],
        stripes: u32,
    ) -> Option<Self> {
        let servers = u32::try_from(instances.len()).ok()?;
        let ranges =
            servers.checked_mul(stripes).filter(|ranges| *ranges > 0)?;
        let total = u32::from(u16::MAX) + 1;
        let bound =
            |run: u32| u64::from(run) * u64::from(total) / u64::from(ranges);
        let ranges = (0..ranges).filter_map(|run| {
            let first = u16::try_from(bound(run)).ok()?;
            let last = u16::try_from(bound(run + 1).checked_sub(1)?).ok()?;
            Some(AssignedRange {
                range: SliceRange { first: first.into(), last: last.into() },
                instance: InstanceKey(u16::try_from(run % servers).ok()?),
                token: 1,
                phase: AssignmentPhase::Granted,
                handover: None,
            })
        });
        let ranges = ranges.collect();
        Some(Self { highest_token: 1, instances: instances.to_vec(), ranges })
    }

    /// Reads a table.
    ///
    /// # Errors
    ///
    /// [`TableError`] for bytes that are no table, or one whose runs do not
    /// cover every key once.
    pub fn decode(bytes: &[u8]) -> Result<Self, TableError> {
        let [ENCODING, rest @ ..] = bytes else { return Err(TableError) };
        let table: Self =
            postcard::from_bytes(rest).map_err(|_cause| TableError)?;
        if table.is_whole() { Ok(table) } else { Err(TableError) }
    }

    /// The table as bytes.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        // Texts, numbers and lists always serialize.
        let body = postcard::to_allocvec(self).unwrap_or_default();
        let mut bytes = vec![ENCODING];
        bytes.extend_from_slice(&body);
        bytes
    }

    /// The run in which a key lies.
    #[must_use]
    pub fn find(&self, slice: SliceIndex) -> &AssignedRange {
        let next = self.ranges.partition_point(|run| run.range.first <= slice);
        &self.ranges[next.saturating_sub(1)]
    }

    /// Every run, in the order of its keys.
    #[must_use]
    pub fn ranges(&self) -> &[AssignedRange] {
        &self.ranges
    }

    /// Every server that holds a run, with its place.
    pub fn instances(
        &self,
    ) -> impl Iterator<Item = (InstanceKey, &ServerInstance)> {
        let keys = 0..=u16::MAX;
        keys.map(InstanceKey).zip(&self.instances)
    }

    /// The server at a place.
    #[must_use]
    pub fn instance(&self, key: InstanceKey) -> &ServerInstance {
        &self.instances[usize::from(key.0)]
    }

    /// The highest token that was ever written for the service.
    #[must_use]
    pub const fn highest_token(&self) -> u64 {
        self.highest_token
    }

    /// Whether the runs cover every key once and name known servers.
    pub(crate) fn is_whole(&self) -> bool {
        let mut next = 0_u32;
        let ordered = self.ranges.iter().all(|run| {
            let here = u32::from(run.range.first.get()) == next
                && run.range.first <= run.range.last
                && usize::from(run.instance.0) < self.instances.len()
                && run.token <= self.highest_token;
            next = u32::from(run.range.last.get()) + 1;
            here
        });
        ordered && next == u32::from(u16::MAX) + 1
    }
}
