//! What the tasks of configuration and membership share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sardinepin_common::{Clock, Incarnation, Millis, Revision};
use sardinepin_config::{ConfigUpdate, MergeOutcome, Snapshot};
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

/// The members, the configuration in force, and the ways out.
#[derive(Debug)]
pub(super) struct ControlState {
    pub(super) settings: ControlSettings,
    pub(super) keyring: Keyring,
    pub(super) faults: Arc<FaultInjector>,
    clock: Clock,
    store: Option<Arc<dyn Store>>,
    udp: Option<Arc<UdpSocket>>,
    /// Where this node takes datagrams and fetches.
    pub(super) address: SocketAddr,
    membership: Mutex<Membership>,
    snapshots: watch::Sender<Arc<Snapshot>>,
    watching: watch::Sender<bool>,
    ready: watch::Sender<bool>,
    leaving: watch::Sender<bool>,
    /// How many writes this process has made to the platform.
    write_count: AtomicU64,
    /// Whether the platform has been read since the start.
    platform_read: watch::Sender<bool>,
}

impl ControlState {
    pub(super) fn new(
        settings: ControlSettings,
        store: Option<Arc<dyn Store>>,
        clock: Clock,
        incarnation: Incarnation,
        faults: Arc<FaultInjector>,
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
        let membership = Membership::new(settings.members(), own, settings.cluster.seeds.clone());
        Ok(Self {
            keyring: settings.keyring(),
            settings,
            faults,
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

    /// Begins a round.
    pub(super) fn tick(self: &Arc<Self>) {
        self.handle(Input::Tick);
        let present = self.membership().present_count();
        metrics::gauge!("sardinepin_members_present").set(present as f64);
    }

    pub(super) fn updates(&self) -> Vec<MemberUpdate> {
        self.membership().updates()
    }

    /// Returns the highest revision of the live nodes, and how many of them were heard.
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

    /// Makes this node ready, unless it is leaving.
    pub(super) fn set_ready(&self) {
        let leaving = self.leaving.subscribe();
        self.ready.send_if_modified(|ready| {
            *ready = !*leaving.borrow();
            *ready
        });
    }

    /// Makes this node not ready for good, and tells the others that it is leaving.
    pub(super) fn leave(self: &Arc<Self>) {
        self.leaving.send_replace(true);
        self.ready.send_replace(false);
        self.handle(Input::Leave);
    }

    pub(super) fn watching(&self) -> watch::Receiver<bool> {
        self.watching.subscribe()
    }

    /// Draws the identifier of a write.
    pub(super) fn write_id(&self) -> String {
        let number = self.write_count.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.membership().incarnation())
    }

    /// Notes that the platform has been read.
    pub(super) fn set_platform_read(&self) {
        self.platform_read.send_replace(true);
    }

    pub(super) fn has_read_platform(&self) -> bool {
        *self.platform_read.borrow()
    }

    /// Gives the members an input and does what they say.
    pub(super) fn handle(self: &Arc<Self>, input: Input) {
        let mut out = Vec::new();
        self.membership().handle(self.clock.now(), input, &mut out);
        for output in out {
            self.perform(output);
        }
    }

    /// Takes in configuration; an update older than what is in force is ignored and counted.
    pub(super) fn apply_update(
        self: &Arc<Self>,
        source: &'static str,
        update: &ConfigUpdate,
    ) -> MergeOutcome {
        let mut outcome = MergeOutcome::Unchanged;
        self.snapshots.send_if_modified(|current| {
            let mut next = Snapshot::clone(current);
            outcome = next.apply(update);
            let is_newer = outcome == MergeOutcome::Applied;
            if is_newer {
                *current = Arc::new(next);
            }
            is_newer
        });
        match outcome {
            MergeOutcome::Applied => {
                let revision = self.revision();
                metrics::gauge!("sardinepin_config_revision").set(revision.0 as f64);
                log::info!(event = "config_in_force", revision = revision.0, source = source; "newer configuration");
                self.handle(Input::RevisionApplied(revision));
            }
            MergeOutcome::Stale => {
                metrics::counter!("sardinepin_config_stale_total", "source" => source).increment(1);
            }
            MergeOutcome::Unchanged => {}
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
                log::info!(event = "watcher", watching = watching; "whether this node watches the platform");
                self.watching.send_replace(watching);
            }
            Output::MessageDropped(reason) => count_dropped(reason.label()),
            Output::StateChanged { name, state } => {
                log::info!(event = "member", name = name.as_str(), state:? = state; "a node is seen in another state");
            }
            Output::SelfRefuted => {
                metrics::counter!("sardinepin_members_doubted_total").increment(1);
                log::info!(event = "doubted"; "this node was given up by others, and has said that it is there");
            }
            Output::PeerRefuted { name } => {
                metrics::counter!("sardinepin_members_refuted_total").increment(1);
                log::info!(event = "refuted", name = name.as_str(); "a node that was given up is there");
            }
        }
    }

    /// Sends a datagram; one that the socket does not take at once is lost like any other.
    fn send(&self, to: SocketAddr, message: &Message) {
        let Some(socket) = &self.udp else { return };
        if !self.faults.allows_datagram(self.address, to) {
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

/// Counts a datagram that passes, with its bytes.
pub(super) fn count_datagram(direction: &'static str, bytes: usize) {
    metrics::counter!("sardinepin_cluster_datagrams_total", "way" => direction).increment(1);
    metrics::counter!("sardinepin_cluster_bytes_total", "way" => direction).increment(bytes as u64);
}

/// Counts a datagram that is dropped.
pub(super) fn count_dropped(reason: &'static str) {
    metrics::counter!("sardinepin_cluster_dropped_total", "reason" => reason).increment(1);
}
