//! Hash map and set aliases with a fast hasher.

use rustc_hash::FxHashMap;
use rustc_hash::FxHashSet;

/// Hash map with a fast, unkeyed hasher. Not for keys that an outsider can choose freely
/// without a bound on their number.
pub type Map<K, V> = FxHashMap<K, V>;

/// Hash set with the same hasher as [`Map`].
pub type Set<K> = FxHashSet<K>;
