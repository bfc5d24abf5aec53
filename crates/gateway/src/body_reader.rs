//! Reads bodies into memory, as much as there is for them.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use sardinepin_common::Millis;

use crate::body_memory::{MemoryPart, Reserved, UNCOUNTED_BYTES};

/// A whole body, with the memory that it takes.
#[derive(Debug, Default)]
pub(crate) struct WholeBody {
    pub(crate) bytes: Bytes,
    pub(crate) reserved: Reserved,
}

/// Why a body was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It is longer than allowed.
    TooLarge,
    /// Its connection broke.
    Broken,
    /// There was no memory for it in time.
    NoMemory,
}

/// Reads a body of at most `max` bytes. One that is long waits for memory, for `patience` at most: for its length, or for `max` if it
/// does not say.
pub(crate) async fn read_whole(
    body: &mut Incoming,
    max: usize,
    memory: &MemoryPart,
    patience: Millis,
) -> Result<WholeBody, BodyError> {
    let hint = body.size_hint();
    if hint.lower() > max as u64 {
        return Err(BodyError::TooLarge);
    }
    let length = hint.upper().and_then(|upper| usize::try_from(upper).ok());
    let length = length.map_or(max, |length| length.min(max));
    let mut whole = WholeBody::default();
    let mut pieces = BytesMut::new();
    loop {
        let is_counted = hint.lower() > UNCOUNTED_BYTES as u64 || pieces.len() > UNCOUNTED_BYTES;
        if is_counted && whole.reserved.is_none() {
            let reserved = memory.reserve(length, patience).await;
            whole.reserved = Some(reserved.ok_or(BodyError::NoMemory)?);
            pieces.reserve(length.saturating_sub(pieces.len()));
        }
        let Some(frame) = body.frame().await else {
            whole.bytes = pieces.freeze();
            return Ok(whole);
        };
        let frame = frame.map_err(|_| BodyError::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if pieces.len() + data.len() > max {
            return Err(BodyError::TooLarge);
        }
        pieces.extend_from_slice(&data);
    }
}
