//! A keyed call runs at most once.

use std::collections::BTreeSet;

use anyhow::Result;
use sardinepin_standins::fleet::Fleet;
use serde_json::json;

use crate::util::*;

async fn start_bookings() -> Result<Fleet> {
    start_fleet(app(), 2, 2, json!({"entry": {"settle_ms": 500}})).await
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_repeat_gets_the_first_response() -> Result<()> {
    let fleet = start_bookings().await?;
    let first = book(&fleet, 0, "k", "seat").await?;
    let again = book(&fleet, 1, "k", "seat").await?;
    assert_eq!((outcome(&first), outcome(&again)), ("answered", "answered"));
    assert_eq!(first.body, again.body);
    assert_eq!(count_runs(&fleet, "k").await?, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_concurrent_calls_with_one_key_at_two_entries() -> Result<()> {
    let fleet = start_bookings().await?;
    for round in 0..10 {
        let key = format!("k{round}");
        let calls: Vec<_> = (0..8)
            .map(|index| spawn_book(&fleet, index % 2, &key))
            .collect();
        let mut bodies = BTreeSet::new();
        for call in calls {
            let response = call.await??;
            assert_eq!(outcome(&response), "answered", "{}", fleet.recent_output());
            bodies.insert(response.body);
        }
        assert_eq!(bodies.len(), 1);
        assert_eq!(count_runs(&fleet, &key).await?, 1);
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_same_key_with_another_body_is_refused() -> Result<()> {
    let fleet = start_bookings().await?;
    book(&fleet, 0, "k", "seat").await?;
    let other = book(&fleet, 1, "k", "another seat").await?;
    assert_eq!(
        (outcome(&other), reason(&other).as_str()),
        ("not_run", "key_reused")
    );
    assert_eq!(count_runs(&fleet, "k").await?, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_agent_killed_during_the_run() -> Result<()> {
    for hold in ["hold_before", "hold_after"] {
        let mut fleet = start_bookings().await?;
        set_upstream_faults(&fleet, json!({hold: true})).await?;
        let call = spawn_book(&fleet, 0, "k");
        let index = wait_held(&fleet).await?;
        fleet.agents[index].child.kill().await?;
        let first = call.await??;
        assert_eq!(outcome(&first), "unknown", "{hold}");
        release_held(&fleet).await;
        // The first repeat reaches the other agent, the second one may reach the replacement.
        let again = book(&fleet, 1, "k", "seat").await?;
        assert_eq!(outcome(&again), "unknown", "{hold}");
        fleet.restart_agent(index).await?;
        let last = book(&fleet, 0, "k", "seat").await?;
        assert_eq!(outcome(&last), "unknown", "{hold}");
        assert!(count_runs(&fleet, "k").await? <= 1);
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_agent_frozen_during_the_run_and_thawed() -> Result<()> {
    for hold in ["hold_before", "hold_after"] {
        let fleet = start_bookings().await?;
        set_upstream_faults(&fleet, json!({hold: true})).await?;
        let call = spawn_book(&fleet, 0, "k");
        let index = wait_held(&fleet).await?;
        fleet.agents[index].child.suspend()?;
        assert_eq!(outcome(&call.await??), "unknown", "{hold}");
        let again = book(&fleet, 1, "k", "seat").await?;
        assert_eq!(outcome(&again), "unknown", "{hold}");
        fleet.agents[index].child.resume()?;
        release_held(&fleet).await;
        // The thawed agent holds the response of the run and replays it to repeats.
        wait_until("a repeat is answered", async || {
            Ok(outcome(&book(&fleet, 1, "k", "seat").await?) == "answered")
        })
        .await?;
        assert_eq!(count_runs(&fleet, "k").await?, 1);
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_upstream_killed_after_the_run() -> Result<()> {
    let mut fleet = start_bookings().await?;
    set_upstream_faults(&fleet, json!({"hold_after": true})).await?;
    let call = spawn_book(&fleet, 0, "k");
    let index = wait_held(&fleet).await?;
    fleet.upstreams[index].kill().await?;
    assert_eq!(outcome(&call.await??), "unknown");
    fleet.restart_upstream(index).await?;
    release_held(&fleet).await;
    let again = book(&fleet, 1, "k", "seat").await?;
    assert_eq!(outcome(&again), "unknown");
    assert_eq!(count_runs(&fleet, "k").await?, 1);
    Ok(())
}

/// Waits until a response is stored with its claim, then kills and restarts every agent, so that
/// only the claim in the store still holds the key.
async fn replace_agents_after_response(fleet: &mut Fleet) -> Result<()> {
    wait_until("the response is stored with the claim", async || {
        let path = "/v1/objects?prefix=claims/";
        let listing: sardinepin_store::Listing = fleet
            .client
            .get_json(fleet.platform.address(), path)
            .await?;
        let kept = |value: &Option<String>| {
            value
                .as_deref()
                .is_some_and(|text| text.contains("\"status\""))
        };
        Ok(listing.objects.iter().any(|object| kept(&object.value)))
    })
    .await?;
    for agent in &mut fleet.agents {
        agent.child.kill().await?;
    }
    for index in 0..fleet.agents.len() {
        fleet.restart_agent(index).await?;
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_another_body_is_refused_after_agents_are_replaced() -> Result<()> {
    let mut fleet = start_bookings().await?;
    book(&fleet, 0, "k", "seat").await?;
    replace_agents_after_response(&mut fleet).await?;
    wait_until("another body is refused for its key", async || {
        let other = book(&fleet, 0, "k", "another seat").await?;
        assert_ne!(outcome(&other), "answered");
        Ok(reason(&other) == "key_reused")
    })
    .await?;
    assert_eq!(count_runs(&fleet, "k").await?, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_response_is_replayed_after_agents_are_replaced() -> Result<()> {
    let mut fleet = start_bookings().await?;
    let first = book(&fleet, 0, "k", "seat").await?;
    replace_agents_after_response(&mut fleet).await?;
    wait_until("a repeat is answered", async || {
        let again = book(&fleet, 1, "k", "seat").await?;
        Ok(outcome(&again) == "answered" && again.body == first.body)
    })
    .await?;
    assert_eq!(count_runs(&fleet, "k").await?, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_expired_claims_are_deleted() -> Result<()> {
    let fleet = start_fleet(app(), 2, 1, json!({"agent": {"claim_keep_ms": 512}})).await?;
    book(&fleet, 0, "k", "seat").await?;
    wait_until("no claim is left", async || {
        let path = "/v1/objects?prefix=claims/";
        let listing: sardinepin_store::Listing = fleet
            .client
            .get_json(fleet.platform.address(), path)
            .await?;
        Ok(listing.objects.is_empty())
    })
    .await?;
    assert_eq!(count_runs(&fleet, "k").await?, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_platform_response_to_the_claim_is_lost() -> Result<()> {
    let fleet = start_bookings().await?;
    fleet
        .set_faults(&fleet.platform, &json!({"lose_answers": 1}))
        .await?;
    let first = book(&fleet, 0, "k", "seat").await?;
    assert_eq!(outcome(&first), "answered");
    let again = book(&fleet, 1, "k", "seat").await?;
    assert_eq!(again.body, first.body);
    assert_eq!(count_runs(&fleet, "k").await?, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_claim_writes_take_effect_late() -> Result<()> {
    let fleet = start_bookings().await?;
    fleet
        .set_faults(&fleet.platform, &json!({"late_writes": 6, "late_ms": 300}))
        .await?;
    // Both agents may have a delayed claim write in flight; whichever takes effect, the call runs
    // once.
    for entry in [0, 1] {
        book(&fleet, entry, "k", "seat").await?;
    }
    fleet.set_faults(&fleet.platform, &json!({})).await?;
    wait_until("a repeat is answered", async || {
        Ok(outcome(&book(&fleet, 0, "k", "seat").await?) == "answered")
    })
    .await?;
    let again = book(&fleet, 1, "k", "seat").await?;
    assert_eq!(outcome(&again), "answered");
    assert_eq!(count_runs(&fleet, "k").await?, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_unavailable_platform_refuses_keyed_calls_only() -> Result<()> {
    let fleet = start_bookings().await?;
    fleet
        .set_faults(&fleet.platform, &json!({"down": true}))
        .await?;
    let refused = book(&fleet, 0, "k", "seat").await?;
    assert_eq!(
        (outcome(&refused), reason(&refused).as_str()),
        ("not_run", "platform_out")
    );
    assert_eq!(count_runs(&fleet, "k").await?, 0);
    let plain = get_status(&fleet, 0).await?;
    assert_eq!(outcome(&plain), "answered");
    fleet.set_faults(&fleet.platform, &json!({})).await?;
    assert_eq!(outcome(&book(&fleet, 1, "k", "seat").await?), "answered");
    assert_eq!(count_runs(&fleet, "k").await?, 1);
    Ok(())
}
