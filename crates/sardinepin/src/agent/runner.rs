//! Brings an attempt to its beginning, runs it at the upstream and takes in the answer.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sardinepin_common::{AttemptId, Millis};
use sardinepin_decisions::{AttemptEvent, CachedAnswer};
use sardinepin_protocol::{Attempt, ErrorKind, HeaderField};
use tokio::time::timeout;

use crate::agent::answer::AnswerEnd;
use crate::agent::claims;
use crate::agent::state::{Agent, SharedAgent};
use crate::agent::upstream::{CallError, answer_headers};

/// How a call at the upstream ended.
enum CallEnd {
    /// It did not reach the upstream.
    NotRun,
    /// The whole answer came; it is kept if it is small enough.
    Whole(Option<CachedAnswer>),
    /// The answer broke off.
    Broken,
}

/// Runs one attempt to its end, within the time that its caller gave it.
pub(crate) async fn run(agent: SharedAgent, attempt: Box<Attempt>) {
    let id = attempt.id;
    let Some(stop) = agent.with_answer(id, |answer| answer.stop()) else {
        return;
    };
    log::debug!(
        event = "attempt", request = attempt.request.as_str(), attempt:% = id;
        "an attempt has come"
    );
    let budget = Millis(u64::from(attempt.budget_ms));
    let is_keyed = attempt.key.is_some();
    let work = async {
        if !is_keyed {
            return steps(&agent, &attempt).await;
        }
        // A claimed call runs on when its caller has gone, so that a repeat gets its answer.
        let shared = Arc::clone(&agent);
        let detached = tokio::spawn(async move { steps(&shared, &attempt).await });
        let _ = detached.await;
    };
    let ended = timeout(budget.duration(), stop.run_until_cancelled(work)).await;
    if ended.is_err() {
        give_up(&agent, id, ErrorKind::DeadlinePassed);
    } else if stop.is_cancelled() {
        give_up(&agent, id, ErrorKind::HungUp);
    }
}

/// Ends an attempt that was stopped, as refused if it had not begun.
fn give_up(agent: &Agent, id: AttemptId, kind: ErrorKind) {
    if agent.refuse(id, ErrorKind::TooLate) {
        return;
    }
    agent.end(id, AttemptEvent::Break(kind), AnswerEnd::Broken(kind));
}

async fn steps(agent: &Agent, attempt: &Attempt) {
    let id = attempt.id;
    let Some(waiting) = agent.gauge.try_wait(agent.settings.agent.queue_max) else {
        agent.refuse(id, ErrorKind::Busy);
        return;
    };
    let Some(_slot) = agent.slots.acquire(attempt.priority).await else {
        return;
    };
    drop(waiting);
    let _running = agent.gauge.run();
    match &attempt.key {
        None if agent.begin(id) => {
            call(agent, attempt, 0).await;
        }
        None => {}
        Some(key) => {
            if let Some(permit) = claims::obtain(agent, attempt, key).await {
                let may_run = permit.begun || agent.begin(id);
                let keep_max = agent.settings.agent.answer_max;
                let end = match may_run {
                    true => call(agent, attempt, keep_max).await,
                    false => CallEnd::NotRun,
                };
                match end {
                    CallEnd::NotRun => claims::not_run(agent, key),
                    CallEnd::Whole(kept) => {
                        claims::finished(agent, attempt, key, permit, kept).await
                    }
                    CallEnd::Broken => claims::finished(agent, attempt, key, permit, None).await,
                }
            }
        }
    }
}

/// Makes the call, and keeps an answer of up to `keep_max` bytes.
async fn call(agent: &Agent, attempt: &Attempt, keep_max: usize) -> CallEnd {
    let id = attempt.id;
    let (event, end) = match agent.upstream.call(attempt).await {
        Ok(response) => {
            let status = response.status().as_u16();
            let headers = answer_headers(&response);
            agent.with_answer(id, |answer| answer.put_head(status, headers.clone()));
            return take_in(
                agent,
                id,
                response.into_body(),
                Keeper::new(status, headers, keep_max),
            )
            .await;
        }
        Err(CallError::Broke(kind)) => {
            agent.end(id, AttemptEvent::Break(kind), AnswerEnd::Broken(kind));
            return CallEnd::Broken;
        }
        Err(CallError::Unreached) => (
            AttemptEvent::Unreached,
            AnswerEnd::Refused(ErrorKind::Unreachable),
        ),
        Err(CallError::Malformed) => (
            AttemptEvent::Unreached,
            AnswerEnd::Refused(ErrorKind::BadRequest),
        ),
    };
    agent.end(id, event, end);
    CallEnd::NotRun
}

async fn take_in(agent: &Agent, id: AttemptId, mut body: Incoming, mut keeper: Keeper) -> CallEnd {
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            let kind = agent.upstream.broke().await;
            agent.end(id, AttemptEvent::Break(kind), AnswerEnd::Broken(kind));
            return CallEnd::Broken;
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        keeper.take(&data);
        await_room(agent, id).await;
        agent.with_answer(id, |answer| answer.put_chunk(data));
    }
    agent.end(id, AttemptEvent::Finish, AnswerEnd::Whole);
    CallEnd::Whole(keeper.finish())
}

/// Waits until the entry has acknowledged enough for one more chunk.
async fn await_room(agent: &Agent, id: AttemptId) {
    let window = agent.settings.agent.window;
    loop {
        let full = agent.with_answer(id, |answer| answer.is_full(window).then(|| answer.room()));
        match full.flatten() {
            Some(room) => room.notified().await,
            None => return,
        }
    }
}

/// Keeps an answer for repeats, as long as it stays within its bound.
struct Keeper {
    status: u16,
    headers: Vec<HeaderField>,
    body: Option<BytesMut>,
    max: usize,
}

impl Keeper {
    fn new(status: u16, headers: Vec<HeaderField>, max: usize) -> Self {
        let body = (max > 0).then(BytesMut::new);
        Self {
            status,
            headers,
            body,
            max,
        }
    }

    fn take(&mut self, data: &Bytes) {
        let fits = |body: &BytesMut| body.len() + data.len() <= self.max;
        self.body = self.body.take().filter(fits);
        if let Some(body) = &mut self.body {
            body.extend_from_slice(data);
        }
    }

    fn finish(self) -> Option<CachedAnswer> {
        Some(CachedAnswer {
            status: self.status,
            headers: self.headers,
            body: self.body?.freeze(),
        })
    }
}
