//! The state that the control plane's tasks share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sardinepin_common::{Clock, Incarnation, Millis, Revision};
use sardinepin_config::{ConfigUpdate, MergeResult, Snapshot};
use sardinepin_membership::{
    Input, MemberState, MemberUpdate, MemberView, Membership, Message, Output,
};
use sardinepin_protocol::{Keyring, encode, sign_datagram};
use sardinepin_store::Store;
use tokio::net::UdpSocket;
use tokio::sync::watch;

use super::fault_injection::FaultInjector;
use super::fetch;
use super::settings::ControlSettings;

/// The membership, the configuration in force, and the connections to other nodes and the platform.
#[derive(Debug)]
pub(super) struct ControlState {
    pub(super) settings: ControlSettings,
    pub(super) keyring: Keyring,
    pub(super) fault_injector: Arc<FaultInjector>,
    clock: Clock,
    store: Option<Arc<dyn Store>>,
    udp: Option<Arc<UdpSocket>>,
    /// Where this node receives datagrams and serves fetches.
    pub(super) address: SocketAddr,
    membership: Mutex<Membership>,
    snapshots: watch::Sender<Arc<Snapshot>>,
    /// Whether this node is one of its zone's watchers of the platform.
    watching: watch::Sender<bool>,
    ready: watch::Sender<bool>,
    leaving: watch::Sender<bool>,
    /// The number of write identifiers that this process has issued.
    write_count: AtomicU64,
    /// Whether this process has read the whole configuration from the platform.
    platform_read: watch::Sender<bool>,
}

impl ControlState {
    pub(super) fn new(
        settings: ControlSettings,
        store: Option<Arc<dyn Store>>,
        clock: Clock,
        incarnation: Incarnation,
        fault_injector: Arc<FaultInjector>,
        udp: Option<Arc<UdpSocket>>,
    ) -> anyhow::Result<Self> {
        let address = match &udp {
            Some(socket) => socket.local_addr()?,
            None => settings.cluster.listen,
        };
        let own = MemberUpdate {
            name: settings.name.clone(),
            role: settings.role,
            zone: settings.zone.clone(),
            address,
            incarnation,
            version: Clock::wall_time().0,
            state: MemberState::Alive,
        };
        let membership = Membership::new(
            settings.member_settings(),
            own,
            settings.cluster.seeds.clone(),
        );
        Ok(Self {
            keyring: settings.keyring(),
            settings,
            fault_injector,
            clock,
            store,
            udp,
            address,
            membership: Mutex::new(membership),
            snapshots: watch::Sender::new(Arc::default()),
            watching: watch::Sender::new(false),
            ready: watch::Sender::new(false),
            leaving: watch::Sender::new(false),
            write_count: AtomicU64::new(0),
            platform_read: watch::Sender::new(false),
        })
    }

    pub(super) fn now(&self) -> Millis {
        self.clock.now()
    }

    pub(super) fn store(&self) -> Option<&Arc<dyn Store>> {
        self.store.as_ref()
    }

    pub(super) fn udp(&self) -> Option<&Arc<UdpSocket>> {
        self.udp.as_ref()
    }

    pub(super) fn member_views(&self) -> Vec<MemberView> {
        self.membership().views(self.now())
    }

    /// Starts a gossip round.
    pub(super) fn tick(self: &Arc<Self>) {
        self.handle(Input::Tick);
        let present = self.membership().present_count();
        metrics::gauge!("sardinepin_members_present").set(present as f64);
    }

    pub(super) fn updates(&self) -> Vec<MemberUpdate> {
        self.membership().updates()
    }

    /// Returns the highest revision among the live nodes, and the number of other nodes from which
    /// a datagram has arrived.
    pub(super) fn highest_revision(&self) -> (Revision, usize) {
        let membership = self.membership();
        (membership.highest_revision(), membership.contacted_count())
    }

    pub(super) fn snapshots(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.snapshots.subscribe()
    }

    pub(super) fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.snapshots.borrow())
    }

    pub(super) fn revision(&self) -> Revision {
        self.snapshots.borrow().revision()
    }

    pub(super) fn readiness(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    /// Marks this node as ready, unless it is leaving.
    pub(super) fn set_ready(&self) {
        let leaving = self.leaving.subscribe();
        self.ready.send_if_modified(|ready| {
            *ready = !*leaving.borrow();
            *ready
        });
    }

    /// Marks this node as not ready for good and announces that it is leaving.
    pub(super) fn leave(self: &Arc<Self>) {
        self.leaving.send_replace(true);
        self.ready.send_replace(false);
        self.handle(Input::Leave);
    }

    pub(super) fn watching(&self) -> watch::Receiver<bool> {
        self.watching.subscribe()
    }

    /// Returns a new identifier for a write, unique among the writes of all processes.
    pub(super) fn write_id(&self) -> String {
        let number = self.write_count.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.membership().incarnation())
    }

    /// Records that the platform has been read.
    pub(super) fn set_platform_read(&self) {
        self.platform_read.send_replace(true);
    }

    pub(super) fn has_read_platform(&self) -> bool {
        *self.platform_read.borrow()
    }

    /// Passes an input to the membership state machine and performs its outputs.
    pub(super) fn handle(self: &Arc<Self>, input: Input) {
        let mut out = Vec::new();
        self.membership().handle(self.clock.now(), input, &mut out);
        for output in out {
            self.perform(output);
        }
    }

    /// Applies a configuration update; one that is older than the configuration in force is counted
    /// and ignored.
    pub(super) fn apply_update(
        self: &Arc<Self>,
        source: &'static str,
        update: &ConfigUpdate,
    ) -> MergeResult {
        let mut outcome = MergeResult::Unchanged;
        self.snapshots.send_if_modified(|current| {
            let mut next = Snapshot::clone(current);
            outcome = next.apply(update);
            let is_newer = outcome == MergeResult::Applied;
            if is_newer {
                *current = Arc::new(next);
            }
            is_newer
        });
        match outcome {
            MergeResult::Applied => {
                let revision = self.revision();
                metrics::gauge!("sardinepin_config_revision").set(revision.0 as f64);
                log::info!(event = "config_in_force", revision = revision.0, source = source; "newer configuration in force");
                self.handle(Input::RevisionApplied(revision));
            }
            MergeResult::Stale => {
                metrics::counter!("sardinepin_config_stale_total", "source" => source).increment(1);
            }
            MergeResult::Unchanged => {}
        }
        outcome
    }

    fn membership(&self) -> MutexGuard<'_, Membership> {
        self.membership
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn perform(self: &Arc<Self>, output: Output) {
        match output {
            Output::Send { to, message } => self.send(to, &message),
            Output::Fetch { from, full_table } => {
                tokio::spawn(fetch::fetch_updates(Arc::clone(self), from, full_table));
            }
            Output::WatchPlatform(watching) => {
                log::info!(event = "watcher", watching = watching; "role as a watcher of the platform changed");
                self.watching.send_replace(watching);
            }
            Output::MessageDropped(reason) => count_dropped(reason.label()),
            Output::StateChanged { name, state } => {
                log::info!(event = "member", name = name.as_str(), state:? = state; "node state changed");
            }
            Output::SelfRefuted => {
                metrics::counter!("sardinepin_members_doubted_total").increment(1);
                log::info!(event = "doubted"; "other nodes suspected this node or took it for gone; refuted");
            }
            Output::PeerRefuted { name } => {
                metrics::counter!("sardinepin_members_refuted_total").increment(1);
                log::info!(event = "refuted", name = name.as_str(); "a node that was suspected or taken for gone is alive");
            }
        }
    }

    /// Sends a datagram; if the socket is not ready to send, the datagram is lost.
    fn send(&self, to: SocketAddr, message: &Message) {
        let Some(socket) = &self.udp else { return };
        if !self.fault_injector.allows_datagram(self.address, to) {
            return;
        }
        let datagram = match encode(message).map(|body| sign_datagram(&self.keyring, &body)) {
            Ok(Ok(datagram)) => datagram,
            Ok(Err(error)) => return count_dropped(error.label()),
            Err(_) => return count_dropped("unencodable"),
        };
        match socket.try_send_to(&datagram, to) {
            Ok(_) => count_datagram("sent", datagram.len()),
            Err(_) => count_dropped("unsent"),
        }
    }
}

/// Counts a sent or received datagram and its bytes.
pub(super) fn count_datagram(direction: &'static str, bytes: usize) {
    metrics::counter!("sardinepin_cluster_datagrams_total", "way" => direction).increment(1);
    metrics::counter!("sardinepin_cluster_bytes_total", "way" => direction).increment(bytes as u64);
}

/// Counts a dropped datagram or fetch.
pub(super) fn count_dropped(reason: &'static str) {
    metrics::counter!("sardinepin_cluster_dropped_total", "reason" => reason).increment(1);
}
