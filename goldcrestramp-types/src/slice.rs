//! Slices: keys are hashed to them, and each has one owner.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The maximum number of slices of a service.
const MAX_SLICES: u32 = 65_536;

/// The number of slices of a service: a power of two up to 65,536.
///
/// It is fixed when the service is created, because a change would change
/// the owner of nearly every key at once.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "u32", into = "u32")]
pub struct SliceCount(u32);

impl SliceCount {
    /// The count of a service whose ticket does not specify one.
    pub const DEFAULT: Self = Self(4_096);

    /// Creates a count; `None` unless it is a power of two up to 65,536.
    #[must_use]
    pub const fn new(count: u32) -> Option<Self> {
        if count.is_power_of_two() && count <= MAX_SLICES {
            Some(Self(count))
        } else {
            None
        }
    }

    /// The count as a number.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Every slice index below this count, in order.
    pub fn indices(self) -> impl Iterator<Item = SliceIndex> {
        (0..self.0).filter_map(SliceIndex::new)
    }
}

impl TryFrom<u32> for SliceCount {
    type Error = &'static str;

    fn try_from(count: u32) -> Result<Self, Self::Error> {
        Self::new(count).ok_or("slices must be a power of two up to 65536")
    }
}

impl From<SliceCount> for u32 {
    fn from(count: SliceCount) -> Self {
        count.0
    }
}

/// One slice of one service.
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
#[serde(transparent)]
pub struct SliceIndex(u16);

impl SliceIndex {
    /// The lowest possible slice.
    pub const FIRST: Self = Self(0);

    /// The highest possible slice.
    pub const LAST: Self = Self(u16::MAX);

    /// Creates an index; `None` unless `number` is below 65,536.
    #[must_use]
    pub fn new(number: u32) -> Option<Self> {
        u16::try_from(number).ok().map(Self)
    }

    /// The index as a number.
    #[must_use]
    pub const fn get(self) -> u16 {
        self.0
    }

    /// The index as a position in an array.
    #[must_use]
    pub const fn position(self) -> usize {
        self.0 as usize
    }
}

impl From<u16> for SliceIndex {
    fn from(number: u16) -> Self {
        Self(number)
    }
}

/// The slice of `key` in a service of `count` slices.
///
/// The index is the low bits of the key's xxh3-64 hash, so it is the same on
/// every machine and in every version.
#[must_use]
pub fn slice_of(key: &[u8], count: SliceCount) -> SliceIndex {
    let mask = u64::from(count.get() - 1);
    let masked = xxh3_64(key) & mask;
    SliceIndex(u16::try_from(masked).unwrap_or(u16::MAX))
}
