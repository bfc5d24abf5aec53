//! The stop of a gateway: what it still takes, and when it ends what is left.

use std::sync::{Mutex, MutexGuard, PoisonError};

use sardinepin_common::Millis;
use sardinepin_decisions::{AnswerTimes, RequestTime, StopPlan};
use tokio::sync::watch;

use crate::call::Call;
use crate::gateway::Gateway;
use crate::handler::Attempts;

/// Whether and until when a gateway stops, and how long its answers take.
#[derive(Debug, Default)]
pub(crate) struct Stopping {
    plan: watch::Sender<Option<StopPlan>>,
    times: Mutex<AnswerTimes>,
}

impl Stopping {
    fn times(&self) -> MutexGuard<'_, AnswerTimes> {
        self.times.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn plan(&self) -> Option<StopPlan> {
        *self.plan.borrow()
    }

    /// Waits until the gateway is told to stop.
    async fn wait_for_plan(&self) -> StopPlan {
        let mut plans = self.plan.subscribe();
        loop {
            // The sender lives as long as the gateway, so that the wait cannot fail.
            if let Ok(plan) = plans.wait_for(Option::is_some).await
                && let Some(plan) = *plan
            {
                return plan;
            }
        }
    }
}

impl Gateway {
    /// Begins to stop.
    pub(crate) fn begin_stop(&self, plan: StopPlan) {
        self.stopping.plan.send_replace(Some(plan));
    }

    /// Returns whether this instance is stopping.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.plan().is_some()
    }

    /// Returns the time until this instance ends, if it is stopping.
    pub(crate) fn time_to_end(&self) -> Option<Millis> {
        let plan = self.stopping.plan()?;
        Some(plan.ends_at.since(self.clock.now()))
    }

    /// Records how long a request took that has got its whole answer, since it was given its first upstream.
    pub(crate) fn record_answer_time(&self, call: &Call, attempts: &Attempts) {
        let now = self.clock.now();
        let took = now.since(attempts.first_at.unwrap_or(call.received_at));
        // The rest of a stream says nothing of the pace of whole ones.
        let tokens = call.answer_tokens.filter(|_| !call.is_resumed(&self.names));
        self.stopping
            .times()
            .record(now, &call.route.name, took, tokens);
    }

    fn request_time(&self, call: &Call, now: Millis) -> RequestTime {
        let times = self.stopping.times();
        RequestTime {
            deadline: call.deadline,
            expected: times.expected(now, &call.route.name, call.answer_tokens),
        }
    }

    /// Returns whether a request may be sent to an upstream, as far as a stop of this instance is concerned.
    pub(crate) fn may_begin(&self, call: &Call) -> bool {
        let now = self.clock.now();
        let plan = self.stopping.plan();
        plan.is_none_or(|plan| plan.takes(now, self.request_time(call, now)))
    }

    /// Waits until a request may not be sent to an upstream any more, as this instance stops.
    pub(crate) async fn wait_too_late(&self, call: &Call) {
        let plan = self.stopping.wait_for_plan().await;
        loop {
            let now = self.clock.now();
            let latest = plan.latest_begin(self.request_time(call, now));
            let Some(latest) = latest.filter(|latest| now <= *latest) else {
                return;
            };
            let pause = latest.since(now) + Millis(1);
            tokio::time::sleep(pause.duration()).await;
        }
    }

    /// Waits until whatever still runs is ended with an error, as this instance stops.
    pub(crate) async fn wait_for_cut(&self) {
        let plan = self.stopping.wait_for_plan().await;
        let left = plan.cut_at().since(self.clock.now());
        tokio::time::sleep(left.duration()).await;
    }
}
