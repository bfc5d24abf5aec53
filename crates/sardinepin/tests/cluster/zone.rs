//! A zone that is cut off from all else goes on, and comes back.

use anyhow::Result;

use crate::util::{CUT_ZONE, Cluster};

const ZONES: [&str; 3] = ["zone-a", "zone-b", CUT_ZONE];

#[tokio::test(flavor = "multi_thread")]
async fn zone_that_is_cut_off_goes_on_with_what_it_holds_and_catches_up() -> Result<()> {
    let cluster = Cluster::start(&ZONES).await?;
    let before = cluster.change_rules(0, "before").await?;
    cluster.all_hold(&cluster.all(), before).await?;
    cluster.cut(CUT_ZONE)?;
    let cut = cluster.zone(CUT_ZONE);
    sees(&cluster, &cut, cut.len()).await?;
    let during = cluster.change_rules(0, "during").await?;
    let others = [cluster.zone("zone-a"), cluster.zone("zone-b")].concat();
    cluster.all_hold(&others, during).await?;
    for at in &cut {
        assert_eq!(cluster.revision(*at).await?, before);
    }
    cluster.heal()?;
    cluster.all_hold(&cluster.all(), during).await?;
    cluster.all_see_all().await
}

#[tokio::test(flavor = "multi_thread")]
async fn zone_whose_processes_are_all_replaced_while_it_is_cut_off() -> Result<()> {
    let mut cluster = Cluster::start(&ZONES).await?;
    let before = cluster.change_rules(0, "before").await?;
    cluster.all_hold(&cluster.all(), before).await?;
    cluster.cut(CUT_ZONE)?;
    let cut = cluster.zone(CUT_ZONE);
    sees(&cluster, &cut, cut.len()).await?;
    let during = cluster.change_rules(0, "during").await?;
    // One after the other: each learns from those that are left what the zone has in force.
    for at in &cut {
        cluster.nodes[*at].restart().await?;
        cluster.all_hold(&[*at], before).await?;
        assert_eq!(cluster.revision(*at).await?, before);
    }
    cluster.heal()?;
    cluster.all_hold(&cluster.all(), during).await?;
    cluster.all_see_all().await
}

#[tokio::test(flavor = "multi_thread")]
async fn zone_that_has_lost_its_configuration_is_not_ready_until_it_is_reached() -> Result<()> {
    let mut cluster = Cluster::start(&ZONES).await?;
    let newest = cluster.change_rules(0, "before").await?;
    cluster.all_hold(&cluster.all(), newest).await?;
    cluster.cut(CUT_ZONE)?;
    let cut = cluster.zone(CUT_ZONE);
    // The cut is in force only once each process has read of it.
    sees(&cluster, &cut, cut.len()).await?;
    for at in &cut {
        cluster.nodes[*at].child.kill9().await?;
    }
    for at in &cut {
        cluster.nodes[*at].restart().await?;
    }
    sees(&cluster, &cut, cut.len()).await?;
    let entry = cut[0];
    assert!(!is_ready(&cluster, entry).await?);
    cluster.heal()?;
    cluster.all_hold(&cluster.all(), newest).await?;
    cluster
        .until("the entry is ready", async || {
            is_ready(&cluster, entry).await
        })
        .await
}

/// Waits until the nodes at these places see just so many.
async fn sees(cluster: &Cluster, places: &[usize], count: usize) -> Result<()> {
    cluster
        .until("the zone sees itself only", async || {
            for at in places {
                let seen = cluster.metric(*at, "sardinepin_members_present").await?;
                if seen != count as u64 {
                    return Ok(false);
                }
            }
            Ok(true)
        })
        .await
}

async fn is_ready(cluster: &Cluster, at: usize) -> Result<bool> {
    let answer = cluster
        .call(at, http::Method::GET, "/readyz", &[], None)
        .await?;
    Ok(answer.status.is_success())
}
