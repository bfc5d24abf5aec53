//! Waits until a change is in force at every live node.

use sardinepin_common::{Clock, Millis, Revision};

use super::client::{Client, read};
use super::failure::Failure;
use super::order::behind;
use crate::admin::{NodeView, WaitRequest};

/// The longest wait that is asked for at once, so that a call ends well within its bound.
const STEP: Millis = Millis(2_000);

/// The pause after the administration API did not answer.
const PAUSE: Millis = Millis(200);

/// Waits until every live node reports `revision` or a later one, for at most `limit`.
pub(crate) async fn wait_for(
    client: &Client,
    revision: Revision,
    limit: Millis,
    json: bool,
) -> Result<(), Failure> {
    let clock = Clock::start();
    let mut lagging = Vec::new();
    loop {
        let left = limit - clock.now();
        let call = behind(&WaitRequest {
            revision,
            wait_ms: left.min(STEP).0,
        })?;
        // An instance that does not answer now may do so at the next look.
        match client.call(&call).await {
            Ok(answer) => {
                let nodes: Vec<NodeView> = read(answer)?;
                if nodes.is_empty() {
                    if !json {
                        println!("in force at every live node");
                    }
                    return Ok(());
                }
                lagging = nodes.into_iter().map(|node| node.name).collect();
            }
            Err(_) => tokio::time::sleep(PAUSE.duration()).await,
        }
        if clock.now() >= limit {
            return Err(Failure::Behind {
                revision,
                nodes: lagging,
            });
        }
    }
}
