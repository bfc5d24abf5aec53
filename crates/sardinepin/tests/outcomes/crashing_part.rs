//! A message that crashes engines is held back, whatever prompt it is in.

use anyhow::Result;
use bytes::Bytes;
use http::Method;
use sardinepin_standins::fleet::Fleet;
use sardinepin_standins::http::FullResponse;
use serde_json::{Value, json};

use crate::util::*;

/// The message that crashes every engine that computes an answer to it.
const CRASHING_MESSAGE: &str = "a poisonous appendix";

const ENGINES: usize = 7;

async fn chat(fleet: &Fleet, number: usize, shared: &[&str]) -> Result<FullResponse> {
    let own = format!("question {number}");
    let texts = shared.iter().copied().chain([own.as_str()]);
    let messages: Vec<_> = texts
        .map(|text| json!({"role": "user", "content": text}))
        .collect();
    let body = json!({"model": "m", "messages": messages, "max_tokens": 4}).to_string();
    let headers = [
        ("x-organisation", "o1"),
        ("content-type", "application/json"),
    ];
    let address = fleet.entries[0].address();
    let path = "/v1/chat/completions";
    fleet
        .client
        .request(Method::POST, address, path, &headers, Bytes::from(body))
        .await
}

#[tokio::test(flavor = "multi_thread")]
async fn crashing_message_is_refused_in_any_prompt_and_others_are_answered() -> Result<()> {
    let fleet = start_fleet(llm(), ENGINES, 1, json!({})).await?;
    let sound = chat(&fleet, 0, &["a common rule"]).await?;
    assert_eq!(outcome(&sound), "answered", "{}", reason(&sound));
    set_upstream_faults(&fleet, json!({"crash_on": CRASHING_MESSAGE})).await?;
    let mut refused = 0;
    for number in 1..=10 {
        let response = chat(&fleet, number, &["a common rule", CRASHING_MESSAGE]).await?;
        assert_ne!(outcome(&response), "answered");
        refused += usize::from(reason(&response) == "quarantined");
    }
    assert!(refused >= 7, "{refused}\n{}", fleet.recent_output());
    for shared in [&["a common rule"][..], &["another rule"]] {
        let sound = chat(&fleet, 100, shared).await?;
        assert_eq!(outcome(&sound), "answered", "{}", reason(&sound));
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn crashing_message_found_while_the_platform_is_away_is_shared_once_it_is_back() -> Result<()>
{
    let fleet = start_fleet(llm(), ENGINES, 2, json!({})).await?;
    set_upstream_faults(&fleet, json!({"crash_on": CRASHING_MESSAGE})).await?;
    let platform = &fleet.platform;
    fleet.set_faults(platform, &json!({"down": true})).await?;
    let mut number = 0;
    wait_until("the first entry refuses the message", async || {
        number += 1;
        let response = chat(&fleet, number, &[CRASHING_MESSAGE]).await?;
        Ok(reason(&response) == "quarantined")
    })
    .await?;
    let known = fleet.admin_get(&fleet.entries[0], "/v1/quarantine").await?;
    fleet.set_faults(platform, &json!({})).await?;
    wait_until("the second entry knows as much", async || {
        let shared = fleet.admin_get(&fleet.entries[1], "/v1/quarantine").await?;
        Ok(count_quarantined(&shared) == count_quarantined(&known))
    })
    .await
}

fn count_quarantined(list: &Value) -> usize {
    list.as_array().map_or(0, Vec::len)
}
