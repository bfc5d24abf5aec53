//! The gossip state machine of one node.

mod inputs;
mod rounds;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use sardinepin_common::{Incarnation, Millis, Revision, Rng, seeded_rng};
use sardinepin_protocol::Role;

use crate::gossip_queue::GossipQueue;
use crate::message::{MemberState, MemberUpdate, Message, MessageKind};
use crate::peer_selection::{PeerSelector, peer_selector};
use crate::probes::Probes;
use crate::settings::MemberSettings;
use crate::table::Table;
use crate::view::{MemberStatus, MemberView};

/// A node of the platform's instance list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedNode {
    /// The node's name.
    pub name: String,
    /// The node's role.
    pub role: Role,
    /// The node's availability zone.
    pub zone: String,
    /// Where the node receives datagrams and serves fetches.
    pub address: SocketAddr,
}

/// An input of [`Membership`].
#[derive(Debug)]
pub enum Input {
    /// The next round is due.
    Tick,
    /// An authenticated datagram arrived.
    Received(Box<Message>),
    /// The configuration in force has advanced to this revision.
    RevisionApplied(Revision),
    /// The live nodes of the platform's instance list, which replace the previous ones.
    InstanceList(Vec<ListedNode>),
    /// Updates from another node's full table.
    MemberTable(Vec<MemberUpdate>),
    /// A fetch has ended.
    FetchEnded {
        /// Whether everything requested was received.
        complete: bool,
    },
    /// Asks for an immediate ping of every node that is not known to have this revision in force.
    PollRevision(Revision),
    /// The local node starts to leave.
    Leave,
}

/// Why a received message was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// The local process sent it itself.
    OwnMessage,
    /// Another process uses the local node's name.
    SameName,
    /// Its counter was seen before, or is older than the replay window.
    Replay,
    /// Its sender has been replaced by another process of the same name.
    OldProcess,
    /// The member table has no room for the sender.
    TableFull,
}

impl DropReason {
    /// Returns the value of the metric label that counts such messages.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::OwnMessage => "own",
            Self::SameName => "same_name",
            Self::Replay => "replay",
            Self::OldProcess => "old_process",
            Self::TableFull => "full",
        }
    }
}

/// An action that the caller of [`Membership::handle`] must perform or report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// The content of the datagram.
        message: Box<Message>,
    },
    /// Fetch the configuration from another node over TCP.
    Fetch {
        /// The address of the node to fetch from.
        from: SocketAddr,
        /// Whether to fetch the full member table as well.
        full_table: bool,
    },
    /// Start (`true`) or stop (`false`) watching the platform.
    WatchPlatform(bool),
    /// A received message was dropped.
    MessageDropped(DropReason),
    /// Another node's state has changed in the local table.
    StateChanged {
        /// The name of the node.
        name: String,
        /// The new state.
        state: MemberState,
    },
    /// Other nodes suspected the local node or took it for gone, and it has refuted that.
    SelfRefuted,
    /// Another node was suspected or taken for gone, and has refuted that.
    PeerRefuted {
        /// The name of the node.
        name: String,
    },
}

/// The gossip state machine of one node.
#[derive(Debug)]
pub struct Membership {
    settings: MemberSettings,
    table: Table,
    gossip_queue: GossipQueue,
    probes: Probes,
    peer_selector: Box<dyn PeerSelector>,
    rng: Rng,
    seeds: Vec<SocketAddr>,
    /// The live nodes of the platform's instance list except the local one, by name.
    instance_list: BTreeMap<String, ListedNode>,
    /// The revision of the configuration that is in force locally.
    revision: Revision,
    /// The counter of the last message sent.
    counter: u64,
    round: u64,
    last_tick: Option<Millis>,
    /// The round in which a full table was last requested; `None` before that and after a fetch that
    /// failed.
    last_sync: Option<u64>,
    /// The round in which the table last changed.
    last_change: u64,
    /// The round since which no message with the local table's digest has arrived.
    differs_since: Option<u64>,
    fetching: bool,
    watching: bool,
}

impl Membership {
    /// Creates the state machine of the node `local`, which knows no other nodes yet.
    ///
    /// `local.version` should be the wall-clock time in milliseconds, so that a later process of
    /// the same name supersedes an earlier one. `seeds` are the addresses to contact first.
    #[must_use]
    pub fn new(settings: MemberSettings, local: MemberUpdate, seeds: Vec<SocketAddr>) -> Self {
        let mut rng = seeded_rng(local.incarnation.0);
        let peer_selector = peer_selector(settings.peer_choice, &local.name, &mut rng);
        Self {
            table: Table::new(local, settings.members_max),
            gossip_queue: GossipQueue::default(),
            probes: Probes::default(),
            peer_selector,
            rng,
            seeds,
            instance_list: BTreeMap::new(),
            revision: Revision::default(),
            counter: 0,
            round: 0,
            last_tick: None,
            last_sync: None,
            differs_since: None,
            last_change: 0,
            fetching: false,
            watching: false,
            settings,
        }
    }

    /// Handles an input at time `now` and appends the resulting outputs to `out`.
    pub fn handle(&mut self, now: Millis, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => self.tick(now, out),
            Input::Received(message) => self.handle_message(now, *message, out),
            Input::RevisionApplied(revision) => self.advance_revision(now, revision, out),
            Input::InstanceList(nodes) => self.set_instance_list(nodes),
            Input::MemberTable(updates) => self.merge_table(now, &updates, out),
            Input::FetchEnded { complete } => self.handle_fetch_end(complete),
            Input::PollRevision(revision) => self.poll_revision(now, revision, out),
            Input::Leave => self.leave(now, out),
        }
        self.refresh(out);
    }

    /// Returns the incarnation of the local process.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.table.local.incarnation
    }

    /// Returns the current updates about all known nodes, the local one first.
    #[must_use]
    pub fn updates(&self) -> Vec<MemberUpdate> {
        self.table.updates()
    }

    /// Returns the highest revision that is in force locally or was reported by an alive node.
    #[must_use]
    pub fn highest_revision(&self) -> Revision {
        self.table
            .others
            .values()
            .filter(|record| record.update.state == MemberState::Alive)
            .filter_map(|record| record.reported_revision.map(|(revision, _)| revision))
            .max()
            .unwrap_or_default()
            .max(self.revision)
    }

    /// Returns the number of nodes that are not gone, the local one included.
    #[must_use]
    pub fn present_count(&self) -> usize {
        self.table.present_count()
    }

    /// Returns the number of other nodes from which a datagram has arrived directly.
    #[must_use]
    pub fn contacted_count(&self) -> usize {
        self.table
            .others
            .values()
            .filter(|record| record.last_received.is_some())
            .count()
    }

    /// Returns the local view of every node, the local one included, sorted by name.
    #[must_use]
    pub fn views(&self, now: Millis) -> Vec<MemberView> {
        let mut views = vec![self.local_view(now)];
        views.extend(self.table.others.values().map(|record| MemberView {
            name: record.update.name.clone(),
            role: record.update.role,
            zone: record.update.zone.clone(),
            address: record.update.address,
            incarnation: Some(record.update.incarnation),
            status: record.update.state.into(),
            status_age: now.since(record.state_since),
            listed: self.instance_list.contains_key(&record.update.name),
            revision: record.reported_revision.map(|(revision, _)| revision),
            revision_age: record.reported_revision.map(|(_, at)| now.since(at)),
            reachability: Some(record.reachability()),
        }));
        views.extend(self.undiscovered().map(|listed| MemberView {
            name: listed.name.clone(),
            role: listed.role,
            zone: listed.zone.clone(),
            address: listed.address,
            incarnation: None,
            status: MemberStatus::Undiscovered,
            status_age: Millis::ZERO,
            listed: true,
            revision: None,
            revision_age: None,
            reachability: Some(crate::view::Reachability::Untested),
        }));
        views.sort_by(|a, b| a.name.cmp(&b.name));
        views
    }

    fn local_view(&self, now: Millis) -> MemberView {
        let local = &self.table.local;
        MemberView {
            name: local.name.clone(),
            role: local.role,
            zone: local.zone.clone(),
            address: local.address,
            incarnation: Some(local.incarnation),
            status: local.state.into(),
            status_age: now,
            listed: self.instance_list.contains_key(&local.name),
            revision: Some(self.revision),
            revision_age: Some(Millis::ZERO),
            reachability: None,
        }
    }

    /// Returns the listed nodes that are not in the member table.
    fn undiscovered(&self) -> impl Iterator<Item = &ListedNode> {
        self.instance_list
            .values()
            .filter(|listed| self.table.update(&listed.name).is_none())
    }

    /// Refreshes the table, and starts or stops watching the platform if the table requires it.
    fn refresh(&mut self, out: &mut Vec<Output>) {
        if !self.table.refresh() {
            return;
        }
        self.last_change = self.round;
        let watching = self.table.is_watcher(self.settings.watchers);
        if watching != self.watching {
            self.watching = watching;
            out.push(Output::WatchPlatform(watching));
        }
    }

    /// Queues the current update about a node for as many messages as it takes to reach all nodes.
    fn gossip(&mut self, name: &str) {
        let transmits = self.settings.retransmit_mult * self.log2_nodes();
        self.gossip_queue.add(name, transmits);
    }

    /// Returns the base-2 logarithm of the number of present nodes, rounded up, at least 1.
    fn log2_nodes(&self) -> u32 {
        let nodes = u32::try_from(self.table.present_count()).unwrap_or(u32::MAX);
        nodes.next_power_of_two().ilog2().max(1)
    }

    /// Builds a message with queued updates about other nodes.
    ///
    /// If the receiver is known by name and not considered alive, the update about it is always
    /// included, so that it can refute it.
    fn build_message(&mut self, kind: MessageKind, receiver: Option<&str>) -> Box<Message> {
        self.counter += 1;
        let mut names = self.gossip_queue.take(self.settings.updates_max);
        let not_alive = receiver
            .and_then(|name| self.table.update(name))
            .filter(|update| update.state != MemberState::Alive);
        if let Some(update) = not_alive
            && !names.contains(&update.name)
        {
            names.push(update.name.clone());
        }
        let updates = names
            .iter()
            .filter(|name| **name != self.table.local.name)
            .filter_map(|name| self.table.update(name).cloned())
            .collect();
        Box::new(Message {
            sender: self.table.local.clone(),
            counter: self.counter,
            revision: self.revision,
            view_digest: self.table.digest,
            kind,
            updates,
        })
    }

    /// Sends a message to a node and returns its counter, or `None` if the node is not in the table.
    fn send(&mut self, name: &str, kind: MessageKind, out: &mut Vec<Output>) -> Option<u64> {
        let to = self.table.update(name)?.address;
        let message = self.build_message(kind, Some(name));
        let counter = message.counter;
        out.push(Output::Send { to, message });
        Some(counter)
    }
}
