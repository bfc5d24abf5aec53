//! Hash collections with a fast keyed hasher; callers choose some of the keys.

/// A hash map with a fast hasher whose key is drawn per process.
pub type Map<K, V> = std::collections::HashMap<K, V, ahash::RandomState>;

/// A hash set with a fast hasher whose key is drawn per process.
pub type Set<T> = std::collections::HashSet<T, ahash::RandomState>;
