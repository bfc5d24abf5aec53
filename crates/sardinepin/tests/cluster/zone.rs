//! Tests of a zone that is cut off from everything else and reconnected.

use anyhow::Result;

use crate::util::{CUT_ZONE, Cluster};

const ZONES: [&str; 3] = ["zone-a", "zone-b", CUT_ZONE];

#[tokio::test(flavor = "multi_thread")]
async fn zone_that_is_cut_off_keeps_its_configuration_and_catches_up() -> Result<()> {
    let cluster = Cluster::start(&ZONES).await?;
    let before = cluster.change_rules(0, "before").await?;
    cluster
        .wait_until_in_force(&cluster.all_indices(), before)
        .await?;
    cluster.cut_zone(CUT_ZONE)?;
    let cut = cluster.zone_indices(CUT_ZONE);
    wait_until_present(&cluster, &cut, cut.len()).await?;
    let during = cluster.change_rules(0, "during").await?;
    let others = [
        cluster.zone_indices("zone-a"),
        cluster.zone_indices("zone-b"),
    ]
    .concat();
    cluster.wait_until_in_force(&others, during).await?;
    for index in &cut {
        assert_eq!(cluster.revision(*index).await?, before);
    }
    cluster.restore_links()?;
    cluster
        .wait_until_in_force(&cluster.all_indices(), during)
        .await?;
    cluster.wait_until_all_present().await
}

#[tokio::test(flavor = "multi_thread")]
async fn zone_whose_processes_are_all_replaced_during_a_cut_keeps_its_configuration() -> Result<()>
{
    let mut cluster = Cluster::start(&ZONES).await?;
    let before = cluster.change_rules(0, "before").await?;
    cluster
        .wait_until_in_force(&cluster.all_indices(), before)
        .await?;
    cluster.cut_zone(CUT_ZONE)?;
    let cut = cluster.zone_indices(CUT_ZONE);
    wait_until_present(&cluster, &cut, cut.len()).await?;
    let during = cluster.change_rules(0, "during").await?;
    // One at a time: each new process learns the configuration in force from the remaining ones.
    for index in &cut {
        cluster.nodes[*index].restart().await?;
        cluster.wait_until_in_force(&[*index], before).await?;
        assert_eq!(cluster.revision(*index).await?, before);
    }
    cluster.restore_links()?;
    cluster
        .wait_until_in_force(&cluster.all_indices(), during)
        .await?;
    cluster.wait_until_all_present().await
}

#[tokio::test(flavor = "multi_thread")]
async fn zone_that_has_lost_its_configuration_is_not_ready_until_reconnected() -> Result<()> {
    let mut cluster = Cluster::start(&ZONES).await?;
    let newest = cluster.change_rules(0, "before").await?;
    cluster
        .wait_until_in_force(&cluster.all_indices(), newest)
        .await?;
    cluster.cut_zone(CUT_ZONE)?;
    let cut = cluster.zone_indices(CUT_ZONE);
    // The cut takes effect only once each process has read the file of cut links.
    wait_until_present(&cluster, &cut, cut.len()).await?;
    for index in &cut {
        cluster.nodes[*index].child.kill().await?;
    }
    for index in &cut {
        cluster.nodes[*index].restart().await?;
    }
    wait_until_present(&cluster, &cut, cut.len()).await?;
    let entry = cut[0];
    assert!(!is_ready(&cluster, entry).await?);
    cluster.restore_links()?;
    cluster
        .wait_until_in_force(&cluster.all_indices(), newest)
        .await?;
    cluster
        .wait_until("the entry is ready", async || {
            is_ready(&cluster, entry).await
        })
        .await
}

/// Waits until each node with one of these indices counts exactly `count` nodes as present.
async fn wait_until_present(cluster: &Cluster, indices: &[usize], count: usize) -> Result<()> {
    cluster
        .wait_until("the zone sees only its own nodes", async || {
            for index in indices {
                let seen = cluster.metric(*index, "sardinepin_members_present").await?;
                if seen != count as u64 {
                    return Ok(false);
                }
            }
            Ok(true)
        })
        .await
}

async fn is_ready(cluster: &Cluster, index: usize) -> Result<bool> {
    let response = cluster
        .call(index, http::Method::GET, "/readyz", &[], None)
        .await?;
    Ok(response.status.is_success())
}
