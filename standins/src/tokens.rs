//! The tokens of an answer: a function of the prompt alone, so that a client can check every
//! answer.

use sardinepin_protocol::Digest;
use serde_json::Value;

/// The number of hexadecimal digits in a token; a space follows them.
const TOKEN_DIGITS: usize = 6;

/// Returns the digest of a prompt, which alone determines its answer.
#[must_use]
pub fn prompt_digest(messages: &Value) -> Digest {
    Digest::of(&[messages.to_string().as_bytes()])
}

/// Returns the token at `index` of the answer to a prompt.
#[must_use]
pub fn token_text(prompt: Digest, index: u64) -> String {
    let mut token = Digest::of(&[&prompt.0, &index.to_le_bytes()]).to_string();
    token.truncate(TOKEN_DIGITS);
    token.push(' ');
    token
}

/// Returns the text of an answer of `count` tokens.
#[must_use]
pub fn answer_text(prompt: Digest, count: u64) -> String {
    (0..count).map(|index| token_text(prompt, index)).collect()
}
