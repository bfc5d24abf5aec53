//! The stand-in for a model engine: it batches requests in steps and computes tokens that a client
//! can check.

mod batch;
mod cache;
mod chat;
mod faults;
mod load_history;
mod lock_step;
mod map_switch;
mod orders;
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
pub use faults::{Faults, ForeignAnswer};
pub use lock_step::RankPeers;
pub use map_switch::{FencedOrder, StepRange};
pub use settings::Settings;

use crate::http::{Handler, HandlerResult, json_response, text_response};
use crate::pause::pause;
use crate::query::{percent_decode, query_parameter};
use batch::{Batch, Job};
use cache::PrefixCache;
use chat::ChatRequest;
use load_history::LoadHistory;
use lock_step::LockStep;
use map_switch::MapSwitch;

/// What the engine has done since its start.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// How often each request started to run, by request identifier.
    pub runs: Map<String, u64>,
    /// Requests whose tokens were all computed.
    pub finished: u64,
    /// Requests that were cancelled or whose connection was closed or broken.
    pub cancelled: u64,
    /// Tokens that were computed and sent.
    pub tokens: u64,
    /// Steps that started.
    pub steps: u64,
    /// Orders that arrived, including held ones.
    pub orders: u64,
    /// Orders that are held at present.
    pub held_orders: u64,
}

/// A model engine, alone or as a rank of a group.
#[derive(Debug)]
pub struct Engine {
    clock: Clock,
    settings: Settings,
    faults: watch::Sender<Faults>,
    /// Notified of new requests and orders.
    wake: Notify,
    /// Synchronises steps with the other ranks; `None` outside a group.
    lock_step: Option<Arc<LockStep>>,
    state: Mutex<EngineState>,
}

#[derive(Debug)]
struct EngineState {
    batch: Batch,
    cache: PrefixCache,
    load_history: LoadHistory,
    switch: MapSwitch,
    counts: Counts,
}

impl Engine {
    /// Starts an engine, which steps until the runtime shuts down.
    ///
    /// # Errors
    ///
    /// Fails if a rank of a group cannot open its socket.
    pub async fn start(settings: Settings) -> io::Result<Arc<Self>> {
        let lock_step = match settings.ranked {
            true => Some(LockStep::start().await?),
            false => None,
        };
        let state = EngineState {
            batch: Batch::default(),
            cache: PrefixCache::new(settings.cache_entries),
            load_history: LoadHistory::default(),
            switch: MapSwitch::new(settings.fencing, settings.gate_file.clone()),
            counts: Counts::default(),
        };
        let engine = Arc::new(Self {
            clock: Clock::start(),
            settings,
            faults: watch::Sender::new(Faults::default()),
            wake: Notify::new(),
            lock_step,
            state: Mutex::new(state),
        });
        engine.resume_loading();
        tokio::spawn(stepper::run(Arc::clone(&engine)));
        Ok(engine)
    }

    /// Returns the UDP address where a rank receives the announcements of the other ranks, or
    /// `None` outside a group.
    #[must_use]
    pub fn rank_address(&self) -> Option<SocketAddr> {
        self.lock_step.as_ref()?.address().ok()
    }

    fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn chat_completion(&self, request: &Request<Bytes>) -> HandlerResult {
        let foreign = self.faults.borrow().foreign;
        if let Some(foreign) = foreign {
            return foreign.response();
        }
        let chat = match ChatRequest::parse(request) {
            Ok(chat) => chat,
            Err(error) => return text_response(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let delay = self.faults.borrow().delay_ms;
        pause(Millis(delay)).await;
        let (sender, tokens) = mpsc::unbounded_channel();
        if chat.offset < chat.tokens {
            self.enqueue(Job::new(&chat, request.body().clone(), sender));
        }
        if chat.stream {
            chat::stream_completion(chat, tokens)
        } else {
            chat::full_completion(chat, tokens).await
        }
    }

    fn enqueue(&self, mut job: Job) {
        let now = self.clock.now();
        let mut state = self.state();
        let cached = state.cache.touch(now, job.prefix);
        job.prefill_micros = self.settings.prefill_micros(job.body.len(), cached);
        state.batch.enqueue(job);
        self.wake.notify_one();
    }

    fn cancel(&self, id: &str) -> HandlerResult {
        let mut state = self.state();
        let cancelled = state.batch.cancel(id);
        state.counts.cancelled += cancelled;
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
        let after = query_parameter(request.uri(), "after")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let faults = self.faults.borrow();
        let until = self.clock.now().since(Millis(faults.cache_lag_ms));
        let events = self.state().cache.events(after, until, faults.cache_gap);
        json_response(StatusCode::OK, &events)
    }

    fn load(&self) -> HandlerResult {
        let lag = Millis(self.faults.borrow().load_lag_ms);
        let now = self.clock.now();
        json_response(
            StatusCode::OK,
            &self.state().load_history.report_at(now, lag),
        )
    }
}

impl Handler for Engine {
    fn handle(self: Arc<Self>, request: Request<Bytes>) -> BoxFuture<'static, HandlerResult> {
        Box::pin(async move {
            let path = request.uri().path();
            match (request.method().as_str(), path) {
                ("POST", "/v1/chat/completions") => self.chat_completion(&request).await,
                ("GET", "/load") => self.load(),
                ("GET", "/cache-events") => self.cache_events(&request),
                ("GET", "/counts") => json_response(StatusCode::OK, &self.state().counts),
                ("GET", "/steps") => json_response(StatusCode::OK, &self.state().switch.ranges()),
                ("GET", "/ranks/state") => self.rank_state(),
                ("POST", "/ranks/peers") => self.set_peers(request.body()),
                ("POST", "/orders") => self.order(request.body()).await,
                ("POST", "/faults") => self.set_faults(request.body()),
                ("POST", "/release") => self.release(),
                ("POST", path) if path.starts_with("/cancel/") => {
                    self.cancel(&percent_decode(&path["/cancel/".len()..]))
                }
                _ => text_response(StatusCode::NOT_FOUND, "no such path"),
            }
        })
    }
}
