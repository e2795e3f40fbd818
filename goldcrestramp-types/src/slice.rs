//! Keys are hashed to slices; a slice is the unit of ownership.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The most slices that a service can have.
const SLICE_LIMIT: u32 = 65_536;

/// The number of slices of a service: a power of two up to 65,536.
///
/// It is fixed when the service is created, because changing it would
/// change the owner of nearly every key at once.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "u32", into = "u32")]
pub struct SliceCount(u32);

impl SliceCount {
    /// The count that a service gets when its ticket names none.
    pub const DEFAULT: Self = Self(4_096);

    /// Checks that `count` is a power of two up to 65,536.
    #[must_use]
    pub const fn new(count: u32) -> Option<Self> {
        if count.is_power_of_two() && count <= SLICE_LIMIT {
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
    /// The lowest slice there can be.
    pub const FIRST: Self = Self(0);

    /// The highest slice there can be.
    pub const LAST: Self = Self(u16::MAX);

    /// Makes an index when `number` is below 65,536.
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
/// The low bits of xxh3-64 decide, so the result is the same on every
/// machine and for ever.
#[must_use]
pub fn slice_of(key: &[u8], count: SliceCount) -> SliceIndex {
    let mask = u64::from(count.get() - 1);
    let masked = xxh3_64(key) & mask;
    SliceIndex(u16::try_from(masked).unwrap_or(u16::MAX))
}
