//! Bounds the memory that bodies of requests and responses take in all.

use std::sync::Arc;

use sardinepin_common::Millis;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The length up to which a body is not counted, in bytes: those that usually come are shorter.
pub(crate) const UNCOUNTED_BYTES: usize = 64 * 1024;

/// The unit in which memory is counted, in bytes.
const UNIT_BYTES: usize = 1024;

/// The parts of the memory of a process that long bodies may take, in percent. A body takes twice its length for a moment, when its
/// pieces are joined.
const REQUESTS_PERCENT: usize = 35;
const RESPONSES_PERCENT: usize = 20;

/// The memory for long bodies. Requests and responses have a part each: a request that waited for both could wait for itself.
#[derive(Debug)]
pub(crate) struct BodyMemory {
    pub(crate) requests: MemoryPart,
    pub(crate) responses: MemoryPart,
}

/// A part of the memory, which is given out in the order in which it is asked for.
#[derive(Debug)]
pub(crate) struct MemoryPart {
    label: &'static str,
    units: u32,
    free: Arc<Semaphore>,
}

/// Memory that a body may take, until it is dropped; `None` if the body is too short to count.
pub(crate) type Reserved = Option<OwnedSemaphorePermit>;

impl BodyMemory {
    /// Creates the parts of a process that may take so many bytes in all.
    pub(crate) fn new(process_bytes: usize) -> Self {
        Self {
            requests: MemoryPart::new("requests", process_bytes / 100 * REQUESTS_PERCENT),
            responses: MemoryPart::new("responses", process_bytes / 100 * RESPONSES_PERCENT),
        }
    }
}

impl MemoryPart {
    fn new(label: &'static str, bytes: usize) -> Self {
        let units = u32::try_from(bytes / UNIT_BYTES).unwrap_or(u32::MAX).max(1);
        Self {
            label,
            units,
            free: Arc::new(Semaphore::new(units as usize)),
        }
    }

    /// Reserves memory for a body of `bytes`, once there is enough; `None` if there is not enough within `patience`. A body that is longer than the
    /// whole part takes all of it.
    ///
    /// Until then the body is not read, so that its sender cannot go on writing.
    pub(crate) async fn reserve(&self, bytes: usize, patience: Millis) -> Reserved {
        let units = u32::try_from(bytes.div_ceil(UNIT_BYTES)).unwrap_or(u32::MAX);
        let units = units.min(self.units);
        if let Ok(reserved) = Arc::clone(&self.free).try_acquire_many_owned(units) {
            return Some(reserved);
        }
        metrics::counter!("sardinepin_body_memory_waits_total", "bodies" => self.label)
            .increment(1);
        log::info!(
            event = "body_waits", bodies = self.label, bytes = bytes, free_kb = self.free.available_permits();
            "a long body waits for memory and is not read"
        );
        let waiting = Arc::clone(&self.free).acquire_many_owned(units);
        let reserved = tokio::time::timeout(patience.duration(), waiting).await;
        // The semaphore is never closed.
        reserved.ok().and_then(Result::ok)
    }
}
