//! Hash map and set aliases with a fast hasher.

use rustc_hash::FxHashMap;
use rustc_hash::FxHashSet;

/// Hash map with a fast hasher that has no random seed. Untrusted clients could choose keys that
/// collide, so the number of such keys must be bounded.
pub type Map<K, V> = FxHashMap<K, V>;

/// Hash set with the same hasher as [`Map`].
pub type Set<K> = FxHashSet<K>;
