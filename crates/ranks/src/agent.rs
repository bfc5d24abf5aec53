//! The agent beside one engine: answers coordinators, and remembers that one is at work.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sardinepin_common::{Clock, Millis};

use crate::engine::{EngineApi, EngineOrder, OrderReply};
use crate::messages::{Call, Reply, Scope, View};

/// How long a question to the engine may take.
const QUESTION_MAX: Millis = Millis(200);

/// How long an order to the engine may take; a step may be held meanwhile.
const ORDER_MAX: Millis = Millis(40);

/// The agent beside one engine.
#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) clock: Clock,
    engines: Arc<dyn EngineApi>,
    engine: SocketAddr,
    heard: Mutex<Heard>,
}

/// The last coordinator that was heard.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Heard {
    /// When.
    pub(crate) at: Millis,
    /// The highest term that was heard.
    pub(crate) term: u64,
}

impl Agent {
    /// Makes the agent beside the engine at `engine`.
    pub(crate) fn new(clock: Clock, engines: Arc<dyn EngineApi>, engine: SocketAddr) -> Self {
        Self {
            clock,
            engines,
            engine,
            heard: Mutex::default(),
        }
    }

    fn heard_mut(&self) -> MutexGuard<'_, Heard> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the last coordinator that was heard.
    pub(crate) fn heard(&self) -> Heard {
        *self.heard_mut()
    }

    /// Answers a call.
    pub(crate) async fn answer(&self, call: Call) -> Reply {
        match call {
            Call::Look { term, scope } => {
                self.note(term);
                match self.view(scope).await {
                    Some(view) => Reply::View(Box::new(view)),
                    None => Reply::Silent,
                }
            }
            Call::Order(order) => {
                self.note(order.term);
                match self.order(&order).await {
                    Some(reply) => Reply::Order(reply),
                    None => Reply::Silent,
                }
            }
        }
    }

    fn note(&self, term: u64) {
        let now = self.clock.now();
        let mut heard = self.heard_mut();
        if term >= heard.term {
            *heard = Heard { at: now, term };
        }
    }

    /// Looks at the engine.
    pub(crate) async fn view(&self, scope: Scope) -> Option<View> {
        let report = within(QUESTION_MAX, self.engines.report(self.engine)).await?;
        let counts = match scope.counts {
            true => within(QUESTION_MAX, self.engines.counts(self.engine)).await,
            false => None,
        };
        let experts = match scope.experts {
            true => within(QUESTION_MAX, self.engines.experts(self.engine)).await,
            false => None,
        };
        Some(View {
            report,
            counts,
            experts,
        })
    }

    /// Gives the engine an order.
    pub(crate) async fn order(&self, order: &EngineOrder) -> Option<OrderReply> {
        let reply = within(ORDER_MAX, self.engines.order(self.engine, order)).await;
        let label = reply.map_or("no_answer", OrderReply::label);
        metrics::counter!("sardinepin_rank_orders_total", "action" => order.action.label(), "reply" => label)
            .increment(1);
        log::debug!(
            event = "order", action = order.action.label(), reply = label, term = order.term,
            epoch = order.epoch;
            "order given to the engine"
        );
        reply
    }
}

/// Waits for an engine's answer, but not for long.
async fn within<T, E: std::fmt::Display>(
    limit: Millis,
    call: impl Future<Output = Result<T, E>>,
) -> Option<T> {
    match tokio::time::timeout(limit.duration(), call).await {
        Ok(Ok(answer)) => Some(answer),
        Ok(Err(error)) => {
            log::debug!(event = "engine_silent", error:% = error; "the engine gave no answer");
            None
        }
        Err(_) => None,
    }
}
