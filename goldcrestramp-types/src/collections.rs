//! The map and set that the project uses everywhere.

/// A hash map with a fast hasher.
///
/// The hasher is not keyed. Maps whose keys come from callers are bounded
/// in size, so that chosen collisions cost a bounded scan.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with a fast hasher; the same warning holds.
pub type FastSet<T> = rustc_hash::FxHashSet<T>;
