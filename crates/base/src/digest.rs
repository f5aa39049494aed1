//! Stable 64-bit hashes that every daemon computes alike.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hash of a byte string. Stable across versions and machines.
pub fn digest(data: &[u8]) -> u64 {
    xxh3_64(data)
}

/// Rendezvous weight of `node` for `key`. The node with the highest weight owns the key.
pub fn rank(key: &str, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), digest(key.as_bytes()))
}
