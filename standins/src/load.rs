//! A load client that checks that every answer belongs to its call, is in order and is complete.

mod answers;
mod calls;
mod events;
mod report;
mod settings;

use std::future::pending;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use anyhow::{Result, ensure};
use futures_util::future::join_all;
use sardinepin_common::{Clock, Millis, seeded_rng};
use sardinepin_protocol::Outcome;

pub use answers::PLATFORM_HOST;
pub use calls::CallKind;
pub use report::{Latency, Report, SendRecord};
pub use settings::{CallMix, Settings};

use crate::http::HttpClient;
use answers::{AnswerError, SendResult};
use calls::{Call, SendMode};
use report::ReportBuilder;

/// The state that all workers of a run share.
#[derive(Debug)]
struct LoadRun {
    settings: Settings,
    client: HttpClient,
    clock: Clock,
    next_number: AtomicU64,
    stop: AtomicBool,
    builder: Mutex<ReportBuilder>,
}

/// Sends calls until a limit of the settings is reached and returns the report.
///
/// # Errors
///
/// Fails if there is no entry, no organisation, no kind of call or no limit.
pub async fn run(settings: Settings) -> Result<Report> {
    let is_limited = settings.requests > 0 || settings.seconds > 0;
    ensure!(
        is_limited,
        "neither the requests nor the seconds are limited"
    );
    run_until(settings, pending()).await
}

/// Sends calls until a limit of the settings is reached or `stop` completes, and returns the
/// report.
///
/// Calls in flight at that time are completed.
///
/// # Errors
///
/// Fails if there is no entry, no organisation or no kind of call.
pub async fn run_until(settings: Settings, stop: impl Future<Output = ()>) -> Result<Report> {
    ensure!(!settings.entries.is_empty(), "no entry is given");
    ensure!(
        !settings.organisations.is_empty(),
        "no organisation is given"
    );
    ensure!(
        settings.mix.total() > 0,
        "the weights of all kinds of calls are zero"
    );
    let run = Arc::new(LoadRun {
        client: HttpClient::default(),
        clock: Clock::start(),
        next_number: AtomicU64::new(0),
        stop: AtomicBool::new(false),
        builder: Mutex::default(),
        settings,
    });
    let workers: Vec<_> = (0..run.settings.concurrency)
        .map(|_| tokio::spawn(run_worker(Arc::clone(&run))))
        .collect();
    let workers_done = join_all(workers);
    tokio::pin!(workers_done);
    let stopped = async {
        stop.await;
        run.stop.store(true, Ordering::Relaxed);
        pending::<()>().await;
    };
    let results = tokio::select! {
        results = &mut workers_done => results,
        () = stopped => Vec::new(),
    };
    for result in results {
        result?;
    }
    let builder = run.builder.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(builder.report(run.clock.now()))
}

async fn run_worker(run: Arc<LoadRun>) {
    let settings = &run.settings;
    let until = Millis(settings.seconds * 1_000);
    while !run.stop.load(Ordering::Relaxed) {
        let number = run.next_number.fetch_add(1, Ordering::Relaxed);
        let is_done = settings.requests > 0 && number >= settings.requests;
        if is_done || until > Millis::ZERO && run.clock.now() >= until {
            return;
        }
        // Each call is drawn from its own number, so a seed always gives the same calls.
        let mut rng = seeded_rng(settings.seed.wrapping_mul(1 << 32) ^ number);
        let call = Call::draw(settings, number, &mut rng);
        let results = match call.mode {
            SendMode::Once => vec![send(&run, &call, 0).await],
            SendMode::Repeated => vec![send(&run, &call, 0).await, send(&run, &call, 1).await],
            SendMode::Concurrent => join_all([send(&run, &call, 0), send(&run, &call, 1)]).await,
        };
        let mut builder = run.builder.lock().unwrap_or_else(PoisonError::into_inner);
        let differ = answers::answers_differ(&results);
        for (copy, result) in results.into_iter().enumerate() {
            let error = result.error.or(differ.then_some(AnswerError::Differs));
            let record = settings.records.then(|| call.record(copy, &result));
            builder.add(&call, &result, error, record);
        }
    }
}

/// Sends one copy of a call and checks its answer, within the time limit.
async fn send(run: &LoadRun, call: &Call, copy: usize) -> SendResult {
    let settings = &run.settings;
    let exchange = answers::send_and_check(run, call, copy);
    let limit = match call.leaves {
        true => settings.leave_ms.min(settings.timeout_ms),
        false => settings.timeout_ms,
    };
    match tokio::time::timeout(Millis(limit).duration(), exchange).await {
        Ok(result) => result,
        Err(_) if call.leaves => SendResult::left(),
        Err(_) => SendResult::with_outcome(Outcome::Unknown, "timeout"),
    }
}
