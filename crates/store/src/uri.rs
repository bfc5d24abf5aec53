//! Keys and prefixes as parts of a URI.

use std::fmt::Write;

/// Returns `text` with all but unreserved characters and `/` percent-encoded.
pub(crate) fn percent_encode(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte) {
            out.push(char::from(byte));
        } else {
            // Writing to a string cannot fail.
            let _ = write!(out, "%{byte:02X}");
        }
    }
    out
}
