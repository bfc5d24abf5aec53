//! Conditional writes whose lost answers are settled by reading back.

use sardinepin_common::Revision;

use crate::store::{ConditionalWrite, Object, Precondition, Store, StoreError};

/// How many times a write is sent in all when its answers are lost and it is not found.
const SENDS: u32 = 3;

/// How many times an object is read when the answer to the read is lost too.
const READS: u32 = 3;

/// Writes and, if the answer is lost, reads the object back to learn what became of the write.
///
/// The write id of `change` must be drawn afresh for each write. A write that was lost and cannot
/// be found is sent again with the same condition and write id: whichever copy comes first takes
/// effect, and then the condition holds no more for the other.
///
/// # Errors
///
/// [`StoreError::Conflict`] means that another's write stands; [`StoreError::Refused`] that this one
/// had no effect; [`StoreError::Indeterminate`] that nothing is known: it may have taken effect, or may yet.
/// An update that was overtaken after it took effect is reported as a conflict as well, because the
/// store keeps only the last write. A deletion that is settled after its answer was lost is reported
/// as `Conflict(None)`: the object is gone, whoever deleted it.
pub async fn write_and_confirm(
    store: &dyn Store,
    change: ConditionalWrite<'_>,
) -> Result<Revision, StoreError> {
    let mut lost = None;
    for _ in 0..SENDS {
        match store.put(change).await {
            Ok(revision) => return Ok(revision),
            Err(StoreError::Conflict(found)) => return conflict(change, found),
            // With an earlier copy under way, a refusal of this one settles nothing.
            Err(StoreError::Refused(why)) if lost.is_none() => {
                return Err(StoreError::Refused(why));
            }
            Err(error) => lost = Some(error.to_string()),
        }
        if let Some(object) = read_back(store, change.key).await
            && let Some(result) = settled(change, object)
        {
            return result;
        }
    }
    Err(StoreError::Indeterminate(lost.unwrap_or_default()))
}

/// A conflict with one's own earlier copy is a success.
fn conflict(change: ConditionalWrite<'_>, found: Option<Object>) -> Result<Revision, StoreError> {
    match found {
        Some(object) if object.write_id == change.write_id => Ok(object.revision),
        other => Err(StoreError::Conflict(other)),
    }
}

/// Reads the object; a read that fails, or finds nothing, settles nothing.
async fn read_back(store: &dyn Store, key: &str) -> Option<Object> {
    for _ in 0..READS {
        if let Ok(object) = store.get(key).await {
            return object;
        }
    }
    None
}

/// Judges an object that was read after a lost write, or returns `None` if it settles nothing.
fn settled(change: ConditionalWrite<'_>, object: Object) -> Option<Result<Revision, StoreError>> {
    match change.precondition {
        // What was there before the write, or a stale read.
        Precondition::Revision(revision) if object.revision <= revision => None,
        _ => Some(conflict(change, Some(object))),
    }
}
