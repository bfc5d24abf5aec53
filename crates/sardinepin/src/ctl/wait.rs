//! Waits until a change is in force on every live node.

use sardinepin_common::{Clock, Millis, Revision};

use super::client::{ApiClient, parse_response};
use super::error::CtlError;
use super::operation::wait_request;
use crate::admin::{NodeView, WaitRequest};

/// The maximum wait that one request asks for, so that it ends well within the client's timeout.
const REQUEST_WAIT_MAX: Millis = Millis(2_000);

/// The delay after a request that failed.
const RETRY_DELAY: Millis = Millis(200);

/// Waits until every live node reports `revision` or a later one, for at most `timeout`.
pub(crate) async fn wait_in_force(
    client: &ApiClient,
    revision: Revision,
    timeout: Millis,
    json: bool,
) -> Result<(), CtlError> {
    let clock = Clock::start();
    let mut lagging = Vec::new();
    loop {
        let remaining = timeout - clock.now();
        let request = wait_request(&WaitRequest {
            revision,
            wait_ms: remaining.min(REQUEST_WAIT_MAX).0,
        })?;
        // The instance may be unavailable only for a moment, so a failed request is repeated.
        match client.send(&request).await {
            Ok(response) => {
                let nodes: Vec<NodeView> = parse_response(response)?;
                if nodes.is_empty() {
                    if !json {
                        println!("in force at every live node");
                    }
                    return Ok(());
                }
                lagging = nodes.into_iter().map(|node| node.name).collect();
            }
            Err(_) => tokio::time::sleep(RETRY_DELAY.duration()).await,
        }
        if clock.now() >= timeout {
            return Err(CtlError::NotInForce {
                revision,
                nodes: lagging,
            });
        }
    }
}
