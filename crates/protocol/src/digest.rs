//! Content digests.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A BLAKE3 digest truncated to 16 bytes; displayed as 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 16]);

impl Digest {
    /// Returns the keyed digest of `parts`.
    ///
    /// The length of each part is hashed too, so different splits of the same bytes differ.
    #[must_use]
    pub fn keyed(key: &[u8; 32], parts: &[&[u8]]) -> Self {
        Self::finish(blake3::Hasher::new_keyed(key), parts)
    }

    /// Returns the digest of `parts`, hashing the length of each part too.
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        Self::finish(blake3::Hasher::new(), parts)
    }

    /// Parses the form that [`fmt::Display`] writes; returns `None` if the text has another length or
    /// is not hexadecimal.
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
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", u128::from_be_bytes(self.0))
    }
}
