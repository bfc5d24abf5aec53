//! Brings an attempt to its beginning, runs it at the upstream and takes in the answer.

use http_body_util::BodyExt;
use hyper::body::Incoming;
use sardinepin_common::{AttemptId, Millis};
use sardinepin_decisions::AttemptEvent;
use sardinepin_protocol::{Attempt, ErrorKind};
use tokio::time::timeout;

use crate::agent::answer::AnswerEnd;
use crate::agent::state::{Agent, SharedAgent};
use crate::agent::upstream::{CallError, answer_headers};

/// Runs one attempt to its end, within the time that its caller gave it.
pub(crate) async fn run(agent: SharedAgent, attempt: Box<Attempt>) {
    let Some(stop) = agent.with_answer(attempt.id, |answer| answer.stop()) else {
        return;
    };
    let budget = Millis(u64::from(attempt.budget_ms));
    let id = attempt.id;
    if timeout(
        budget.duration(),
        stop.run_until_cancelled(steps(&agent, &attempt)),
    )
    .await
    .is_err()
    {
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
    let Ok(_slot) = agent.slots.acquire().await else {
        return;
    };
    drop(waiting);
    let _running = agent.gauge.run();
    if agent.begin(id) {
        call(agent, attempt).await;
    }
}

async fn call(agent: &Agent, attempt: &Attempt) {
    let id = attempt.id;
    match agent.upstream.call(attempt).await {
        Ok(response) => {
            let status = response.status().as_u16();
            let headers = answer_headers(&response);
            agent.with_answer(id, |answer| answer.put_head(status, headers));
            take_in(agent, id, response.into_body()).await;
        }
        Err(CallError::Unreached) => {
            let kind = ErrorKind::Unreachable;
            agent.end(id, AttemptEvent::Unreached, AnswerEnd::Refused(kind));
        }
        Err(CallError::Malformed) => {
            let kind = ErrorKind::BadRequest;
            agent.end(id, AttemptEvent::Unreached, AnswerEnd::Refused(kind));
        }
        Err(CallError::Broke(kind)) => {
            agent.end(id, AttemptEvent::Break(kind), AnswerEnd::Broken(kind));
        }
    }
}

async fn take_in(agent: &Agent, id: AttemptId, mut body: Incoming) {
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            let kind = agent.upstream.broke().await;
            agent.end(id, AttemptEvent::Break(kind), AnswerEnd::Broken(kind));
            return;
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        await_room(agent, id).await;
        agent.with_answer(id, |answer| answer.put_chunk(data));
    }
    agent.end(id, AttemptEvent::Finish, AnswerEnd::Whole);
}

/// Waits until the entry has acknowledged enough for one more chunk.
async fn await_room(agent: &Agent, id: AttemptId) {
    let window = agent.settings.agent.window;
    loop {
        let full = agent.with_answer(id, |answer| {
            (answer.unacknowledged() >= window).then(|| answer.room())
        });
        match full.flatten() {
            Some(room) => room.notified().await,
            None => return,
        }
    }
}
