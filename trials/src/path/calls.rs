//! Calls at a steady rate, in turn through the system and directly to the same stand-in.

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

use super::Plan;

/// The significant digits of the histograms.
const DIGITS: u8 = 3;

/// The most padding of a body, in bytes.
const PADDING_MAX: usize = 512;

/// The path of the calls.
const PATH: &str = "/status";

/// Calls each way before any is measured, so that links and connections stand.
const WARM_CALLS: u64 = 200;

/// What was seen of the calls through the system, and how long those of either way took.
#[derive(Debug)]
pub(super) struct Seen {
    pub(super) sent: u64,
    pub(super) answered: u64,
    pub(super) not_run: u64,
    pub(super) unknown: u64,
    pub(super) wrong: u64,
    /// In microseconds.
    pub(super) through: Histogram<u64>,
    /// In microseconds.
    pub(super) direct: Histogram<u64>,
}

/// One call.
#[derive(Debug)]
struct Call {
    caller: HttpClient,
    to: SocketAddr,
    through: bool,
    measured: bool,
    organisation: String,
    body: Bytes,
}

/// Sends calls for the seconds of the plan and returns what was seen.
pub(super) async fn pace(
    plan: &Plan,
    clock: &Clock,
    entries: &[SocketAddr],
    direct: SocketAddr,
    mut rng: Rng,
) -> Seen {
    let seen = Arc::new(Mutex::new(Seen::new()));
    // Connections are not shared between the two ways.
    let (way, straight) = (HttpClient::default(), HttpClient::default());
    let total = WARM_CALLS + plan.rate * plan.seconds;
    let start = clock.now_micros();
    let mut open = JoinSet::new();
    for number in 0..total {
        let due = start + number * 1_000_000 / plan.rate;
        wait_until(clock, due).await;
        let entry = entries[rng.random_range(0..entries.len())];
        let pair = [(entry, true), (direct, false)];
        for (to, through) in pair {
            let caller = if through { &way } else { &straight };
            let call = Call {
                caller: caller.clone(),
                to,
                through,
                measured: number >= WARM_CALLS,
                organisation: format!("o{}", rng.random_range(0..10)),
                body: body(number, &mut rng),
            };
            open.spawn(send(call, *clock, Arc::clone(&seen)));
            // The second of a pair comes half a turn later, so that neither way delays the other.
            let half = clock.now_micros().max(due) + 500_000 / plan.rate;
            if through {
                wait_until(clock, half).await;
            }
        }
        while open.try_join_next().is_some() {}
    }
    open.join_all().await;
    let mut seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
    std::mem::replace(&mut *seen, Seen::new())
}

async fn wait_until(clock: &Clock, due: u64) {
    let left = due.saturating_sub(clock.now_micros());
    tokio::time::sleep(Millis(left / 1_000).duration()).await;
}

fn body(number: u64, rng: &mut Rng) -> Bytes {
    let padding = "x".repeat(rng.random_range(0..PADDING_MAX));
    format!("{number} {padding}").into()
}

async fn send(call: Call, clock: Clock, seen: Arc<Mutex<Seen>>) {
    let headers = [("x-organisation", call.organisation.as_str())];
    let began = clock.now_micros();
    let sending = call
        .caller
        .request(Method::POST, call.to, PATH, &headers, call.body.clone());
    let answer = sending.await;
    let took = clock.now_micros() - began;
    let mut seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
    seen.take(&call, answer.ok().as_ref(), took);
}

impl Seen {
    fn new() -> Self {
        let empty = || Histogram::new(DIGITS).expect("a histogram of three digits");
        Self {
            sent: 0,
            answered: 0,
            not_run: 0,
            unknown: 0,
            wrong: 0,
            through: empty(),
            direct: empty(),
        }
    }

    fn take(&mut self, call: &Call, answer: Option<&FullResponse>, took: u64) {
        if call.through {
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
        self.wrong += u64::from(!is_own(call, answer));
        if call.measured {
            let times = if call.through {
                &mut self.through
            } else {
                &mut self.direct
            };
            times.saturating_record(took);
        }
    }
}

/// Returns whether an answer is whole and that of its call.
fn is_own(call: &Call, answer: &FullResponse) -> bool {
    answer.json::<Echo>().is_ok_and(|echo| {
        echo.organisation == call.organisation
            && echo.path == PATH
            && echo.digest == Digest::of(&[&call.body]).to_string()
    })
}
