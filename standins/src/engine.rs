//! A model engine that advances in steps and computes tokens that can be checked.

mod batch;
mod cache;
mod chat;
mod faults;
mod reports;
mod settings;
mod stepper;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use hyper::{Request, StatusCode};
use sardinepin_common::{Clock, Map, Millis};
use sardinepin_platform::BoxFuture;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, mpsc, watch};

pub use cache::{CacheEvent, CacheEvents, CacheKind};
pub use faults::Faults;
pub use settings::Settings;

use crate::http::{Handler, Reply, json, text};
use crate::query::{parameter, unescaped};
use batch::{Batch, Job};
use cache::PrefixCache;
use chat::Chat;
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
}

/// The engine.
#[derive(Debug)]
pub struct Engine {
    clock: Clock,
    settings: Settings,
    faults: watch::Sender<Faults>,
    arrivals: Notify,
    core: Mutex<Core>,
}

#[derive(Debug)]
struct Core {
    batch: Batch,
    cache: PrefixCache,
    reports: Reports,
    counts: Counts,
}

impl Engine {
    /// Starts an engine, whose steps go on until the runtime ends.
    #[must_use]
    pub fn start(settings: Settings) -> Arc<Self> {
        let core = Core {
            batch: Batch::default(),
            cache: PrefixCache::new(settings.cache_entries),
            reports: Reports::default(),
            counts: Counts::default(),
        };
        let engine = Arc::new(Self {
            clock: Clock::start(),
            settings,
            faults: watch::Sender::new(Faults::default()),
            arrivals: Notify::new(),
            core: Mutex::new(core),
        });
        tokio::spawn(stepper::run(Arc::clone(&engine)));
        engine
    }

    fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn complete(&self, request: &Request<Bytes>) -> Reply {
        let chat = match Chat::parse(request) {
            Ok(chat) => chat,
            Err(error) => return text(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let delay = self.faults.borrow().delay_ms;
        tokio::time::sleep(Millis(delay).duration()).await;
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
        self.arrivals.notify_one();
    }

    fn cancel(&self, id: &str) -> Reply {
        let mut core = self.core();
        let cancelled = core.batch.cancel(id);
        core.counts.cancelled += cancelled;
        json(StatusCode::OK, &cancelled)
    }

    fn set_faults(&self, body: &[u8]) -> Reply {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                self.faults.send_replace(faults);
                json(StatusCode::OK, &*self.faults.borrow())
            }
            Err(error) => text(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    fn release(&self) -> Reply {
        self.faults.send_modify(|faults| faults.stall = false);
        json(StatusCode::OK, &*self.faults.borrow())
    }

    fn cache_events(&self, request: &Request<Bytes>) -> Reply {
        let after = parameter(request.uri(), "after")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let faults = self.faults.borrow();
        let until = self.clock.now().since(Millis(faults.cache_lag_ms));
        let events = self.core().cache.events(after, until, faults.cache_gap);
        json(StatusCode::OK, &events)
    }

    fn load(&self) -> Reply {
        let lag = Millis(self.faults.borrow().load_lag_ms);
        let now = self.clock.now();
        json(StatusCode::OK, &self.core().reports.at(now, lag))
    }
}

impl Handler for Engine {
    fn answer(self: Arc<Self>, request: Request<Bytes>) -> BoxFuture<'static, Reply> {
        Box::pin(async move {
            let path = request.uri().path();
            match (request.method().as_str(), path) {
                ("POST", "/v1/chat/completions") => self.complete(&request).await,
                ("GET", "/load") => self.load(),
                ("GET", "/cache-events") => self.cache_events(&request),
                ("GET", "/counts") => json(StatusCode::OK, &self.core().counts),
                ("POST", "/faults") => self.set_faults(request.body()),
                ("POST", "/release") => self.release(),
                ("POST", path) if path.starts_with("/cancel/") => {
                    self.cancel(&unescaped(&path["/cancel/".len()..]))
                }
                _ => text(StatusCode::NOT_FOUND, "no such path"),
            }
        })
    }
}
