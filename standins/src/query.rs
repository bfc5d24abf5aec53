//! Decodes percent-encoded paths and query parameters.

use hyper::Uri;

/// Decodes percent-encoding; an invalid escape is kept unchanged.
pub(crate) fn unescaped(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let [first, after @ ..] = rest {
        let decoded = after
            .get(..2)
            .filter(|_| *first == b'%')
            .and_then(|digits| std::str::from_utf8(digits).ok())
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        bytes.push(decoded.unwrap_or(*first));
        rest = if decoded.is_some() {
            &after[2..]
        } else {
            after
        };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Returns the decoded value of the first query parameter of that name.
pub(crate) fn parameter(uri: &Uri, name: &str) -> Option<String> {
    uri.query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(given, _)| *given == name)
        .map(|(_, value)| unescaped(value))
}
