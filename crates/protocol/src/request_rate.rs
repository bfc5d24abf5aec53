//! A rate of requests, such as the limit that an upstream names.

use serde::{Deserialize, Serialize};

/// A number of requests per second, in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestRate(pub u32);

impl RequestRate {
    /// Reads a decimal number of requests per second, such as `2` or `0.25`; one that is too large becomes the largest rate.
    ///
    /// Returns `None` for anything else, such as a sign, an exponent or no digit.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let is_decimal = |byte: u8| byte.is_ascii_digit() || byte == b'.';
        let text = text.trim();
        if !text.bytes().all(is_decimal) {
            return None;
        }
        let per_second: f64 = text.parse().ok()?;
        Some(Self((per_second * 1_000.0).round() as u32))
    }

    /// Returns the number of requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}

#[cfg(test)]
mod tests;
