//! Digests of requests.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The first 16 bytes of a BLAKE3 digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 16]);

impl Digest {
    /// Digests `parts` under `key`; the lengths of the parts count.
    #[must_use]
    pub fn keyed(key: &[u8; 32], parts: &[&[u8]]) -> Self {
        Self::finish(blake3::Hasher::new_keyed(key), parts)
    }

    /// Digests `parts`; the lengths of the parts count.
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        Self::finish(blake3::Hasher::new(), parts)
    }

    /// Reads what [`fmt::Display`] has written.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        if text.len() != 32 {
            return None;
        }
        u128::from_str_radix(text, 16)
            .ok()
            .map(|value| Self(value.to_be_bytes()))
    }

    fn finish(mut hasher: blake3::Hasher, parts: &[&[u8]]) -> Self {
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(bytes)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:032x}", u128::from_be_bytes(self.0))
    }
}
