//! The tokens that the engine computes for a prompt, so that every answer can be checked.

use sardinepin_protocol::Digest;
use serde_json::Value;

/// How many hexadecimal digits a token has; a space follows them.
const TOKEN_DIGITS: usize = 6;

/// Returns the digest of a prompt, which its answer depends on and nothing else.
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

/// Returns the whole answer of `count` tokens.
#[must_use]
pub fn answer_text(prompt: Digest, count: u64) -> String {
    (0..count).map(|index| token_text(prompt, index)).collect()
}
