//! An upstream that is leaving gets no new work.

use anyhow::Result;
use sardinepin_config::Upstream;
use sardinepin_protocol::UpstreamState;
use sardinepin_standins::fleet::Fleet;
use serde_json::json;

use crate::util::*;

/// Sends calls until `count` in a row have left upstream `at` alone.
async fn until_left_alone(fleet: &Fleet, at: usize, count: u64) -> Result<()> {
    let mut number = 0;
    until("no new work comes", async || {
        let before = counts(fleet, at).await?.arrived;
        for _ in 0..count {
            number += 1;
            let answer = status(fleet, number % fleet.entries.len()).await?;
            assert_eq!(
                outcome(&answer),
                "answered",
                "{}\n{}",
                reason(&answer),
                fleet.output()
            );
        }
        Ok(counts(fleet, at).await?.arrived == before)
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_agent_says_so_itself_with_the_platform_out() -> Result<()> {
    let mut fleet = start(app(), 2, 2, json!({})).await?;
    upstream_faults(&fleet, json!({"hold_before": true})).await?;
    let call = start_book(&fleet, 0, "held");
    let at = wait_held(&fleet).await?;
    fleet
        .faults(&fleet.platform, &json!({"down": true}))
        .await?;
    fleet.agents[at].child.terminate()?;
    upstream_faults(&fleet, json!({"hold_before": true, "only": "nothing"})).await?;
    until_left_alone(&fleet, at, 20).await?;
    release(&fleet).await;
    assert_eq!(outcome(&call.await??), "answered");
    assert!(fleet.agents[at].child.wait_exit().await?.success());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_by_operator_finishes_and_gets_no_new_work() -> Result<()> {
    for state in [UpstreamState::Draining, UpstreamState::Retired] {
        let fleet = start(app(), 2, 2, json!({})).await?;
        upstream_faults(&fleet, json!({"hold_before": true})).await?;
        let call = start_book(&fleet, 0, "held");
        let at = wait_held(&fleet).await?;
        upstream_faults(&fleet, json!({"hold_before": true, "only": "nothing"})).await?;
        let upstream = fleet.deployment.upstreams[at].clone();
        let name = upstream.name.clone();
        let leaving = Upstream { state, ..upstream };
        fleet.put_config("upstreams", &name, &leaving).await?;
        until_left_alone(&fleet, at, 20).await?;
        release(&fleet).await;
        assert_eq!(outcome(&call.await??), "answered", "{state:?}");
    }
    Ok(())
}
