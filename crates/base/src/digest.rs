//! 64-bit hashes that are the same in every daemon and version.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// XXH3 hash of a byte string. It is the same across versions and machines.
pub fn digest(data: &[u8]) -> u64 {
    xxh3_64(data)
}

/// Weight of `node` for `key` in rendezvous hashing: the node with the highest weight owns the
/// key.
pub fn rank(key: &str, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), digest(key.as_bytes()))
}
