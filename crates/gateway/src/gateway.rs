//! The state that all requests of a gateway share.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, PoisonError, RwLock};

use sardinepin_common::Clock;

use crate::dispatch::Dispatch;
use crate::names::Names;
use crate::settings::GatewaySettings;
use crate::table::RouteTable;

/// A gateway.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) names: Names,
    pub(crate) clock: Clock,
    pub(crate) dispatch: Arc<Dispatch>,
    table: RwLock<Option<Arc<RouteTable>>>,
    listed: AtomicBool,
    leaving: AtomicBool,
    open: AtomicUsize,
}

impl Gateway {
    /// Makes a gateway that knows nothing yet.
    pub(crate) fn new(settings: &GatewaySettings) -> Arc<Self> {
        let clock = Clock::start();
        Arc::new(Self {
            names: settings.names.clone(),
            clock,
            dispatch: Dispatch::new(clock, settings.balance.clone()),
            table: RwLock::default(),
            listed: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            open: AtomicUsize::new(0),
        })
    }

    /// Returns the configuration in force, if there is one.
    pub(crate) fn table(&self) -> Option<Arc<RouteTable>> {
        let table = self.table.read().unwrap_or_else(PoisonError::into_inner);
        table.clone()
    }

    /// Puts a configuration in force, unless it is older than the one that is.
    pub(crate) fn apply(&self, table: RouteTable) -> bool {
        let mut current = self.table.write().unwrap_or_else(PoisonError::into_inner);
        if current
            .as_ref()
            .is_some_and(|current| current.version() >= table.version())
        {
            return false;
        }
        *current = Some(Arc::new(table));
        true
    }

    /// Says that the list of upstreams is known.
    pub(crate) fn set_listed(&self) {
        self.listed.store(true, Ordering::Release);
    }

    /// Says that this instance stops.
    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Returns whether this instance stops.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Returns whether callers should be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_leaving() && self.listed.load(Ordering::Acquire) && self.table().is_some()
    }

    /// Returns how many requests are open.
    pub(crate) fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Counts a request as open until what is returned is dropped.
    pub(crate) fn enter(self: &Arc<Self>) -> Open {
        self.open.fetch_add(1, Ordering::AcqRel);
        Open(Arc::clone(self))
    }
}

/// A request that counts as open.
#[derive(Debug)]
pub(crate) struct Open(Arc<Gateway>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::AcqRel);
    }
}
