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
        let look = FencedOrder {
            term: Term::default(),
            order: Order::Look,
        };
        json_response(StatusCode::OK, &self.core().switch.apply(look).0)
    }

    /// Sets the members of the group of this rank.
    pub(super) fn set_peers(&self, body: &[u8]) -> HandlerResult {
        let Some(lock_step) = &self.lock_step else {
            return text_response(StatusCode::CONFLICT, "the engine is not a rank of a group");
        };
        match serde_json::from_slice::<RankPeers>(body) {
            Ok(ranks) => {
                lock_step.set(ranks);
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
        tokio::spawn(self.carry_out(fenced))
            .await
            .map_err(|_| CloseConnection)?
    }

    /// Loads the weights of a map whose loading was interrupted by a restart.
    pub(super) fn resume_loading(self: &Arc<Self>) {
        let loading = self.core().switch.loading();
        if let Some(map) = loading {
            tokio::spawn(Arc::clone(self).load_weights(map));
        }
    }

    async fn carry_out(self: Arc<Self>, fenced: FencedOrder) -> HandlerResult {
        self.hold_order().await;
        let (reply, to_load) = self.core().switch.apply(fenced);
        self.wake.notify_one();
        if let Some(map) = to_load {
            tokio::spawn(Arc::clone(&self).load_weights(map));
        }
        if self.faults.borrow().lose_orders {
            return Err(CloseConnection);
        }
        json_response::<OrderReply>(StatusCode::OK, &reply)
    }

    async fn hold_order(&self) {
        self.core().counts.orders += 1;
        let mut faults = self.faults.subscribe();
        if !faults.borrow().hold_orders {
            return;
        }
        self.core().counts.held_orders += 1;
        // The sender lives as long as the engine, so the wait cannot fail.
        let _ = faults.wait_for(|faults| !faults.hold_orders).await;
        self.core().counts.held_orders -= 1;
    }

    async fn load_weights(self: Arc<Self>, map: MapId) {
        pause(self.settings.load_time()).await;
        let mut faults = self.faults.subscribe();
        let _ = faults.wait_for(|faults| !faults.weights_out).await;
        self.core().switch.loaded(map);
    }
}
