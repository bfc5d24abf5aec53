//! Tests that an accepted change comes into force in every process.

use anyhow::Result;
use serde_json::json;

use crate::util::Cluster;

#[tokio::test(flavor = "multi_thread")]
async fn in_force_a_change_reaches_every_process_of_every_zone() -> Result<()> {
    let cluster = Cluster::start(&["zone-a", "zone-b"]).await?;
    for name in ["one", "two", "three"] {
        let revision = cluster.change_rules(0, name).await?;
        cluster
            .wait_until_in_force(&cluster.all_indices(), revision)
            .await?;
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn in_force_a_change_whose_response_is_lost_by_a_slow_platform() -> Result<()> {
    let cluster = Cluster::start(&["zone-a", "zone-b"]).await?;
    cluster.change_rules(0, "one").await?;
    cluster
        .set_platform_faults(json!({"slow_ms": 100, "lose_answers": 1}))
        .await?;
    let revision = cluster.change_rules(0, "two").await?;
    cluster
        .wait_until_in_force(&cluster.all_indices(), revision)
        .await?;
    let rules = String::from_utf8_lossy(&cluster.rules(3).await?.body).into_owned();
    assert!(rules.contains("\"two\""), "{rules}");
    Ok(())
}
