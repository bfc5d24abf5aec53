//! Sends switch orders to the engine, one at a time.

use sardinepin_common::{Millis, Term};
use sardinepin_groups::Order;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::agent::group::GroupEvent;
use crate::agent::state::SharedAgent;

/// The maximum time that the engine may take to reply to an order.
const REPLY_TIMEOUT: Millis = Millis(1_000);

/// Sends orders to the engine of an agent.
pub(super) struct OrderSender {
    agent: SharedAgent,
    events: mpsc::UnboundedSender<GroupEvent>,
}

impl OrderSender {
    /// Creates a sender that reports replies to `events`.
    pub(super) fn new(agent: SharedAgent, events: mpsc::UnboundedSender<GroupEvent>) -> Self {
        Self { agent, events }
    }

    /// Sends an order in the background.
    ///
    /// Orders do not overlap, since the rank state machine issues the next one only after the
    /// reply.
    pub(super) fn send(&self, term: Term, order: Order) {
        let agent = SharedAgent::clone(&self.agent);
        let events = self.events.clone();
        tokio::spawn(async move {
            let reply = timeout(
                REPLY_TIMEOUT.duration(),
                agent.upstream.send_order(term, order),
            )
            .await;
            let _ = events.send(GroupEvent::EngineReply(reply.ok().flatten()));
        });
    }
}
