//! The hash map and hash set types of the project.

/// A hash map with a fast hasher.
///
/// The hasher is not keyed, so callers can choose keys that collide. Maps
/// with keys from callers are bounded in size, which bounds the cost of
/// a lookup.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with a fast hasher; see [`FastMap`] about keys from callers.
pub type FastSet<T> = rustc_hash::FxHashSet<T>;
