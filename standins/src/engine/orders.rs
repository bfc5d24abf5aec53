//! Handles orders to the engine over HTTP, and loads the weights that they require.

use std::sync::Arc;

use hyper::StatusCode;
use sardinepin_common::Term;
use sardinepin_groups::{MapId, Order, OrderReply};

use super::Engine;
use super::lock_step::RankPeers;
use super::map_switch::FencedOrder;
use crate::http::{CloseConnection, HandlerResult, json_response, text_response};
use crate::pause::pause;

impl Engine {
    /// Responds with the gate and the next step, whatever the fencing term.
    pub(super) fn rank_state(&self) -> HandlerResult {
        let read_gate = FencedOrder {
            term: Term::default(),
            order: Order::Look,
        };
        json_response(StatusCode::OK, &self.state().switch.apply(read_gate).0)
    }

    /// Sets the members of the group of this rank.
    pub(super) fn set_peers(&self, body: &[u8]) -> HandlerResult {
        let Some(lock_step) = &self.lock_step else {
            return text_response(StatusCode::CONFLICT, "not a rank of a group");
        };
        match serde_json::from_slice::<RankPeers>(body) {
            Ok(ranks) => {
                lock_step.set_peers(ranks);
                json_response(StatusCode::OK, &())
            }
            Err(error) => text_response(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    /// Executes an order to its end, even if the caller disconnects meanwhile.
    pub(super) async fn order(self: Arc<Self>, body: &[u8]) -> HandlerResult {
        let fenced = match serde_json::from_slice(body) {
            Ok(fenced) => fenced,
            Err(error) => return text_response(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        tokio::spawn(self.execute_order(fenced))
            .await
            .map_err(|_| CloseConnection)?
    }

    /// Loads the weights of a map whose loading was interrupted by a restart.
    pub(super) fn resume_loading(self: &Arc<Self>) {
        let unloaded = self.state().switch.unloaded_map();
        if let Some(map) = unloaded {
            tokio::spawn(Arc::clone(self).load_weights(map));
        }
    }

    async fn execute_order(self: Arc<Self>, fenced: FencedOrder) -> HandlerResult {
        self.wait_while_held().await;
        let (reply, to_load) = self.state().switch.apply(fenced);
        self.wake.notify_one();
        if let Some(map) = to_load {
            tokio::spawn(Arc::clone(&self).load_weights(map));
        }
        if self.faults.borrow().lose_orders {
            return Err(CloseConnection);
        }
        json_response::<OrderReply>(StatusCode::OK, &reply)
    }

    async fn wait_while_held(&self) {
        self.state().counts.orders += 1;
        let mut faults = self.faults.subscribe();
        if !faults.borrow().hold_orders {
            return;
        }
        self.state().counts.held_orders += 1;
        // The sender lives as long as the engine, so the wait cannot fail.
        let _ = faults.wait_for(|faults| !faults.hold_orders).await;
        self.state().counts.held_orders -= 1;
    }

    async fn load_weights(self: Arc<Self>, map: MapId) {
        pause(self.settings.load_time()).await;
        let mut faults = self.faults.subscribe();
        let _ = faults.wait_for(|faults| !faults.weights_out).await;
        self.state().switch.mark_loaded(map);
    }
}
