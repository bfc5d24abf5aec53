//! Rendezvous (highest random weight) hashing: all nodes that see the same members choose the same
//! one for a key.

use std::hash::{Hash, Hasher};

use siphasher::sip::SipHasher13;

/// Returns the indices of `members` by descending weight for `key`.
pub fn rendezvous_order<K, M>(key: &K, members: &[M]) -> Vec<usize>
where
    K: Hash,
    M: Hash,
{
    let mut weighted: Vec<(u64, usize)> = members
        .iter()
        .enumerate()
        .map(|(index, member)| (weight(key, member), index))
        .collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.into_iter().map(|(_, index)| index).collect()
}

/// Returns the index of the member with the highest weight for `key`, or `None` without members.
pub fn rendezvous_first<K, M>(key: &K, members: &[M]) -> Option<usize>
where
    K: Hash,
    M: Hash,
{
    rendezvous_order(key, members).first().copied()
}

/// Returns the weight of `member` for `key`.
///
/// SipHash with a fixed key gives the same weight on every node.
fn weight<K, M>(key: &K, member: &M) -> u64
where
    K: Hash,
    M: Hash,
{
    let mut hasher = SipHasher13::new();
    key.hash(&mut hasher);
    member.hash(&mut hasher);
    hasher.finish()
}
