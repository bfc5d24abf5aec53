//! What a process has in force never goes back.

use anyhow::Result;
use sardinepin_common::Revision;
use serde_json::json;

use crate::util::Cluster;

/// How many reads and watches the platform answers with an old state.
const STALE: u32 = 60;

#[tokio::test(flavor = "multi_thread")]
async fn never_reverts_while_the_platform_answers_with_old_versions() -> Result<()> {
    let mut cluster = Cluster::start(&["zone-a", "zone-b"]).await?;
    let mut newest = Revision::default();
    for name in ["one", "two", "three", "four"] {
        newest = cluster.change_rules(0, name).await?;
    }
    cluster.all_hold(&cluster.all(), newest).await?;
    cluster
        .platform(json!({"stale": STALE, "stale_by": 3}))
        .await?;
    // A process that starts now lists an old state, and must not be the end of the newer one.
    cluster.nodes[1].restart().await?;
    for _ in 0..20 {
        for at in cluster.all().into_iter().filter(|at| *at != 1) {
            assert!(cluster.revision(at).await? >= newest);
        }
    }
    cluster.all_hold(&[1], newest).await?;
    cluster.platform(json!({})).await?;
    let revision = cluster.change_rules(3, "five").await?;
    cluster.all_hold(&cluster.all(), revision).await
}

#[tokio::test(flavor = "multi_thread")]
async fn never_reverts_when_a_process_is_replaced_with_the_platform_down() -> Result<()> {
    let mut cluster = Cluster::start(&["zone-a", "zone-b"]).await?;
    let newest = cluster.change_rules(0, "one").await?;
    cluster.all_hold(&cluster.all(), newest).await?;
    cluster.platform(json!({"down": true})).await?;
    for at in cluster.all() {
        cluster.nodes[at].restart().await?;
        cluster.all_hold(&[at], newest).await?;
    }
    cluster.platform(json!({})).await?;
    let revision = cluster.change_rules(0, "two").await?;
    cluster.all_hold(&cluster.all(), revision).await
}
