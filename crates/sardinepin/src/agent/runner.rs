//! Queues an attempt for a slot, runs it at the upstream and streams the response.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use sardinepin_common::{AttemptId, Millis};
use sardinepin_decisions::{AnswerEnd, AttemptEvent, CachedResponse, EndedAnswer, ProcessState};
use sardinepin_protocol::{Attempt, ErrorKind, HeaderField};
use sardinepin_runtime::HttpConnection;
use tokio::time::timeout;

use crate::agent::claims;
use crate::agent::response::ResponseEnd;
use crate::agent::state::{Agent, SharedAgent};
use crate::agent::upstream::{
    CallError, UpstreamResponse, framing, named_limit, named_rest, response_headers,
};

/// How a call to the upstream ended.
enum CallEnd {
    /// The call did not reach the upstream.
    NotRun,
    /// The response is complete; it is present here if it fits the cache.
    Complete(Option<CachedResponse>),
    /// The response broke off.
    Broken,
}

/// What has to hold when an attempt begins.
#[derive(Debug, Clone, Copy)]
struct Validity {
    /// The end of the attempt's time budget.
    deadline: Millis,
    /// The number of pauses of this process when the attempt arrived.
    pauses: u64,
}

impl Validity {
    /// Returns why the attempt must not begin any more; `None` if it may.
    fn lapse(self, agent: &Agent) -> Option<ErrorKind> {
        if agent.clock.now() >= self.deadline {
            return Some(ErrorKind::TooLate);
        }
        // Its entry may have given it up during a pause, over a link that is gone.
        (agent.pauses.count() != self.pauses).then_some(ErrorKind::Tombstoned)
    }
}

/// Runs one attempt to its end, within the attempt's time budget.
///
/// `pauses` is the number of pauses of this process when the attempt arrived.
pub(crate) async fn run(agent: SharedAgent, attempt: Box<Attempt>, pauses: u64) {
    let id = attempt.id;
    let Some(stop_token) = agent.with_response(id, |response| response.stop_token()) else {
        return;
    };
    log::debug!(
        event = "attempt", request = attempt.request.as_str(), attempt:% = id;
        "attempt admitted"
    );
    let budget = Millis(u64::from(attempt.budget_ms));
    let validity = Validity {
        deadline: agent.clock.now() + budget,
        pauses,
    };
    let is_keyed = attempt.key.is_some();
    let work = async {
        if !is_keyed {
            return run_attempt(&agent, &attempt, validity).await;
        }
        // A keyed call continues after its caller has hung up, so that a repeat gets its response.
        let shared = Arc::clone(&agent);
        let detached = tokio::spawn(async move { run_attempt(&shared, &attempt, validity).await });
        let _ = detached.await;
    };
    let ended = timeout(budget.duration(), stop_token.run_until_cancelled(work)).await;
    if ended.is_err() {
        end_stopped(&agent, id, ErrorKind::DeadlinePassed);
    } else if stop_token.is_cancelled() {
        end_stopped(&agent, id, ErrorKind::HungUp);
    }
}

/// Ends an attempt that was stopped: as refused if it had not begun, as broken off otherwise.
fn end_stopped(agent: &Agent, id: AttemptId, kind: ErrorKind) {
    if agent.refuse(id, ErrorKind::TooLate) {
        return;
    }
    agent.end(id, AttemptEvent::Break(kind), ResponseEnd::Broken(kind));
}

async fn run_attempt(agent: &Agent, attempt: &Attempt, validity: Validity) {
    let id = attempt.id;
    let Some(waiting) = agent.gauge.try_enqueue(agent.settings.agent.queue_max) else {
        agent.refuse(id, ErrorKind::Busy);
        return;
    };
    let Some(_slot) = agent.slots.acquire(attempt.priority).await else {
        return;
    };
    drop(waiting);
    if let Some(kind) = validity.lapse(agent) {
        agent.refuse(id, kind);
        return;
    }
    let _running = agent.gauge.count_running();
    match &attempt.key {
        None => {
            if is_within_limit(agent, id, false) && agent.begin(id) {
                call(agent, attempt, 0).await;
            }
        }
        Some(key) => {
            if let Some(permit) = claims::acquire_permit(agent, attempt, key).await {
                let may_run = is_within_limit(agent, id, permit.begun)
                    && (permit.begun || begin(agent, id, validity));
                let cache_max = agent.settings.agent.answer_max;
                let end = match may_run {
                    true => call(agent, attempt, cache_max).await,
                    false => CallEnd::NotRun,
                };
                match end {
                    CallEnd::NotRun => claims::record_not_run(agent, key),
                    CallEnd::Complete(cached) => {
                        claims::record_result(agent, attempt, key, permit, cached).await
                    }
                    CallEnd::Broken => {
                        claims::record_result(agent, attempt, key, permit, None).await
                    }
                }
            }
        }
    }
}

/// Refuses an attempt if the upstream rests, or the limit that it has named allows no more now; returns whether it is allowed. `begun` tells whether
/// the attempt is marked as begun already.
fn is_within_limit(agent: &Agent, id: AttemptId, begun: bool) -> bool {
    let Err(retry) = agent.take_from_limit() else {
        return true;
    };
    let kind = ErrorKind::UpstreamLimited;
    if begun {
        let end = ResponseEnd::Refused { kind, retry };
        agent.end(id, AttemptEvent::Unreached, end);
    } else {
        agent.refuse_until(id, kind, retry);
    }
    false
}

/// Marks a claimed attempt as begun unless it has lapsed; returns whether it may run.
fn begin(agent: &Agent, id: AttemptId, validity: Validity) -> bool {
    if let Some(kind) = validity.lapse(agent) {
        agent.refuse(id, kind);
        return false;
    }
    agent.begin(id)
}

/// Makes the call, and caches a response whose body has at most `cache_max` bytes.
async fn call(agent: &Agent, attempt: &Attempt, cache_max: usize) -> CallEnd {
    let id = attempt.id;
    let sent_at = agent.clock.now();
    let (event, end) = match agent.upstream.call(attempt).await {
        Ok(UpstreamResponse {
            response,
            connection,
        }) => {
            agent.record_limit(sent_at, named_limit(&response));
            if let Some(time) = named_rest(&response) {
                agent.record_rest(time);
            }
            let status = response.status().as_u16();
            let headers = response_headers(&response);
            let ended = EndedAnswer {
                framing: framing(attempt, &response),
                is_success: response.status().is_success(),
                has_body: false,
            };
            agent.with_response(id, |response| response.set_head(status, headers.clone()));
            return stream_response(
                agent,
                id,
                (response.into_body(), connection),
                ended,
                CachedResponseBuilder::new(status, headers, cache_max),
            )
            .await;
        }
        Err(CallError::Interrupted(kind)) => {
            agent.end(id, AttemptEvent::Break(kind), ResponseEnd::Broken(kind));
            return CallEnd::Broken;
        }
        Err(CallError::Unreachable) => (
            AttemptEvent::Unreached,
            ResponseEnd::refused(ErrorKind::Unreachable),
        ),
        Err(CallError::Malformed) => (
            AttemptEvent::Unreached,
            ResponseEnd::refused(ErrorKind::BadRequest),
        ),
    };
    agent.end(id, event, end);
    CallEnd::NotRun
}

async fn stream_response(
    agent: &Agent,
    id: AttemptId,
    (mut body, connection): (Incoming, HttpConnection),
    mut ended: EndedAnswer,
    mut cached: CachedResponseBuilder,
) -> CallEnd {
    while let Some(frame) = next_frame(&mut body, &connection).await {
        let Ok(frame) = frame else {
            let kind = agent.upstream.classify_interruption().await;
            agent.end(id, AttemptEvent::Break(kind), ResponseEnd::Broken(kind));
            return CallEnd::Broken;
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        ended.has_body |= !data.is_empty();
        cached.push(&data);
        wait_for_window(agent, id).await;
        agent.with_response(id, |response| response.push_chunk(data));
    }
    if let Some(kind) = doubt(agent, ended).await {
        log::info!(event = "response_rejected", attempt:% = id, rule = "whole_answer", fault:% = kind; "nothing vouches for the end of a response without length");
        agent.end(id, AttemptEvent::Break(kind), ResponseEnd::Broken(kind));
        return CallEnd::Broken;
    }
    agent.upstream.keep(connection);
    agent.end(id, AttemptEvent::Finish, ResponseEnd::Complete);
    CallEnd::Complete(cached.build())
}

/// Reads the next piece of a body; fails if too many bytes come without one.
async fn next_frame(
    body: &mut Incoming,
    connection: &HttpConnection,
) -> Option<hyper::Result<Frame<Bytes>>> {
    connection.expect_part();
    body.frame().await
}

/// Returns why a response that has ended may not be whole; `None` if it is.
async fn doubt(agent: &Agent, ended: EndedAnswer) -> Option<ErrorKind> {
    match ended.judge() {
        AnswerEnd::Whole => None,
        AnswerEnd::Doubtful => Some(ErrorKind::UpstreamBroke),
        AnswerEnd::NeedsProcess => match agent.upstream.process_state().await {
            ProcessState::Alive => None,
            ProcessState::Gone => Some(ErrorKind::UpstreamCrashed),
            ProcessState::Unknown => Some(ErrorKind::UpstreamBroke),
        },
    }
}

/// Waits until the window of unacknowledged chunks has room for one more.
async fn wait_for_window(agent: &Agent, id: AttemptId) {
    let window = agent.settings.agent.window;
    loop {
        let full = agent.with_response(id, |response| {
            response
                .is_window_full(window)
                .then(|| response.window_changed())
        });
        match full.flatten() {
            Some(window_changed) => window_changed.notified().await,
            None => return,
        }
    }
}

/// Collects a response for repeats, unless its body exceeds `max` bytes; 0 disables the cache.
struct CachedResponseBuilder {
    status: u16,
    headers: Vec<HeaderField>,
    body: Option<BytesMut>,
    max: usize,
}

impl CachedResponseBuilder {
    fn new(status: u16, headers: Vec<HeaderField>, max: usize) -> Self {
        let body = (max > 0).then(BytesMut::new);
        Self {
            status,
            headers,
            body,
            max,
        }
    }

    fn push(&mut self, data: &Bytes) {
        let fits = |body: &BytesMut| body.len() + data.len() <= self.max;
        self.body = self.body.take().filter(fits);
        if let Some(body) = &mut self.body {
            body.extend_from_slice(data);
        }
    }

    fn build(self) -> Option<CachedResponse> {
        Some(CachedResponse {
            status: self.status,
            headers: self.headers,
            body: self.body?.freeze(),
        })
    }
}
