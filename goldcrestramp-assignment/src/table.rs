//! The table that maps each key of one service to its owner.

use std::{fmt, net::SocketAddr, sync::Arc};

use goldcrestramp_types::{SliceIndex, SliceRange};
use serde::{Deserialize, Serialize};

/// The version of the table's encoding, which is its first byte.
const ENCODING: u8 = 1;

/// One run of a backend server's process.
///
/// A server that restarts under its id no longer holds the keys that it had
/// before, so the start time is part of its identity.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct ServerInstance {
    /// The server's id.
    pub id: Arc<str>,
    /// The start time, in Unix milliseconds.
    pub started_ms: u64,
    /// The address at which it accepts orders.
    ///
    /// It is stored here because the server's own entry may be removed
    /// before its keys are released.
    pub address: SocketAddr,
}

/// The position of a [`ServerInstance`] in its table.
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

/// The state of an assigned range.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum AssignmentPhase {
    /// The holder may hold the keys.
    Granted,
    /// The keys are being released by the holder.
    Releasing,
}

/// A range of adjacent keys with its holder.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AssignedRange {
    /// The keys, both ends included.
    pub range: SliceRange,
    /// The server that holds them, or held them last.
    pub instance: InstanceKey,
    /// The fencing token of the grant, or of the release.
    pub token: u64,
    /// Whether the keys are granted or being released.
    pub phase: AssignmentPhase,
    /// The data that the previous holder left for this one.
    pub handover: Option<Arc<str>>,
}

/// The bytes or the patch do not make a valid table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TableError;

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid assignment table")
    }
}

impl std::error::Error for TableError {}

/// The assignment of all keys of one service to servers.
///
/// The ranges cover every key exactly once, in order.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AssignmentTable {
    /// The highest token that was ever written for the service.
    pub(crate) highest_token: u64,
    pub(crate) instances: Vec<ServerInstance>,
    pub(crate) ranges: Vec<AssignedRange>,
}

impl AssignmentTable {
    /// Creates an initial table with `stripes` ranges per server, assigned
    /// in round-robin order.
    ///
    /// Frequently requested keys are often adjacent. With stripes, the
    /// neighbors of a busy key belong to other servers from the start.
    /// `None` if there is no server or no stripe.
    #[must_use]
    pub fn striped(
        instances: &[ServerInstance],
        stripes: u32,
    ) -> Option<Self> {
        let servers = u32::try_from(instances.len()).ok()?;
        let ranges =
            servers.checked_mul(stripes).filter(|ranges| *ranges > 0)?;
        let total = u32::from(u16::MAX) + 1;
        let start_of = |index: u32| {
            u64::from(index) * u64::from(total) / u64::from(ranges)
        };
        let ranges = (0..ranges).filter_map(|index| {
            let first = u16::try_from(start_of(index)).ok()?;
            let last =
                u16::try_from(start_of(index + 1).checked_sub(1)?).ok()?;
            Some(AssignedRange {
                range: SliceRange { first: first.into(), last: last.into() },
                instance: InstanceKey(u16::try_from(index % servers).ok()?),
                token: 1,
                phase: AssignmentPhase::Granted,
                handover: None,
            })
        });
        let ranges = ranges.collect();
        Some(Self { highest_token: 1, instances: instances.to_vec(), ranges })
    }

    /// Decodes a table.
    ///
    /// # Errors
    ///
    /// [`TableError`] if the bytes are malformed, or the ranges do not cover
    /// every key exactly once.
    pub fn decode(bytes: &[u8]) -> Result<Self, TableError> {
        let [ENCODING, rest @ ..] = bytes else { return Err(TableError) };
        let table: Self =
            postcard::from_bytes(rest).map_err(|_cause| TableError)?;
        if table.is_valid() { Ok(table) } else { Err(TableError) }
    }

    /// Encodes the table.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        // Strings, numbers and lists always serialize.
        let body = postcard::to_allocvec(self).unwrap_or_default();
        let mut bytes = vec![ENCODING];
        bytes.extend_from_slice(&body);
        bytes
    }

    /// The assigned range that contains a slice.
    #[must_use]
    pub fn find(&self, slice: SliceIndex) -> &AssignedRange {
        let next = self
            .ranges
            .partition_point(|assigned| assigned.range.first <= slice);
        &self.ranges[next.saturating_sub(1)]
    }

    /// All assigned ranges, ordered by key.
    #[must_use]
    pub fn ranges(&self) -> &[AssignedRange] {
        &self.ranges
    }

    /// All server instances of the table, with their keys.
    pub fn instances(
        &self,
    ) -> impl Iterator<Item = (InstanceKey, &ServerInstance)> {
        let keys = 0..=u16::MAX;
        keys.map(InstanceKey).zip(&self.instances)
    }

    /// The server instance with this key.
    #[must_use]
    pub fn instance(&self, key: InstanceKey) -> &ServerInstance {
        &self.instances[usize::from(key.0)]
    }

    /// The highest token that was ever written for the service.
    #[must_use]
    pub const fn highest_token(&self) -> u64 {
        self.highest_token
    }

    /// Whether the ranges cover every key exactly once, refer to known
    /// servers and have tokens up to the highest one.
    pub(crate) fn is_valid(&self) -> bool {
        let mut next = 0_u32;
        let ordered = self.ranges.iter().all(|assigned| {
            let valid = u32::from(assigned.range.first.get()) == next
                && assigned.range.first <= assigned.range.last
                && usize::from(assigned.instance.0) < self.instances.len()
                && assigned.token <= self.highest_token;
            next = u32::from(assigned.range.last.get()) + 1;
            valid
        });
        ordered && next == u32::from(u16::MAX) + 1
    }
}
