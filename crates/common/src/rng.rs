//! Seeded random numbers: the same seed gives the same run on every machine.

use rand::SeedableRng;

/// The random source of all decisions.
pub type Rng = rand_chacha::ChaCha8Rng;

/// Returns a random source for `seed`.
#[must_use]
pub fn seeded_rng(seed: u64) -> Rng {
    Rng::seed_from_u64(seed)
}
