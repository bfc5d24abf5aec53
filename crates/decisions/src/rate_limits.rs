//! Token buckets for the rate limits that rules set on organisations.

use std::sync::Arc;

use sardinepin_common::{Map, Millis};
use sardinepin_config::Limit;

/// Token buckets, one per organisation and limit.
#[derive(Debug, Default)]
pub(crate) struct RateLimits {
    buckets: Map<BucketKey, Bucket>,
}

#[derive(Debug, PartialEq, Eq, Hash)]
struct BucketKey {
    organisation: Arc<str>,
    per_second: u32,
    burst: u32,
}

#[derive(Debug)]
struct Bucket {
    tokens: f32,
    refilled: Millis,
}

impl RateLimits {
    /// Takes a token, or fails with the time until one is available.
    pub(crate) fn take(
        &mut self,
        now: Millis,
        organisation: &Arc<str>,
        limit: Limit,
    ) -> Result<(), Millis> {
        let key = BucketKey {
            organisation: Arc::clone(organisation),
            per_second: limit.per_second,
            burst: limit.burst,
        };
        let bucket = self.buckets.entry(key).or_insert(Bucket {
            tokens: limit.burst as f32,
            refilled: now,
        });
        bucket.tokens = bucket.tokens_at(now, limit.per_second, limit.burst);
        bucket.refilled = now;
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        let missing = (1.0 - bucket.tokens) * 1_000.0 / limit.per_second.max(1) as f32;
        Err(Millis(missing.ceil() as u64))
    }

    /// Removes the buckets that are full again.
    pub(crate) fn remove_full(&mut self, now: Millis) {
        self.buckets.retain(|key, bucket| {
            bucket.tokens_at(now, key.per_second, key.burst) < key.burst as f32
        });
        if self.buckets.is_empty() {
            self.buckets = Map::default();
        }
    }
}

impl Bucket {
    fn tokens_at(&self, now: Millis, per_second: u32, burst: u32) -> f32 {
        let gained = now.since(self.refilled).0 as f32 * per_second as f32 / 1_000.0;
        (self.tokens + gained).min(burst as f32)
    }
}
