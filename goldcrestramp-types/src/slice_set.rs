//! Ranges and sets of slices of one service.

use serde::{Deserialize, Serialize};

use crate::slice::SliceIndex;

/// The number of slices in one word of the bitmap.
const WORD_BITS: usize = 64;

/// A range of adjacent slices, both ends included.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct SliceRange {
    /// The first slice of the range.
    pub first: SliceIndex,
    /// The last slice of the range.
    pub last: SliceIndex,
}

impl SliceRange {
    /// All possible slices.
    pub const ALL: Self =
        Self { first: SliceIndex::FIRST, last: SliceIndex::LAST };

    /// Whether the range contains the slice.
    #[must_use]
    pub fn contains(self, index: SliceIndex) -> bool {
        self.first <= index && index <= self.last
    }

    /// Whether the range contains all of `other`.
    #[must_use]
    pub fn covers(self, other: Self) -> bool {
        self.first <= other.first && other.last <= self.last
    }

    /// The number of slices in the range.
    #[must_use]
    pub fn slices(self) -> u32 {
        let first = u32::from(self.first.get());
        (u32::from(self.last.get()) + 1).saturating_sub(first)
    }
}

/// A set of slices, stored as a bitmap: 8 KiB at 65,536 slices.
///
/// It is serialized as its ranges, which are few if slices were assigned in
/// blocks.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(from = "Vec<SliceRange>", into = "Vec<SliceRange>")]
pub struct SliceSet {
    words: Vec<u64>,
}

impl SliceSet {
    /// An empty set.
    #[must_use]
    pub const fn new() -> Self {
        Self { words: Vec::new() }
    }

    /// Adds a slice; returns whether it was new.
    pub fn insert(&mut self, index: SliceIndex) -> bool {
        let (word, bit) = word_and_bit(index);
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        let before = self.words[word];
        self.words[word] |= bit;
        before != self.words[word]
    }

    /// Removes a slice; returns whether it was present.
    pub fn remove(&mut self, index: SliceIndex) -> bool {
        let (word, bit) = word_and_bit(index);
        let Some(value) = self.words.get_mut(word) else {
            return false;
        };
        let before = *value;
        *value &= !bit;
        before != *value
    }

    /// Whether the slice is in the set.
    #[must_use]
    pub fn contains(&self, index: SliceIndex) -> bool {
        let (word, bit) = word_and_bit(index);
        self.words.get(word).is_some_and(|value| value & bit != 0)
    }

    /// The number of slices in the set.
    #[must_use]
    pub fn len(&self) -> usize {
        self.words.iter().map(|word| word.count_ones() as usize).sum()
    }

    /// Whether the set is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.words.iter().all(|word| *word == 0)
    }

    /// The slices in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = SliceIndex> + '_ {
        let words = self.words.iter().enumerate();
        words.flat_map(|(position, word)| word_slices(position, *word))
    }

    /// Adds every slice of `other`.
    pub fn union_with(&mut self, other: &Self) {
        if self.words.len() < other.words.len() {
            self.words.resize(other.words.len(), 0);
        }
        for (mine, theirs) in self.words.iter_mut().zip(&other.words) {
            *mine |= theirs;
        }
    }

    /// Removes every slice of `other`.
    pub fn subtract(&mut self, other: &Self) {
        for (mine, theirs) in self.words.iter_mut().zip(&other.words) {
            *mine &= !theirs;
        }
    }

    /// Keeps only the slices that are also in `other`.
    pub fn intersect_with(&mut self, other: &Self) {
        self.words.truncate(other.words.len());
        for (mine, theirs) in self.words.iter_mut().zip(&other.words) {
            *mine &= theirs;
        }
    }

    /// Whether the two sets share a slice.
    #[must_use]
    pub fn overlaps(&self, other: &Self) -> bool {
        self.words.iter().zip(&other.words).any(|(a, b)| a & b != 0)
    }

    /// The ranges of the set in ascending order.
    #[must_use]
    pub fn ranges(&self) -> Vec<SliceRange> {
        let mut ranges: Vec<SliceRange> = Vec::new();
        for index in self.iter() {
            match ranges.last_mut() {
                Some(range)
                    if u32::from(range.last.get()) + 1
                        == u32::from(index.get()) =>
                {
                    range.last = index;
                }
                _ => ranges.push(SliceRange { first: index, last: index }),
            }
        }
        ranges
    }
}

impl PartialEq for SliceSet {
    /// Ignores trailing empty words, in which equal sets may differ.
    fn eq(&self, other: &Self) -> bool {
        let length = self.words.len().max(other.words.len());
        (0..length).all(|word| {
            let mine = self.words.get(word).copied().unwrap_or(0);
            mine == other.words.get(word).copied().unwrap_or(0)
        })
    }
}

impl Eq for SliceSet {}

impl FromIterator<SliceIndex> for SliceSet {
    fn from_iter<I: IntoIterator<Item = SliceIndex>>(iter: I) -> Self {
        let mut set = Self::new();
        for index in iter {
            set.insert(index);
        }
        set
    }
}

impl From<Vec<SliceRange>> for SliceSet {
    fn from(ranges: Vec<SliceRange>) -> Self {
        let numbers = ranges
            .into_iter()
            .flat_map(|r| u32::from(r.first.get())..=u32::from(r.last.get()));
        numbers.filter_map(SliceIndex::new).collect()
    }
}

impl From<SliceSet> for Vec<SliceRange> {
    fn from(set: SliceSet) -> Self {
        set.ranges()
    }
}

/// The index of a slice's word in the bitmap, and the slice's bit in it.
fn word_and_bit(index: SliceIndex) -> (usize, u64) {
    let position = index.position();
    (position / WORD_BITS, 1 << (position % WORD_BITS))
}

/// The slices in one word of the bitmap.
fn word_slices(
    position: usize,
    word: u64,
) -> impl Iterator<Item = SliceIndex> {
    let bits = (0..WORD_BITS).filter(move |bit| word >> bit & 1 == 1);
    bits.filter_map(move |bit| {
        let number = u32::try_from(position * WORD_BITS + bit).ok()?;
        SliceIndex::new(number)
    })
}
