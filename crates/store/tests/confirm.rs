//! Indeterminate answers to conditional writes are settled by reading back.

use assert_matches::assert_matches;
use sardinepin_common::Revision;
use sardinepin_store::{
    ConditionalWrite, MemoryStore, Precondition, Store, StoreError, write_and_confirm,
};

const KEY: &str = "claims/one";

fn create(write_id: &str) -> ConditionalWrite<'_> {
    ConditionalWrite {
        key: KEY,
        precondition: Precondition::Absent,
        write_id,
        value: Some("1"),
    }
}

fn update(revision: u64, write_id: &str) -> ConditionalWrite<'_> {
    ConditionalWrite {
        precondition: Precondition::Revision(Revision(revision)),
        ..create(write_id)
    }
}

#[tokio::test]
async fn a_create_whose_answer_is_lost_is_found_to_be_ours() {
    let store = MemoryStore::new();
    store.inject_faults(|faults| faults.lost_responses = 1);
    assert_eq!(
        write_and_confirm(&store, create("a")).await,
        Ok(Revision(1))
    );
    assert_eq!(store.call_counts().puts, 1);
}

#[tokio::test]
async fn a_create_lost_before_its_effect_is_sent_again() {
    let store = MemoryStore::new();
    store.inject_faults(|faults| faults.lost_writes = 2);
    assert_eq!(
        write_and_confirm(&store, create("a")).await,
        Ok(Revision(1))
    );
    assert_eq!(store.call_counts().puts, 3);
}

#[tokio::test]
async fn a_create_whose_first_copy_comes_late_takes_effect_once() {
    let store = MemoryStore::new();
    store.inject_faults(|faults| faults.delayed_writes = 1);
    assert_eq!(
        write_and_confirm(&store, create("a")).await,
        Ok(Revision(1))
    );
    store.apply_delayed();
    assert_eq!(store.revision(), Revision(1));
}

#[tokio::test]
async fn a_create_that_another_forestalled_is_a_conflict() {
    let store = MemoryStore::new();
    store.put(create("b")).await.unwrap();
    store.inject_faults(|faults| faults.lost_writes = 1);
    assert_matches!(
        write_and_confirm(&store, create("a")).await,
        Err(StoreError::Conflict(Some(object))) if object.write_id == "b"
    );
}

#[tokio::test]
async fn what_stays_unknown_is_lost_and_not_a_refusal() {
    let store = MemoryStore::new();
    store.inject_faults(|faults| {
        faults.lost_responses = 3;
        faults.lost_reads = 9;
    });
    assert_matches!(
        write_and_confirm(&store, create("a")).await,
        Err(StoreError::Indeterminate(_))
    );
    assert_eq!(store.revision(), Revision(1));
}

#[tokio::test]
async fn a_store_that_is_down_refuses_at_once() {
    let store = MemoryStore::new();
    store.inject_faults(|faults| faults.down = true);
    assert_matches!(
        write_and_confirm(&store, create("a")).await,
        Err(StoreError::Refused(_))
    );
    assert_eq!(store.call_counts().puts, 1);
}

#[tokio::test]
async fn a_stale_read_after_a_lost_update_settles_nothing() {
    let store = MemoryStore::new();
    store.put(create("a")).await.unwrap();
    store.inject_faults(|faults| {
        faults.lost_responses = 1;
        faults.stale_at = Some(Revision(1));
    });
    // The second copy meets the first one's effect, which shows the write id.
    assert_eq!(
        write_and_confirm(&store, update(1, "b")).await,
        Ok(Revision(2))
    );
    assert_eq!(store.revision(), Revision(2));
}

#[tokio::test]
async fn an_update_against_an_old_revision_shows_what_stands() {
    let store = MemoryStore::new();
    store.put(create("a")).await.unwrap();
    store.put(update(1, "b")).await.unwrap();
    assert_matches!(
        write_and_confirm(&store, update(1, "c")).await,
        Err(StoreError::Conflict(Some(object))) if object.revision == Revision(2)
    );
}
