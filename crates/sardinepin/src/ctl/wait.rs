//! Waits until a change is in force at every live node.

use sardinepin_common::{Clock, Millis, Revision};

use super::client::{Client, read};
use super::failure::Failure;
use super::order::Order;
use crate::admin::{NodeView, StatusView};

/// The time between two looks.
const POLL: Millis = Millis(200);

/// Waits until every live node reports `revision` or a later one, for at most `limit`.
pub(crate) async fn wait_for(
    client: &Client,
    revision: Revision,
    limit: Millis,
    json: bool,
) -> Result<(), Failure> {
    let clock = Clock::start();
    let call = Order::Status.call()?;
    let mut behind = Vec::new();
    loop {
        // An instance that does not answer now may do so at the next look.
        if let Ok(answer) = client.call(&call).await {
            let status: StatusView = read(answer)?;
            behind = behind_of(&status.nodes, revision);
            if behind.is_empty() {
                if !json {
                    let live = status.nodes.iter().filter(|node| node.live).count();
                    println!("in force at {live} live nodes");
                }
                return Ok(());
            }
        }
        if clock.now() + POLL > limit {
            return Err(Failure::Behind {
                revision,
                nodes: behind,
            });
        }
        tokio::time::sleep(POLL.duration()).await;
    }
}

/// Returns the names of the live nodes that report an older revision.
pub(crate) fn behind_of(nodes: &[NodeView], revision: Revision) -> Vec<String> {
    nodes
        .iter()
        .filter(|node| node.live && node.revision < revision)
        .map(|node| node.name.clone())
        .collect()
}
