//! Requests that crash upstreams: the crashes that are known, and the requests held back for them.
//!
//! The load that this answers is one request that ends each process that begins to run it, and a
//! caller that sends it again and again. A crash is known by its name alone, so that gateways can
//! share what they saw without asking each other.

use std::sync::Arc;

use sardinepin_common::{Map, Millis};
use sardinepin_protocol::Digest;
use serde::{Deserialize, Serialize};

/// How many upstreams a request has to crash before it is held back: one or two may have been
/// about to crash anyway.
const QUARANTINE_CRASHES: usize = 3;

/// How long a crash is remembered.
const CRASH_RETENTION: Millis = Millis(600_000);

/// The most crashes that are remembered; the ones that end first go first.
const RECORDS_MAX: usize = 4_096;

/// The crash of an upstream with a request in flight that it had not begun to answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The request: its organisation, method, path and body.
    pub request: Digest,
    /// The upstream.
    pub upstream: Arc<str>,
    /// The start of its process.
    #[serde(rename = "born")]
    pub started_at: u64,
    /// Until when the crash is remembered, in milliseconds since the Unix epoch.
    #[serde(rename = "until")]
    pub expires_at: Millis,
}

impl Crash {
    /// Makes the record of a crash at `now`, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn new(now: Millis, request: Digest, upstream: &Arc<str>, born: u64) -> Self {
        Self {
            request,
            upstream: Arc::clone(upstream),
            started_at: born,
            expires_at: now + CRASH_RETENTION,
        }
    }

    /// Returns the name, the same at every gateway that saw the same crash.
    #[must_use]
    pub fn name(&self) -> Arc<str> {
        Arc::from(format!(
            "{}-{}-{}",
            self.request, self.upstream, self.started_at
        ))
    }
}

/// The crashes that are known.
#[derive(Debug, Default)]
pub struct CrashRecords {
    records: Map<Arc<str>, Crash>,
}

impl CrashRecords {
    /// Returns whether none is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Takes in a crash; returns whether it was not known.
    pub fn add(&mut self, crash: Crash) -> bool {
        if self.records.len() >= RECORDS_MAX {
            let first = self
                .records
                .iter()
                .min_by_key(|(_, crash)| crash.expires_at);
            if let Some(name) = first.map(|(name, _)| Arc::clone(name)) {
                self.records.remove(&name);
            }
        }
        self.records.insert(crash.name(), crash).is_none()
    }

    /// Forgets a crash.
    pub fn remove(&mut self, name: &str) {
        self.records.remove(name);
    }

    /// Returns for how long a request is held back, if it is.
    #[must_use]
    pub fn quarantine_left(&self, now: Millis, request: &Digest) -> Option<Millis> {
        let mut ends: Vec<Millis> = self
            .records
            .values()
            .filter(|crash| crash.request == *request && crash.expires_at > now)
            .map(|crash| crash.expires_at)
            .collect();
        // The request may come again once too few of its crashes are remembered.
        ends.sort_unstable_by(|a, b| b.cmp(a));
        ends.get(QUARANTINE_CRASHES - 1).map(|end| end.since(now))
    }

    /// Forgets the crashes of a request that was answered; returns their names.
    pub fn remove_request(&mut self, request: &Digest) -> Vec<Arc<str>> {
        self.remove_where(|crash| crash.request == *request)
    }

    /// Forgets the crashes that need not be remembered any more; returns their names.
    pub fn remove_expired(&mut self, now: Millis) -> Vec<Arc<str>> {
        self.remove_where(|crash| crash.expires_at <= now)
    }

    fn remove_where(&mut self, over: impl Fn(&Crash) -> bool) -> Vec<Arc<str>> {
        let mut names = Vec::new();
        self.records.retain(|name, crash| {
            let ends = over(crash);
            if ends {
                names.push(Arc::clone(name));
            }
            !ends
        });
        names
    }
}
