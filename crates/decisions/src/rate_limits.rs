//! Token buckets for the rate limits that rules set on organisations.

use std::sync::Arc;

use sardinepin_common::{Map, Millis};
use sardinepin_config::Limit;

use crate::token_bucket::{BucketSize, TokenBucket};

/// Token buckets, one per organisation and limit.
#[derive(Debug, Default)]
pub(crate) struct RateLimits {
    buckets: Map<BucketKey, TokenBucket>,
}

#[derive(Debug, PartialEq, Eq, Hash)]
struct BucketKey {
    organisation: Arc<str>,
    per_second: u32,
    burst: u32,
}

impl BucketKey {
    fn size(&self) -> BucketSize {
        BucketSize {
            per_second: f64::from(self.per_second),
            capacity: f64::from(self.burst),
        }
    }
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
        let size = key.size();
        let full = TokenBucket::with_tokens(now, size.capacity);
        let bucket = self.buckets.entry(key).or_insert(full);
        bucket.refill(now, size);
        if bucket.try_take() {
            return Ok(());
        }
        Err(bucket.time_to_token(size.per_second.max(1.0)))
    }

    /// Removes the buckets that are full again.
    pub(crate) fn remove_full(&mut self, now: Millis) {
        self.buckets.retain(|key, bucket| {
            let size = key.size();
            bucket.tokens_at(now, size) < size.capacity
        });
        if self.buckets.is_empty() {
            self.buckets = Map::default();
        }
    }
}
