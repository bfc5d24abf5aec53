//! A model engine that advances in steps and computes tokens that can be checked.

mod batch;
mod cache;
mod chat;
mod faults;
mod lock_step;
mod map_switch;
mod orders;
mod reports;
mod settings;
mod stepper;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use hyper::{Request, StatusCode};
use sardinepin_common::{Clock, Map, Millis};
use sardinepin_store::BoxFuture;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, mpsc, watch};

pub use cache::{CacheEvent, CacheEventKind, CacheEvents};
pub use faults::Faults;
pub use lock_step::RankPeers;
pub use map_switch::{FencedOrder, StepRange};
pub use settings::Settings;

use crate::http::{Handler, HandlerResult, json_response, text_response};
use crate::pause::pause;
use crate::query::{parameter, unescaped};
use batch::{Batch, Job};
use cache::PrefixCache;
use chat::Chat;
use lock_step::LockStep;
use map_switch::MapSwitch;
use reports::Reports;

/// What the engine has done.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that were begun, by request identifier.
    pub runs: Map<String, u64>,
    /// Requests that came to their end.
    pub finished: u64,
    /// Requests that were cancelled or whose connection was closed.
    pub cancelled: u64,
    /// Tokens that were computed.
    pub tokens: u64,
    /// Steps that were begun.
    pub steps: u64,
    /// Orders that have arrived.
    pub orders: u64,
    /// Orders that are held.
    pub held_orders: u64,
}

/// The engine.
#[derive(Debug)]
pub struct Engine {
    clock: Clock,
    settings: Settings,
    faults: watch::Sender<Faults>,
    /// Told of new requests and orders.
    wake: Notify,
    /// The other ranks, if the engine has any.
    lock_step: Option<Arc<LockStep>>,
    core: Mutex<Core>,
}

#[derive(Debug)]
struct Core {
    batch: Batch,
    cache: PrefixCache,
    reports: Reports,
    switch: MapSwitch,
    counts: Counts,
}

impl Engine {
    /// Starts an engine, whose steps go on until the runtime ends.
    ///
    /// # Errors
    ///
    /// Fails if a rank of a group cannot open its socket.
    pub async fn start(settings: Settings) -> io::Result<Arc<Self>> {
        let lock_step = match settings.ranked {
            true => Some(LockStep::start().await?),
            false => None,
        };
        let core = Core {
            batch: Batch::default(),
            cache: PrefixCache::new(settings.cache_entries),
            reports: Reports::default(),
            switch: MapSwitch::new(settings.fencing, settings.gate_file.clone()),
            counts: Counts::default(),
        };
        let engine = Arc::new(Self {
            clock: Clock::start(),
            settings,
            faults: watch::Sender::new(Faults::default()),
            wake: Notify::new(),
            lock_step,
            core: Mutex::new(core),
        });
        engine.resume_loading();
        tokio::spawn(stepper::run(Arc::clone(&engine)));
        Ok(engine)
    }

    /// Returns where a rank of a group announces its steps.
    #[must_use]
    pub fn rank_address(&self) -> Option<SocketAddr> {
        self.lock_step.as_ref()?.address().ok()
    }

    fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn complete(&self, request: &Request<Bytes>) -> HandlerResult {
        let chat = match Chat::parse(request) {
            Ok(chat) => chat,
            Err(error) => return text_response(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let delay = self.faults.borrow().delay_ms;
        pause(Millis(delay)).await;
        let (out, tokens) = mpsc::unbounded_channel();
        if chat.offset < chat.tokens {
            self.enqueue(Job::new(&chat, request.body().clone(), out));
        }
        if chat.stream {
            chat::streamed(chat, tokens)
        } else {
            chat::whole(chat, tokens).await
        }
    }

    fn enqueue(&self, mut job: Job) {
        let now = self.clock.now();
        let mut core = self.core();
        let cached = core.cache.touch(now, job.prefix);
        job.prefill = self.settings.prefill_micros(job.body.len(), cached);
        core.batch.enqueue(job);
        self.wake.notify_one();
    }

    fn cancel(&self, id: &str) -> HandlerResult {
        let mut core = self.core();
        let cancelled = core.batch.cancel(id);
        core.counts.cancelled += cancelled;
        json_response(StatusCode::OK, &cancelled)
    }

    fn set_faults(&self, body: &[u8]) -> HandlerResult {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                self.faults.send_replace(faults);
                json_response(StatusCode::OK, &*self.faults.borrow())
            }
            Err(error) => text_response(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    fn release(&self) -> HandlerResult {
        self.faults.send_modify(|faults| {
            faults.stall = false;
            faults.hold_orders = false;
        });
        json_response(StatusCode::OK, &*self.faults.borrow())
    }

    fn cache_events(&self, request: &Request<Bytes>) -> HandlerResult {
        let after = parameter(request.uri(), "after")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let faults = self.faults.borrow();
        let until = self.clock.now().since(Millis(faults.cache_lag_ms));
        let events = self.core().cache.events(after, until, faults.cache_gap);
        json_response(StatusCode::OK, &events)
    }

    fn load(&self) -> HandlerResult {
        let lag = Millis(self.faults.borrow().load_lag_ms);
        let now = self.clock.now();
        json_response(StatusCode::OK, &self.core().reports.at(now, lag))
    }
}

impl Handler for Engine {
    fn handle(self: Arc<Self>, request: Request<Bytes>) -> BoxFuture<'static, HandlerResult> {
        Box::pin(async move {
            let path = request.uri().path();
            match (request.method().as_str(), path) {
                ("POST", "/v1/chat/completions") => self.complete(&request).await,
                ("GET", "/load") => self.load(),
                ("GET", "/cache-events") => self.cache_events(&request),
                ("GET", "/counts") => json_response(StatusCode::OK, &self.core().counts),
                ("GET", "/steps") => json_response(StatusCode::OK, &self.core().switch.ranges()),
                ("GET", "/ranks/state") => self.rank_state(),
                ("POST", "/ranks/peers") => self.set_peers(request.body()),
                ("POST", "/orders") => self.order(request.body()).await,
                ("POST", "/faults") => self.set_faults(request.body()),
                ("POST", "/release") => self.release(),
                ("POST", path) if path.starts_with("/cancel/") => {
                    self.cancel(&unescaped(&path["/cancel/".len()..]))
                }
                _ => text_response(StatusCode::NOT_FOUND, "no such path"),
            }
        })
    }
}
