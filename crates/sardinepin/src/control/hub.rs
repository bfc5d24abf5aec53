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

use super::border::Border;
use super::fetch;
use super::settings::ControlSettings;

/// The members, the configuration in force, and the ways out.
#[derive(Debug)]
pub(super) struct Hub {
    pub(super) settings: ControlSettings,
    pub(super) keyring: Keyring,
    pub(super) border: Arc<Border>,
    clock: Clock,
    store: Option<Arc<dyn Store>>,
    udp: Option<Arc<UdpSocket>>,
    /// Where this node takes datagrams and fetches.
    pub(super) address: SocketAddr,
    members: Mutex<Membership>,
    snapshots: watch::Sender<Arc<Snapshot>>,
    watching: watch::Sender<bool>,
    ready: watch::Sender<bool>,
    leaving: watch::Sender<bool>,
    /// How many writes this process has made to the platform.
    writes: AtomicU64,
    /// Whether the platform has been read since the start.
    read: watch::Sender<bool>,
}

impl Hub {
    pub(super) fn new(
        settings: ControlSettings,
        store: Option<Arc<dyn Store>>,
        clock: Clock,
        incarnation: Incarnation,
        border: Arc<Border>,
        udp: Option<Arc<UdpSocket>>,
    ) -> anyhow::Result<Self> {
        let address = match &udp {
            Some(socket) => socket.local_addr()?,
            None => settings.cluster.listen,
        };
        let me = MemberUpdate {
            name: settings.name.clone(),
            role: settings.role,
            zone: settings.zone.clone(),
            address,
            incarnation,
            version: Clock::wall_time().0,
            state: MemberState::Alive,
        };
        let members = Membership::new(settings.members(), me, settings.cluster.seeds.clone());
        Ok(Self {
            keyring: settings.keyring(),
            settings,
            border,
            clock,
            store,
            udp,
            address,
            members: Mutex::new(members),
            snapshots: watch::Sender::new(Arc::default()),
            watching: watch::Sender::new(false),
            ready: watch::Sender::new(false),
            leaving: watch::Sender::new(false),
            writes: AtomicU64::new(0),
            read: watch::Sender::new(false),
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

    pub(super) fn rows(&self) -> Vec<MemberView> {
        self.members().views(self.now())
    }

    /// Begins a round.
    pub(super) fn tick(self: &Arc<Self>) {
        self.input(Input::Tick);
        let present = self.members().present_count();
        metrics::gauge!("sardinepin_members_present").set(present as f64);
    }

    pub(super) fn updates(&self) -> Vec<MemberUpdate> {
        self.members().updates()
    }

    /// Returns the highest revision of the live nodes, and how many of them were heard.
    pub(super) fn highest(&self) -> (Revision, usize) {
        let members = self.members();
        (members.highest_revision(), members.contacted_count())
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

    pub(super) fn ready(&self) -> watch::Receiver<bool> {
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
        self.input(Input::Leave);
    }

    pub(super) fn watching(&self) -> watch::Receiver<bool> {
        self.watching.subscribe()
    }

    /// Draws the identifier of a write.
    pub(super) fn write_id(&self) -> String {
        let number = self.writes.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.members().incarnation())
    }

    /// Notes that the platform has been read.
    pub(super) fn note_read(&self) {
        self.read.send_replace(true);
    }

    pub(super) fn has_read(&self) -> bool {
        *self.read.borrow()
    }

    /// Gives the members an input and does what they say.
    pub(super) fn input(self: &Arc<Self>, input: Input) {
        let mut out = Vec::new();
        self.members().handle(self.clock.now(), input, &mut out);
        for output in out {
            self.perform(output);
        }
    }

    /// Takes in configuration; an offer older than what is in force is ignored and counted.
    pub(super) fn publish(
        self: &Arc<Self>,
        source: &'static str,
        offer: &ConfigUpdate,
    ) -> MergeOutcome {
        let mut merged = MergeOutcome::Unchanged;
        self.snapshots.send_if_modified(|held| {
            let mut next = Snapshot::clone(held);
            merged = next.apply(offer);
            let newer = merged == MergeOutcome::Applied;
            if newer {
                *held = Arc::new(next);
            }
            newer
        });
        match merged {
            MergeOutcome::Applied => {
                let revision = self.revision();
                metrics::gauge!("sardinepin_config_revision").set(revision.0 as f64);
                log::info!(event = "config_in_force", revision = revision.0, source = source; "newer configuration");
                self.input(Input::RevisionApplied(revision));
            }
            MergeOutcome::Stale => {
                metrics::counter!("sardinepin_config_stale_total", "source" => source).increment(1);
            }
            MergeOutcome::Unchanged => {}
        }
        merged
    }

    fn members(&self) -> MutexGuard<'_, Membership> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn perform(self: &Arc<Self>, output: Output) {
        match output {
            Output::Send { to, message } => self.send(to, &message),
            Output::Fetch { from, full_table } => {
                tokio::spawn(fetch::take(Arc::clone(self), from, full_table));
            }
            Output::WatchPlatform(watching) => {
                log::info!(event = "watcher", watching = watching; "whether this node watches the platform");
                self.watching.send_replace(watching);
            }
            Output::MessageDropped(why) => dropped(why.label()),
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
        if !self.border.sends(self.address, to) {
            return;
        }
        let datagram = match encode(message).map(|body| sign_datagram(&self.keyring, &body)) {
            Ok(Ok(datagram)) => datagram,
            Ok(Err(error)) => return dropped(error.label()),
            Err(_) => return dropped("unencodable"),
        };
        match socket.try_send_to(&datagram, to) {
            Ok(_) => count("sent", datagram.len()),
            Err(_) => dropped("unsent"),
        }
    }
}

/// Counts a datagram that passes, with its bytes.
pub(super) fn count(way: &'static str, bytes: usize) {
    metrics::counter!("sardinepin_cluster_datagrams_total", "way" => way).increment(1);
    metrics::counter!("sardinepin_cluster_bytes_total", "way" => way).increment(bytes as u64);
}

/// Counts a datagram that is dropped.
pub(super) fn dropped(reason: &'static str) {
    metrics::counter!("sardinepin_cluster_dropped_total", "reason" => reason).increment(1);
}
