//! Authentication by the bearer tokens of a file.

use std::path::Path;

use http::HeaderMap;
use http::header::AUTHORIZATION;
use sardinepin_protocol::ErrorKind;

use super::problem::Problem;

/// The minimum length of a token; lines with a shorter one are ignored.
const TOKEN_MIN_BYTES: usize = 16;

/// The role of a token, which decides which calls it allows.
///
/// The order of the variants matters: an operator may also do all that `ReadOnly` allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AccessRole {
    /// Allows calls that change nothing.
    ReadOnly,
    /// Allows all calls.
    Operator,
}

impl AccessRole {
    /// Returns the role's name in a tokens file.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::ReadOnly => "read-only",
            Self::Operator => "operator",
        }
    }

    fn parse(name: &str) -> Option<Self> {
        [Self::ReadOnly, Self::Operator]
            .into_iter()
            .find(|role| role.name() == name)
    }
}

/// The owner of a token, from the tokens file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct TokenOwner {
    /// The role of the owner's token.
    pub(crate) role: AccessRole,
    /// The owner's name in the log; the role's name if the file gives none.
    pub(crate) name: String,
}

/// The tokens of a file, stored as digests.
#[derive(Debug, Default)]
pub(crate) struct Tokens {
    entries: Vec<(blake3::Hash, TokenOwner)>,
}

impl Tokens {
    /// Parses lines of the form `ROLE TOKEN [NAME]`; empty lines and lines that begin with `#` are
    /// skipped.
    ///
    /// An invalid line is skipped too. The log gives its number only, as its text may be a secret.
    pub(crate) fn parse(text: &str) -> Self {
        let mut entries = Vec::new();
        for (number, line) in (1_usize..).zip(text.lines()) {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            match parse_line(line) {
                Some(entry) => entries.push(entry),
                None => log::warn!(
                    event = "token_line", line = number;
                    "invalid line in the tokens file: expected 'read-only' or 'operator', a token \
                     of at least {TOKEN_MIN_BYTES} bytes and an optional name"
                ),
            }
        }
        Self { entries }
    }

    /// Returns the owner of `token`, if the file contains it.
    ///
    /// The time that this takes does not depend on the content of the tokens.
    pub(crate) fn find_owner(&self, token: &str) -> Option<TokenOwner> {
        let given = blake3::hash(token.as_bytes());
        // blake3::Hash compares in constant time.
        self.entries
            .iter()
            .filter(|(digest, _)| *digest == given)
            .map(|(_, owner)| owner)
            .max_by_key(|owner| owner.role)
            .cloned()
    }
}

fn parse_line(line: &str) -> Option<(blake3::Hash, TokenOwner)> {
    let mut words = line.split_whitespace();
    let role_name = words.next()?;
    let token = words
        .next()
        .filter(|token| token.len() >= TOKEN_MIN_BYTES)?;
    let role = AccessRole::parse(role_name)?;
    let owner = TokenOwner {
        role,
        name: words.next().unwrap_or(role_name).to_owned(),
    };
    words
        .next()
        .is_none()
        .then(|| (blake3::hash(token.as_bytes()), owner))
}

/// Returns the owner of the request's token.
///
/// The tokens file is read on every call, so that a change takes effect at once.
pub(crate) async fn authenticate(
    file: Option<&Path>,
    headers: &HeaderMap,
) -> Result<TokenOwner, Problem> {
    let token = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(bearer_token)
        .ok_or_else(|| unauthenticated("a header field 'authorization: Bearer TOKEN' is needed"))?;
    let Some(file) = file else {
        return Err(unauthenticated("this instance has no tokens_file"));
    };
    let text = tokio::fs::read_to_string(file).await.map_err(|error| {
        log::error!(event = "tokens_file", error:% = error; "cannot read the tokens file");
        unauthenticated("the tokens file of this instance cannot be read")
    })?;
    Tokens::parse(&text)
        .find_owner(token)
        .ok_or_else(|| unauthenticated("the token is unknown here"))
}

fn bearer_token(value: &str) -> Option<&str> {
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

fn unauthenticated(detail: &str) -> Problem {
    Problem::new(ErrorKind::NotAuthenticated, detail)
}
