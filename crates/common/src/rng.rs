//! Seeded random numbers, so that the same seed reproduces the same run on every machine.

use rand::SeedableRng;

/// The random number generator used for all decisions; its sequence is stable across platforms.
pub type Rng = rand_chacha::ChaCha8Rng;

/// Creates a generator from `seed`.
#[must_use]
pub fn seeded_rng(seed: u64) -> Rng {
    Rng::seed_from_u64(seed)
}
