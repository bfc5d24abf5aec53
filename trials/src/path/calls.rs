//! Sends calls at a steady rate, alternately through an entry and directly to the same stand-in.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use hdrhistogram::Histogram;
use hyper::Method;
use rand::Rng as _;
use sardinepin_common::{Clock, Millis, Rng};
use sardinepin_protocol::Digest;
use sardinepin_standins::http::{FullResponse, HttpClient};
use sardinepin_standins::plain::Echo;
use tokio::task::JoinSet;

use super::Options;

/// The significant decimal digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 3;

/// The exclusive limit on the padding of a body, in bytes.
const PADDING_BYTES_MAX: usize = 512;

/// The path of the calls.
const PATH: &str = "/status";

/// The unmeasured calls on each path at the start, which establish links and connections.
const WARM_UP_CALLS: u64 = 200;

/// Outcomes of the calls through an entry, and latencies of the calls on both paths.
#[derive(Debug)]
pub(super) struct CallStats {
    pub(super) sent: u64,
    pub(super) answered: u64,
    pub(super) not_run: u64,
    pub(super) unknown: u64,
    /// Successful answers on either path whose content is wrong.
    pub(super) wrong: u64,
    /// Latencies of calls through an entry, in microseconds.
    pub(super) via_entry: Histogram<u64>,
    /// Latencies of direct calls, in microseconds.
    pub(super) direct: Histogram<u64>,
}

/// A call on one of the two paths.
#[derive(Debug)]
struct Call {
    client: HttpClient,
    to: SocketAddr,
    via_entry: bool,
    measured: bool,
    organisation: String,
    body: Bytes,
}

/// Sends pairs of calls for `options.seconds` after the warm-up, and returns their outcomes and
/// latencies.
pub(super) async fn send_paced(
    options: &Options,
    clock: &Clock,
    entries: &[SocketAddr],
    direct: SocketAddr,
    mut rng: Rng,
) -> CallStats {
    let stats = Arc::new(Mutex::new(CallStats::new()));
    // The two paths share no connections.
    let (entry_client, direct_client) = (HttpClient::default(), HttpClient::default());
    let total = WARM_UP_CALLS + options.rate * options.seconds;
    let start = clock.now_micros();
    let mut tasks = JoinSet::new();
    for number in 0..total {
        let due = start + number * 1_000_000 / options.rate;
        wait_until(clock, due).await;
        let entry = entries[rng.random_range(0..entries.len())];
        let pair = [(entry, true), (direct, false)];
        for (to, via_entry) in pair {
            let client = if via_entry {
                &entry_client
            } else {
                &direct_client
            };
            let call = Call {
                client: client.clone(),
                to,
                via_entry,
                measured: number >= WARM_UP_CALLS,
                organisation: format!("o{}", rng.random_range(0..10)),
                body: body(number, &mut rng),
            };
            tasks.spawn(send(call, *clock, Arc::clone(&stats)));
            // The direct call of a pair is sent half an interval later, so that neither path delays
            // the other.
            let direct_due = clock.now_micros().max(due) + 500_000 / options.rate;
            if via_entry {
                wait_until(clock, direct_due).await;
            }
        }
        while tasks.try_join_next().is_some() {}
    }
    tasks.join_all().await;
    let mut stats = stats.lock().unwrap_or_else(PoisonError::into_inner);
    std::mem::replace(&mut *stats, CallStats::new())
}

async fn wait_until(clock: &Clock, due: u64) {
    let remaining = due.saturating_sub(clock.now_micros());
    tokio::time::sleep(Millis(remaining / 1_000).duration()).await;
}

fn body(number: u64, rng: &mut Rng) -> Bytes {
    let padding = "x".repeat(rng.random_range(0..PADDING_BYTES_MAX));
    format!("{number} {padding}").into()
}

async fn send(call: Call, clock: Clock, stats: Arc<Mutex<CallStats>>) {
    let headers = [("x-organisation", call.organisation.as_str())];
    let began = clock.now_micros();
    let sending = call
        .client
        .request(Method::POST, call.to, PATH, &headers, call.body.clone());
    let answer = sending.await;
    let latency = clock.now_micros() - began;
    let mut stats = stats.lock().unwrap_or_else(PoisonError::into_inner);
    stats.record(&call, answer.ok().as_ref(), latency);
}

impl CallStats {
    fn new() -> Self {
        let new_histogram = || {
            Histogram::new(HISTOGRAM_DIGITS).expect("the histogram takes three significant digits")
        };
        Self {
            sent: 0,
            answered: 0,
            not_run: 0,
            unknown: 0,
            wrong: 0,
            via_entry: new_histogram(),
            direct: new_histogram(),
        }
    }

    fn record(&mut self, call: &Call, answer: Option<&FullResponse>, latency: u64) {
        if call.via_entry {
            self.sent += 1;
            *match answer.map(|answer| answer.header("x-sardinepin-outcome")) {
                Some("answered") => &mut self.answered,
                Some("not_run") => &mut self.not_run,
                _ => &mut self.unknown,
            } += 1;
        }
        let Some(answer) = answer.filter(|answer| answer.status.is_success()) else {
            return;
        };
        self.wrong += u64::from(!is_correct(call, answer));
        if call.measured {
            let histogram = if call.via_entry {
                &mut self.via_entry
            } else {
                &mut self.direct
            };
            histogram.saturating_record(latency);
        }
    }
}

/// Returns whether an answer echoes its own call completely.
fn is_correct(call: &Call, answer: &FullResponse) -> bool {
    answer.json::<Echo>().is_ok_and(|echo| {
        echo.organisation == call.organisation
            && echo.path == PATH
            && echo.digest == Digest::of(&[&call.body]).to_string()
    })
}
