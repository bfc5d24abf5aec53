//! Rendezvous hashing: every node that sees the same members picks the same ones.

use std::hash::{Hash, Hasher};

use siphasher::sip::SipHasher13;

/// Returns the positions of `members`, most preferred for `key` first.
pub fn rendezvous_order<K, M>(key: &K, members: &[M]) -> Vec<usize>
where
    K: Hash,
    M: Hash,
{
    let mut order: Vec<(u64, usize)> = members
        .iter()
        .enumerate()
        .map(|(at, member)| (weight(key, member), at))
        .collect();
    order.sort_unstable_by(|a, b| b.cmp(a));
    order.into_iter().map(|(_, at)| at).collect()
}

/// Returns the position of the member that `key` prefers, if there is one.
pub fn rendezvous_first<K, M>(key: &K, members: &[M]) -> Option<usize>
where
    K: Hash,
    M: Hash,
{
    rendezvous_order(key, members).first().copied()
}

/// Returns the weight of `member` for `key`, the same on every machine.
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
