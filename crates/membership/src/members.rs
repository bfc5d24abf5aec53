//! The state machine of one node's part in the rounds.

mod inputs;
mod rounds;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use sardinepin_common::{Incarnation, Millis, Revision, Rng, seeded_rng};
use sardinepin_protocol::Role;

use crate::choice::{Chooser, chooser};
use crate::message::{MemberState, MemberUpdate, Message, MessageKind};
use crate::news::News;
use crate::probes::Probes;
use crate::settings::MemberSettings;
use crate::table::Table;
use crate::view::{MemberStatus, MemberView};

/// A node that the platform's instance list names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedNode {
    /// Its name.
    pub name: String,
    /// Its role.
    pub role: Role,
    /// Its availability zone.
    pub zone: String,
    /// Where it takes datagrams and fetches.
    pub address: SocketAddr,
}

/// What happens to a node.
#[derive(Debug)]
pub enum Input {
    /// A round is due.
    Tick,
    /// An authentic datagram came.
    Received(Box<Message>),
    /// The configuration in force has moved up to this revision.
    RevisionApplied(Revision),
    /// The live nodes of the platform's instance list.
    InstanceList(Vec<ListedNode>),
    /// The whole table of another node.
    MemberTable(Vec<MemberUpdate>),
    /// A fetch has ended.
    FetchEnded {
        /// Whether all of it came.
        complete: bool,
    },
    /// Every node that is not known to hold this revision is to be asked at once what it holds.
    PollRevision(Revision),
    /// This node begins to leave.
    Leave,
}

/// Why a message was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// It is this node's own.
    OwnMessage,
    /// Another process bears this node's name.
    SameName,
    /// Its counter was seen, or is too old to tell.
    Replay,
    /// It is of a process that another has replaced.
    OldProcess,
    /// There is no room for another node.
    TableFull,
}

impl DropReason {
    /// Returns the label under which the message is counted.
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

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        message: Box<Message>,
    },
    /// Fetch from another node over TCP.
    Fetch {
        /// Where from.
        from: SocketAddr,
        /// Whether the whole table of nodes is wanted besides the configuration.
        full_table: bool,
    },
    /// Begin or end watching the platform.
    WatchPlatform(bool),
    /// A message was dropped.
    MessageDropped(DropReason),
    /// A node is seen in another state.
    StateChanged {
        /// The node.
        name: String,
        /// Its state.
        state: MemberState,
    },
    /// This node was suspected or taken for gone, and has answered that it is there.
    SelfRefuted,
    /// A node that was suspected or taken for gone has answered that it is there.
    PeerRefuted {
        /// The node.
        name: String,
    },
}

/// One node's part in the rounds.
#[derive(Debug)]
pub struct Membership {
    settings: MemberSettings,
    table: Table,
    news: News,
    probes: Probes,
    chooser: Box<dyn Chooser>,
    rng: Rng,
    seeds: Vec<SocketAddr>,
    listed: BTreeMap<String, ListedNode>,
    revision: Revision,
    counter: u64,
    round: u64,
    ticked: Option<Millis>,
    /// The round in which a whole table was last fetched.
    synced: Option<u64>,
    /// The round in which the table last changed.
    changed: u64,
    /// The round since which no other node was heard that sees the same nodes.
    differs: Option<u64>,
    fetching: bool,
    watching: bool,
}

impl Membership {
    /// Begins with no other nodes.
    ///
    /// `me.version` should be the wall-clock time in milliseconds, so that a later process of the
    /// same name supersedes an earlier one. `seeds` are addresses to try first.
    #[must_use]
    pub fn new(settings: MemberSettings, me: MemberUpdate, seeds: Vec<SocketAddr>) -> Self {
        let mut rng = seeded_rng(me.incarnation.0);
        let chooser = chooser(settings.peer_choice, &me.name, &mut rng);
        Self {
            table: Table::new(me, settings.members_max),
            news: News::default(),
            probes: Probes::default(),
            chooser,
            rng,
            seeds,
            listed: BTreeMap::new(),
            revision: Revision::default(),
            counter: 0,
            round: 0,
            ticked: None,
            synced: None,
            differs: None,
            changed: 0,
            fetching: false,
            watching: false,
            settings,
        }
    }

    /// Takes an input and appends what is to be done.
    pub fn handle(&mut self, now: Millis, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => self.tick(now, out),
            Input::Received(message) => self.heard(now, *message, out),
            Input::RevisionApplied(revision) => self.holds(now, revision, out),
            Input::InstanceList(listed) => self.take_list(listed),
            Input::MemberTable(updates) => self.take_table(now, &updates, out),
            Input::FetchEnded { complete } => self.fetched(complete),
            Input::PollRevision(below) => self.poll(now, below, out),
            Input::Leave => self.leave(now, out),
        }
        self.refresh(out);
    }

    /// Returns this node's process.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.table.me.incarnation
    }

    /// Returns every statement about a node that this one holds.
    #[must_use]
    pub fn updates(&self) -> Vec<MemberUpdate> {
        self.table.updates()
    }

    /// Returns the highest revision that a node said it has, among those that are taken for alive.
    #[must_use]
    pub fn highest_revision(&self) -> Revision {
        self.table
            .others
            .values()
            .filter(|record| record.update.state == MemberState::Alive)
            .filter_map(|record| record.held.map(|(revision, _)| revision))
            .max()
            .unwrap_or_default()
            .max(self.revision)
    }

    /// Returns how many nodes are present, this one included.
    #[must_use]
    pub fn present_count(&self) -> usize {
        self.table.size()
    }

    /// Returns how many other nodes have been heard directly.
    #[must_use]
    pub fn contacted_count(&self) -> usize {
        self.table
            .others
            .values()
            .filter(|record| record.heard.is_some())
            .count()
    }

    /// Returns how this node sees every node, itself included, by name.
    #[must_use]
    pub fn views(&self, now: Millis) -> Vec<MemberView> {
        let mut rows = vec![self.own_row(now)];
        rows.extend(self.table.others.values().map(|record| MemberView {
            name: record.update.name.clone(),
            role: record.update.role,
            zone: record.update.zone.clone(),
            address: record.update.address,
            incarnation: Some(record.update.incarnation),
            status: record.update.state.into(),
            status_age: now.since(record.since),
            listed: self.listed.contains_key(&record.update.name),
            revision: record.held.map(|(revision, _)| revision),
            revision_age: record.held.map(|(_, at)| now.since(at)),
            link: Some(record.reach()),
        }));
        rows.extend(self.unheard().map(|listed| MemberView {
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
            link: Some(crate::view::LinkState::Untested),
        }));
        rows.sort_by(|a, b| a.name.cmp(&b.name));
        rows
    }

    fn own_row(&self, now: Millis) -> MemberView {
        let me = &self.table.me;
        MemberView {
            name: me.name.clone(),
            role: me.role,
            zone: me.zone.clone(),
            address: me.address,
            incarnation: Some(me.incarnation),
            status: me.state.into(),
            status_age: now,
            listed: self.listed.contains_key(&me.name),
            revision: Some(self.revision),
            revision_age: Some(Millis::ZERO),
            link: None,
        }
    }

    /// Returns the listed nodes of which nothing was ever heard.
    fn unheard(&self) -> impl Iterator<Item = &ListedNode> {
        self.listed
            .values()
            .filter(|listed| self.table.update(&listed.name).is_none())
    }

    /// Brings up to date what follows from the table.
    fn refresh(&mut self, out: &mut Vec<Output>) {
        if !self.table.refresh() {
            return;
        }
        self.changed = self.round;
        let watching = self.table.is_watcher(self.settings.watchers);
        if watching != self.watching {
            self.watching = watching;
            out.push(Output::WatchPlatform(watching));
        }
    }

    /// Sends the present statement about a node on, as often as it takes to reach all.
    fn spread(&mut self, name: &str) {
        let times = self.settings.retransmit_mult * self.logarithm();
        self.news.add(name, times);
    }

    /// Returns the logarithm of the number of nodes to the base 2, rounded up, at least 1.
    fn logarithm(&self) -> u32 {
        let size = u32::try_from(self.table.size()).unwrap_or(u32::MAX);
        size.next_power_of_two().ilog2().max(1)
    }

    /// Writes a message, with news of others; `about` is always among them if the receiver is not
    /// taken for alive, so that it can refute that.
    fn message(&mut self, kind: MessageKind, about: Option<&str>) -> Box<Message> {
        self.counter += 1;
        let mut names = self.news.take(self.settings.updates_max);
        let doubted = about
            .and_then(|name| self.table.update(name))
            .filter(|update| update.state != MemberState::Alive);
        if let Some(update) = doubted
            && !names.contains(&update.name)
        {
            names.push(update.name.clone());
        }
        let news = names
            .iter()
            .filter(|name| **name != self.table.me.name)
            .filter_map(|name| self.table.update(name).cloned())
            .collect();
        Box::new(Message {
            sender: self.table.me.clone(),
            counter: self.counter,
            revision: self.revision,
            view_digest: self.table.seen,
            kind,
            updates: news,
        })
    }

    /// Sends a message to a node that is known by name, and returns its counter.
    fn send(&mut self, name: &str, kind: MessageKind, out: &mut Vec<Output>) -> Option<u64> {
        let to = self.table.update(name)?.address;
        let message = self.message(kind, Some(name));
        let counter = message.counter;
        out.push(Output::Send { to, message });
        Some(counter)
    }
}
