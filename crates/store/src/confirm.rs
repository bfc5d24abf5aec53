//! Conditional writes that read the object back to find out whether a write without a response took
//! effect.

use sardinepin_common::Revision;

use crate::store::{ConditionalWrite, Object, Precondition, Store, StoreError};

/// How often a write is sent in total while its responses are lost and it is not found.
const MAX_SENDS: u32 = 3;

/// How often an object is read back in total while the reads fail.
const MAX_READS: u32 = 3;

/// Writes an object and, if the response is lost, reads the object back to find out whether the write
/// took effect.
///
/// The write ID must be unique to this write. A lost write that is not found is sent again with the
/// same precondition and write ID: whichever copy arrives first takes effect, and the precondition
/// then fails for the other.
///
/// # Errors
///
/// - [`StoreError::Conflict`]: another write is in place. An update that took effect but was
///   overwritten since is also reported as a conflict, because the store keeps only the last write.
///   A deletion whose response was lost and that is found to be done is reported as
///   `Conflict(None)`: the object is gone, whoever deleted it.
/// - [`StoreError::Refused`]: the write had no effect.
/// - [`StoreError::Indeterminate`]: nothing is known; the write may have taken effect, or may yet.
pub async fn write_and_confirm(
    store: &dyn Store,
    write: ConditionalWrite<'_>,
) -> Result<Revision, StoreError> {
    let mut last_error = None;
    for _ in 0..MAX_SENDS {
        match store.put(write).await {
            Ok(revision) => return Ok(revision),
            Err(StoreError::Conflict(found)) => return resolve_conflict(write, found),
            // While an earlier copy may still arrive, refusal of this copy does not prove that the
            // write had no effect.
            Err(StoreError::Refused(why)) if last_error.is_none() => {
                return Err(StoreError::Refused(why));
            }
            Err(error) => last_error = Some(error.to_string()),
        }
        if let Some(object) = read_back(store, write.key).await
            && let Some(result) = judge_read_back(write, object)
        {
            return result;
        }
    }
    Err(StoreError::Indeterminate(last_error.unwrap_or_default()))
}

/// Resolves a conflict; a conflict with an earlier copy of the same write is a success.
fn resolve_conflict(
    write: ConditionalWrite<'_>,
    found: Option<Object>,
) -> Result<Revision, StoreError> {
    match found {
        Some(object) if object.write_id == write.write_id => Ok(object.revision),
        other => Err(StoreError::Conflict(other)),
    }
}

/// Reads the object; returns `None` if it does not exist or all reads fail, which proves nothing.
async fn read_back(store: &dyn Store, key: &str) -> Option<Object> {
    for _ in 0..MAX_READS {
        if let Ok(object) = store.get(key).await {
            return object;
        }
    }
    None
}

/// Derives the result of a lost write from the object read back; `None` if it proves nothing.
fn judge_read_back(
    write: ConditionalWrite<'_>,
    object: Object,
) -> Option<Result<Revision, StoreError>> {
    match write.precondition {
        // The state before the write, or a stale read.
        Precondition::Revision(revision) if object.revision <= revision => None,
        _ => Some(resolve_conflict(write, Some(object))),
    }
}
