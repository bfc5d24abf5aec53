//! Which gateways get new connections, as the balancer of the users' platform decides.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use hyper::Method;
use sardinepin_common::Millis;
use sardinepin_standins::http::HttpClient;

/// The interval between two questions for readiness.
const QUESTION_INTERVAL: Millis = Millis(1_000);

/// After how many questions in a row without a 200 a gateway gets no new connections.
const MISSES_MAX: u32 = 2;

/// The gateways that get new connections.
#[derive(Debug, Clone)]
pub(super) struct Rotation {
    all: Arc<Vec<SocketAddr>>,
    usable: Arc<Mutex<Vec<bool>>>,
}

impl Rotation {
    /// Returns the gateway of a caller, other than `except` if there is another one.
    pub(super) fn pick(&self, hash: u64, except: Option<SocketAddr>) -> SocketAddr {
        let usable = self.usable.lock().unwrap_or_else(PoisonError::into_inner);
        let candidates: Vec<SocketAddr> = self
            .all
            .iter()
            .zip(usable.iter())
            .filter(|(address, usable)| **usable && Some(**address) != except)
            .map(|(address, _)| *address)
            .collect();
        let candidates = match candidates.is_empty() {
            true => &self.all[..],
            false => &candidates,
        };
        candidates[usize::try_from(hash % candidates.len() as u64).unwrap_or_default()]
    }
}

/// Starts to ask gateways, given by their addresses for callers and for readiness.
pub(super) fn start(gateways: Vec<(SocketAddr, SocketAddr)>) -> Rotation {
    let rotation = Rotation {
        all: Arc::new(gateways.iter().map(|(front, _)| *front).collect()),
        usable: Arc::new(Mutex::new(vec![true; gateways.len()])),
    };
    for (number, (_, ready)) in gateways.into_iter().enumerate() {
        tokio::spawn(ask(rotation.clone(), number, ready));
    }
    rotation
}

async fn ask(rotation: Rotation, number: usize, ready: SocketAddr) {
    let client = HttpClient::default();
    let mut misses = 0;
    let mut questions = tokio::time::interval(QUESTION_INTERVAL.duration());
    loop {
        questions.tick().await;
        let call = client.request(Method::GET, ready, "/readiness", &[], Bytes::new());
        let answer = tokio::time::timeout(QUESTION_INTERVAL.duration(), call).await;
        let is_ready = matches!(answer, Ok(Ok(answer)) if answer.status.is_success());
        misses = if is_ready { 0 } else { misses + 1 };
        let mut usable = rotation
            .usable
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        usable[number] = misses < MISSES_MAX;
    }
}
