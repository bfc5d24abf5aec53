//! Versions of maps: a counter, whether the version replaces another one, and the rank that planned it.

/// The low bits of a version, which hold the rank that planned it.
const RANK_BITS: u32 = 8;

/// The bit of a version that replaces a switch which cannot be completed.
const REPLACEMENT: u64 = 1 << RANK_BITS;

/// The bits below the counter of a version.
const VERSION_SHIFT: u32 = RANK_BITS + 1;

/// Returns a version above `highest`, planned by a rank.
#[must_use]
pub fn version_above(highest: u64, rank: usize) -> u64 {
    ((highest >> VERSION_SHIFT) + 1) << VERSION_SHIFT | rank as u64
}

/// Returns a version above `highest` that a rank has the others load instead of one that cannot be completed.
#[must_use]
pub fn replacement_above(highest: u64, rank: usize) -> u64 {
    version_above(highest, rank) | REPLACEMENT
}

/// Returns the rank that planned a version: the first to load it, and the last to be armed for it. `None` for a replacement, which
/// some ranks may have loaded while its planner is still armed for an older version.
#[must_use]
pub fn planner_of(version: u64) -> Option<usize> {
    let is_planned = version & REPLACEMENT == 0;
    is_planned.then_some((version & (REPLACEMENT - 1)) as usize)
}
