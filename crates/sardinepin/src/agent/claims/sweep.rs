//! Deletes expired claims from the store, shard by shard.

use std::sync::Arc;

use sardinepin_common::{Clock, Millis, rendezvous_first};
use sardinepin_membership::{MemberStatus, MemberView};
use sardinepin_protocol::Role;
use sardinepin_store::{ConditionalWrite, Object, Precondition, Store};

use crate::agent::claims::record::{ClaimRecord, SHARD_COUNT, shard_prefix};
use crate::agent::claims::write_id;
use crate::control::Control;

/// The wait after each deletion, to stay within the platform's rate limits.
const DELETE_PAUSE: Millis = Millis(50);

/// Sweeps one shard after the other; returns only if there is no store.
///
/// Rendezvous hashing over the live agents assigns each shard to one agent. Two agents that both
/// consider themselves responsible do no harm, since deletions are conditional.
pub(crate) async fn run(control: Arc<Control>, name: String, keep: Millis) {
    let Some(store) = control.store().cloned() else {
        return;
    };
    let interval = Millis((keep.0 / u64::from(SHARD_COUNT)).max(1));
    loop {
        for shard in 0..SHARD_COUNT {
            tokio::time::sleep(interval.duration()).await;
            if is_shard_owner(&control, &name, shard) {
                sweep_shard(store.as_ref(), shard, keep).await;
            }
        }
    }
}

fn is_shard_owner(control: &Control, name: &str, shard: u16) -> bool {
    let is_alive_agent =
        |member: &MemberView| member.role == Role::Agent && member.status == MemberStatus::Alive;
    let agents: Vec<String> = control
        .members()
        .into_iter()
        .filter(is_alive_agent)
        .map(|member| member.name)
        .collect();
    rendezvous_first(&("claims", shard), &agents).is_some_and(|at| agents[at] == name)
}

async fn sweep_shard(store: &dyn Store, shard: u16, keep: Millis) {
    let listing = match store.list(&shard_prefix(shard)).await {
        Ok(listing) => listing,
        Err(error) => {
            log::warn!(event = "claims_not_swept", error:% = error; "cannot list the claims of a shard");
            return;
        }
    };
    let now = Clock::wall_time();
    let expired = listing
        .objects
        .iter()
        .filter(|object| is_expired(object, now, keep));
    for object in expired {
        let change = ConditionalWrite {
            key: &object.key,
            precondition: Precondition::Revision(object.revision),
            write_id: &write_id(),
            value: None,
        };
        if store.put(change).await.is_ok() {
            metrics::counter!("sardinepin_claims_deleted_total").increment(1);
        }
        tokio::time::sleep(DELETE_PAUSE.duration()).await;
    }
}

fn is_expired(object: &Object, now: Millis, keep: Millis) -> bool {
    ClaimRecord::parse(object).is_some_and(|(record, _)| now.since(record.made) >= keep)
}
