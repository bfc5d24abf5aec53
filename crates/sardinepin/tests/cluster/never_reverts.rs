//! Tests that the revision in force in a process never decreases.

use anyhow::Result;
use sardinepin_common::Revision;
use serde_json::json;

use crate::util::Cluster;

/// The number of reads and watches that the platform responds to with an old state.
const STALE_READS: u32 = 60;

#[tokio::test(flavor = "multi_thread")]
async fn never_reverts_while_the_platform_responds_with_old_revisions() -> Result<()> {
    let mut cluster = Cluster::start(&["zone-a", "zone-b"]).await?;
    let mut newest = Revision::default();
    for name in ["one", "two", "three", "four"] {
        newest = cluster.change_rules(0, name).await?;
    }
    cluster
        .wait_until_in_force(&cluster.all_indices(), newest)
        .await?;
    cluster
        .set_platform_faults(json!({"stale": STALE_READS, "stale_by": 3}))
        .await?;
    // A process that starts now lists an old state, and must not replace the newer one with it.
    cluster.nodes[1].restart().await?;
    for _ in 0..20 {
        for index in cluster
            .all_indices()
            .into_iter()
            .filter(|index| *index != 1)
        {
            assert!(cluster.revision(index).await? >= newest);
        }
    }
    cluster.wait_until_in_force(&[1], newest).await?;
    cluster.set_platform_faults(json!({})).await?;
    let revision = cluster.change_rules(3, "five").await?;
    cluster
        .wait_until_in_force(&cluster.all_indices(), revision)
        .await
}

#[tokio::test(flavor = "multi_thread")]
async fn never_reverts_when_a_process_is_replaced_with_the_platform_unavailable() -> Result<()> {
    let mut cluster = Cluster::start(&["zone-a", "zone-b"]).await?;
    let newest = cluster.change_rules(0, "one").await?;
    cluster
        .wait_until_in_force(&cluster.all_indices(), newest)
        .await?;
    cluster.set_platform_faults(json!({"down": true})).await?;
    for index in cluster.all_indices() {
        cluster.nodes[index].restart().await?;
        cluster.wait_until_in_force(&[index], newest).await?;
    }
    cluster.set_platform_faults(json!({})).await?;
    let revision = cluster.change_rules(0, "two").await?;
    cluster
        .wait_until_in_force(&cluster.all_indices(), revision)
        .await
}
