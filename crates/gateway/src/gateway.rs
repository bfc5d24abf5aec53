//! The state that all requests of a gateway share.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sardinepin_common::{Clock, Millis};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::watch;

use crate::body_memory::BodyMemory;
use crate::crash_detection::CrashEvent;
use crate::dispatch::Dispatcher;
use crate::evacuations::EvacuationRecency;
use crate::header_names::HeaderNames;
use crate::route_table::RouteTable;
use crate::settings::GatewaySettings;
use crate::stopping::Stopping;
use sardinepin_decisions::direct::{BalancerSettings, CallerTimeouts, CrashRecords, GroupMembers};
use sardinepin_protocol::{AdmissionLevel, Digest, GroupDemand, GroupLoad};

/// The shared state of a gateway.
#[derive(Debug)]
pub(crate) struct Gateway {
    /// A number that identifies this instance.
    pub(crate) identity: u64,
    pub(crate) names: HeaderNames,
    /// The availability zone of this instance.
    pub(crate) zone: String,
    pub(crate) clock: Clock,
    pub(crate) dispatcher: Arc<Dispatcher>,
    pub(crate) evacuations: EvacuationRecency,
    pub(crate) memory: BodyMemory,
    table: watch::Sender<Option<Arc<RouteTable>>>,
    upstreams_known: AtomicBool,
    crashes_known: AtomicBool,
    pub(crate) stopping: Stopping,
    open_requests: AtomicUsize,
    /// The connections of callers that are being served, up to the last byte of their answers.
    open_connections: AtomicUsize,
    /// How many outages of the store have ended.
    outages: watch::Sender<u64>,
    crashes: Mutex<CrashRecords>,
    crash_events: UnboundedSender<CrashEvent>,
    caller_timeouts: Mutex<CallerTimeouts>,
}

impl Gateway {
    /// Creates a gateway without configuration or upstreams, and the receiver of its crash events.
    pub(crate) fn new(settings: &GatewaySettings) -> (Arc<Self>, UnboundedReceiver<CrashEvent>) {
        let clock = Clock::start();
        let (crash_events, events) = unbounded_channel();
        let identity = identity_of(&settings.name);
        let balancer = BalancerSettings {
            identity,
            ..settings.balancer.clone()
        };
        let gateway = Arc::new(Self {
            identity,
            names: settings.names.clone(),
            zone: settings.zone.clone(),
            clock,
            dispatcher: Dispatcher::new(clock, balancer),
            evacuations: EvacuationRecency::new(settings.sync.evacuations),
            memory: BodyMemory::new(settings.memory_bytes),
            table: watch::Sender::default(),
            upstreams_known: AtomicBool::new(false),
            crashes_known: AtomicBool::new(false),
            stopping: Stopping::default(),
            open_requests: AtomicUsize::new(0),
            open_connections: AtomicUsize::new(0),
            outages: watch::Sender::default(),
            crashes: Mutex::default(),
            crash_events,
            caller_timeouts: Mutex::default(),
        });
        (gateway, events)
    }

    /// Returns the known upstream crashes, locked.
    pub(crate) fn crashes(&self) -> MutexGuard<'_, CrashRecords> {
        self.crashes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a crash event to the task that confirms and shares crashes.
    pub(crate) fn send_crash_event(&self, event: CrashEvent) {
        // Sending fails only while the process shuts down.
        let _ = self.crash_events.send(event);
    }

    /// Returns the current routing table, or `None` before the first configuration is read.
    pub(crate) fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Returns a receiver that is notified of each routing table.
    pub(crate) fn tables(&self) -> watch::Receiver<Option<Arc<RouteTable>>> {
        self.table.subscribe()
    }

    /// Replaces the routing table, unless `table` is not newer than the current version. Returns
    /// whether it was replaced.
    pub(crate) fn apply_table(&self, table: RouteTable) -> bool {
        self.table.send_if_modified(|current| {
            let known = current.as_ref().map(|current| current.version());
            if known.is_some_and(|known| known >= table.version()) {
                return false;
            }
            *current = Some(Arc::new(table));
            true
        })
    }

    /// Returns the rank groups of all services.
    pub(crate) fn group_members(&self) -> Vec<GroupMembers> {
        self.dispatcher
            .with_balancer(|balancer, _| balancer.upstreams().group_members())
    }

    /// Records a report of the load of a rank group.
    pub(crate) fn record_group_load(&self, load: &GroupLoad) {
        self.dispatcher.record_group_load(load);
    }

    /// Returns the demand for a rank group since the last call.
    pub(crate) fn take_demand(&self, group: &Arc<str>) -> GroupDemand {
        self.dispatcher
            .with_balancer(|balancer, _| balancer.take_demand(group))
    }

    /// Keeps demand that did not reach an agent for the next query.
    pub(crate) fn restore_demand(&self, group: &Arc<str>, demand: &GroupDemand) {
        self.dispatcher
            .with_balancer(|balancer, _| balancer.restore_demand(group, demand));
    }

    /// Returns the admission level of a rank group that is in force.
    pub(crate) fn admission_level(&self, group: &str) -> Option<AdmissionLevel> {
        self.dispatcher
            .with_balancer(|balancer, now| balancer.admission_level(now, group).cloned())
    }

    /// Records the timeout of a caller; returns whether the caller seems to come back after a
    /// refusal.
    pub(crate) fn record_caller_timeout(&self, route: &Arc<str>, timeout: Millis) -> bool {
        self.caller_timeouts()
            .record(self.clock.now(), route, timeout)
    }

    /// Records that a caller was refused and may come back.
    pub(crate) fn record_refused_caller(&self) {
        self.caller_timeouts().record_refusal(self.clock.now());
    }

    fn caller_timeouts(&self) -> MutexGuard<'_, CallerTimeouts> {
        self.caller_timeouts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the store responds again after an outage.
    pub(crate) fn record_outage_end(&self) {
        self.outages.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is notified of the end of each outage of the store.
    pub(crate) fn outage_ends(&self) -> watch::Receiver<u64> {
        self.outages.subscribe()
    }

    /// Records that the list of upstreams has been read.
    pub(crate) fn set_upstreams_known(&self) {
        self.upstreams_known.store(true, Ordering::Release);
    }

    /// Records that the shared crashes have been read.
    pub(crate) fn set_crashes_known(&self) {
        self.crashes_known.store(true, Ordering::Release);
    }

    /// Returns whether the shared crashes have been read; before that, a request that crashes upstreams
    /// would not be recognised.
    pub(crate) fn crashes_known(&self) -> bool {
        self.crashes_known.load(Ordering::Acquire)
    }

    /// Returns whether this instance should receive traffic.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping()
            && self.upstreams_known.load(Ordering::Acquire)
            && self.crashes_known()
            && self.evacuations.are_known()
            && self.table().is_some()
    }

    /// Returns the number of open requests.
    pub(crate) fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Acquire)
    }

    /// Returns the number of callers' connections that are being served.
    pub(crate) fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::Acquire)
    }

    /// Counts a connection as being served until the returned guard is dropped.
    pub(crate) fn open_connection(self: &Arc<Self>) -> OpenConnection {
        self.open_connections.fetch_add(1, Ordering::AcqRel);
        OpenConnection(Arc::clone(self))
    }

    /// Counts a request as open until the returned guard is dropped.
    pub(crate) fn open_request(self: &Arc<Self>) -> OpenRequest {
        self.open_requests.fetch_add(1, Ordering::AcqRel);
        OpenRequest(Arc::clone(self))
    }
}

/// Returns a number that identifies a gateway. It outlives the process, so that a restart does not count as another gateway.
fn identity_of(name: &str) -> u64 {
    let Digest(bytes) = Digest::of(&[b"gateway", name.as_bytes()]);
    bytes
        .iter()
        .take(8)
        .fold(0, |number, byte| number << 8 | u64::from(*byte))
}

/// A guard that counts one open request.
#[derive(Debug)]
pub(crate) struct OpenRequest(Arc<Gateway>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A guard that counts one connection of a caller.
#[derive(Debug)]
pub(crate) struct OpenConnection(Arc<Gateway>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::AcqRel);
    }
}
