//! The agent of one engine: replies to coordinators and records which one was heard last.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sardinepin_common::{Clock, Millis};

use crate::engine::{EngineApi, EngineOrder, EngineReply};
use crate::messages::{Call, EngineView, Reply, ViewScope};

/// The timeout of a query to the engine.
const QUERY_TIMEOUT: Millis = Millis(200);

/// The timeout of an order to the engine; shorter than that of a query, because a step may be held
/// meanwhile.
const ORDER_TIMEOUT: Millis = Millis(40);

/// The agent on the same instance as one engine.
#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) clock: Clock,
    engines: Arc<dyn EngineApi>,
    engine: SocketAddr,
    last_coordinator: Mutex<LastCoordinator>,
}

/// The last coordinator heard.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LastCoordinator {
    /// When it was heard; zero if none has been.
    pub(crate) at: Millis,
    /// The highest term heard; 0 if no coordinator has been heard.
    pub(crate) term: u64,
}

impl Agent {
    /// Returns the agent of the engine at `engine`.
    pub(crate) fn new(clock: Clock, engines: Arc<dyn EngineApi>, engine: SocketAddr) -> Self {
        Self {
            clock,
            engines,
            engine,
            last_coordinator: Mutex::default(),
        }
    }

    fn last_coordinator_mut(&self) -> MutexGuard<'_, LastCoordinator> {
        self.last_coordinator
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the last coordinator heard.
    pub(crate) fn last_coordinator(&self) -> LastCoordinator {
        *self.last_coordinator_mut()
    }

    /// Handles a coordinator's call and returns the reply.
    pub(crate) async fn handle_call(&self, call: Call) -> Reply {
        match call {
            Call::Look { term, scope } => {
                self.record_coordinator(term);
                match self.view(scope).await {
                    Some(view) => Reply::View(Box::new(view)),
                    None => Reply::Silent,
                }
            }
            Call::Order(order) => {
                self.record_coordinator(order.term);
                match self.order(&order).await {
                    Some(reply) => Reply::Order(reply),
                    None => Reply::Silent,
                }
            }
        }
    }

    fn record_coordinator(&self, term: u64) {
        let now = self.clock.now();
        let mut heard = self.last_coordinator_mut();
        if term >= heard.term {
            *heard = LastCoordinator { at: now, term };
        }
    }

    /// Queries the engine; returns `None` if it does not report in time.
    pub(crate) async fn view(&self, scope: ViewScope) -> Option<EngineView> {
        let report = with_timeout(QUERY_TIMEOUT, self.engines.report(self.engine)).await?;
        let counts = match scope.counts {
            true => with_timeout(QUERY_TIMEOUT, self.engines.counts(self.engine)).await,
            false => None,
        };
        let experts = match scope.experts {
            true => with_timeout(QUERY_TIMEOUT, self.engines.experts(self.engine)).await,
            false => None,
        };
        Some(EngineView {
            report,
            counts,
            experts,
        })
    }

    /// Sends an order to the engine; `None` means that it may or may not be carried out.
    pub(crate) async fn order(&self, order: &EngineOrder) -> Option<EngineReply> {
        let reply = with_timeout(ORDER_TIMEOUT, self.engines.order(self.engine, order)).await;
        let label = reply.map_or("no_answer", EngineReply::label);
        metrics::counter!("sardinepin_rank_orders_total", "action" => order.action.label(), "reply" => label)
            .increment(1);
        log::debug!(
            event = "order", action = order.action.label(), reply = label, term = order.term,
            epoch = order.epoch;
            "order sent to the engine"
        );
        reply
    }
}

/// Waits for the result of a call to an engine; returns `None` after `limit` or an error.
async fn with_timeout<T, E: std::fmt::Display>(
    limit: Millis,
    call: impl Future<Output = Result<T, E>>,
) -> Option<T> {
    match tokio::time::timeout(limit.duration(), call).await {
        Ok(Ok(result)) => Some(result),
        Ok(Err(error)) => {
            log::debug!(event = "engine_silent", error:% = error; "the engine did not respond");
            None
        }
        Err(_) => None,
    }
}
