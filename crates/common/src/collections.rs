//! Hash collections with a fast keyed hasher.
//!
//! Callers choose some of the map keys, so the hash key is random per process to resist
//! hash-flooding attacks.

/// A hash map whose hash key is random per process.
pub type Map<K, V> = std::collections::HashMap<K, V, ahash::RandomState>;

/// A hash set whose hash key is random per process.
pub type Set<T> = std::collections::HashSet<T, ahash::RandomState>;
