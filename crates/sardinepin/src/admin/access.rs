//! Who may call: bearer tokens from a file.

use std::path::Path;

use http::HeaderMap;
use http::header::AUTHORIZATION;
use sardinepin_protocol::ErrorKind;

use super::problem::Problem;

/// The shortest token that counts, in bytes.
const TOKEN_MIN: usize = 16;

/// What a token allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Access {
    /// Looking.
    ReadOnly,
    /// Looking and changing.
    Operator,
}

impl Access {
    /// Returns the word that stands for it in a tokens file.
    #[must_use]
    pub fn word(self) -> &'static str {
        match self {
            Self::ReadOnly => "read-only",
            Self::Operator => "operator",
        }
    }

    fn parse(word: &str) -> Option<Self> {
        [Self::ReadOnly, Self::Operator]
            .into_iter()
            .find(|access| access.word() == word)
    }
}

/// Who calls, as the tokens file has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Caller {
    /// What the caller may do.
    pub(crate) access: Access,
    /// The caller's name, for the log.
    pub(crate) name: String,
}

/// The tokens of a file, as digests.
#[derive(Debug, Default)]
pub(crate) struct Tokens {
    rows: Vec<(blake3::Hash, Caller)>,
}

impl Tokens {
    /// Reads the lines `ROLE TOKEN NAME`, of which the name may be left out; empty lines and those
    /// that begin with `#` are passed over.
    ///
    /// A line that is not in order is left out and named in the log by its number only.
    pub(crate) fn parse(text: &str) -> Self {
        let mut rows = Vec::new();
        for (number, line) in (1_usize..).zip(text.lines()) {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            match parse_line(line) {
                Some(row) => rows.push(row),
                None => log::warn!(
                    event = "token_line", line = number;
                    "expected read-only or operator, a token of at least {TOKEN_MIN} bytes and a name"
                ),
            }
        }
        Self { rows }
    }

    /// Returns whose `token` is; the time that it takes does not depend on the tokens.
    pub(crate) fn caller(&self, token: &str) -> Option<Caller> {
        let given = blake3::hash(token.as_bytes());
        // The comparison of blake3::Hash takes the same time whatever the bytes.
        self.rows
            .iter()
            .filter(|(digest, _)| *digest == given)
            .map(|(_, caller)| caller)
            .max_by_key(|caller| caller.access)
            .cloned()
    }
}

fn parse_line(line: &str) -> Option<(blake3::Hash, Caller)> {
    let mut words = line.split_whitespace();
    let word = words.next()?;
    let token = words.next().filter(|token| token.len() >= TOKEN_MIN)?;
    let access = Access::parse(word)?;
    let caller = Caller {
        access,
        name: words.next().unwrap_or(word).to_owned(),
    };
    words
        .next()
        .is_none()
        .then(|| (blake3::hash(token.as_bytes()), caller))
}

/// Returns whose the call's token is; the file is read each time, so that a change counts at once.
pub(crate) async fn caller_of(file: Option<&Path>, headers: &HeaderMap) -> Result<Caller, Problem> {
    let token = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(bearer)
        .ok_or_else(|| denied("a header field 'authorization: Bearer TOKEN' is needed"))?;
    let Some(file) = file else {
        return Err(denied("this instance has no tokens_file"));
    };
    let text = tokio::fs::read_to_string(file).await.map_err(|error| {
        log::error!(event = "tokens_file", error:% = error; "the tokens file cannot be read");
        denied("the tokens file of this instance cannot be read")
    })?;
    Tokens::parse(&text)
        .caller(token)
        .ok_or_else(|| denied("the token is unknown here"))
}

fn bearer(value: &str) -> Option<&str> {
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

fn denied(detail: &str) -> Problem {
    Problem::new(ErrorKind::NotAuthenticated, detail)
}
