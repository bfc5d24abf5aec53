//! A simulated cluster: nodes in one process, and the datagrams between them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::Rng as _;
use sardinepin_common::{Incarnation, Millis, Revision, Rng, seeded_rng};
use sardinepin_membership::{
    Input, ListedNode, MemberSettings, MemberState, MemberStatus, MemberUpdate, MemberView,
    Membership, Message, Output, PeerChoice, Reachability,
};
use sardinepin_protocol::Role;

/// Simulated time after which a test fails; well above what any test needs.
const TIMEOUT: Millis = Millis(600_000);

#[derive(Debug, Clone, Copy)]
pub struct ClusterSettings {
    pub nodes: usize,
    pub zones: usize,
    pub loss_milli: u32,
    pub choice: PeerChoice,
    pub seed: u64,
}

/// Whether datagrams from one node to another are lost.
type BlockRule = fn(usize, usize) -> bool;

struct Node {
    members: Membership,
    revision: Revision,
    running: bool,
    watching: bool,
    /// The number of processes that have run under the node's name.
    starts: u64,
    state_changes: Vec<(String, MemberState)>,
    last_sent: Option<Message>,
}

pub struct SimulatedCluster {
    settings: ClusterSettings,
    now: Millis,
    nodes: Vec<Node>,
    queue: BTreeMap<(Millis, u64), (usize, usize, Message)>,
    sent_count: u64,
    blocked: BlockRule,
    rng: Rng,
}

pub fn node_name(id: usize) -> String {
    format!("node-{id}")
}

pub fn listed_node(id: usize) -> ListedNode {
    ListedNode {
        name: node_name(id),
        role: Role::Agent,
        zone: "zone-0".to_owned(),
        address: address(id),
    }
}

fn address(id: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(10_000 + id).unwrap()))
}

fn start_process(settings: &ClusterSettings, id: usize, start: u64, version: u64) -> Membership {
    let local = MemberUpdate {
        name: node_name(id),
        role: Role::Agent,
        zone: format!("zone-{}", id % settings.zones),
        address: address(id),
        incarnation: Incarnation(settings.seed * 1_000_000 + (id as u64) * 100 + start),
        version,
        state: MemberState::Alive,
    };
    let member_settings = MemberSettings {
        peer_choice: settings.choice,
        ..MemberSettings::default()
    };
    Membership::new(member_settings, local, vec![address(0), address(1)])
}

impl SimulatedCluster {
    pub fn new(settings: ClusterSettings) -> Self {
        let nodes = (0..settings.nodes)
            .map(|id| Node {
                members: start_process(&settings, id, 0, 1_000),
                revision: Revision::default(),
                running: true,
                watching: false,
                starts: 1,
                state_changes: Vec::new(),
                last_sent: None,
            })
            .collect();
        Self {
            settings,
            now: Millis::ZERO,
            nodes,
            queue: BTreeMap::new(),
            sent_count: 0,
            blocked: |_, _| false,
            rng: seeded_rng(settings.seed),
        }
    }

    /// Returns a cluster whose nodes all know each other, with no state changes recorded yet.
    pub fn converged(settings: ClusterSettings) -> Self {
        let mut cluster = Self::new(settings);
        cluster.run_until("all nodes know each other", |cluster| {
            cluster
                .ids()
                .all(|id| cluster.count_status(id, MemberStatus::Alive) == cluster.settings.nodes)
        });
        for node in &mut cluster.nodes {
            node.state_changes.clear();
        }
        cluster
    }

    pub fn ids(&self) -> impl Iterator<Item = usize> + use<> {
        0..self.nodes.len()
    }

    pub fn sent_count(&self) -> u64 {
        self.sent_count
    }

    pub fn is_watching(&self, id: usize) -> bool {
        self.nodes[id].watching
    }

    pub fn revision(&self, id: usize) -> Revision {
        self.nodes[id].revision
    }

    pub fn state_changes(&self, id: usize) -> &[(String, MemberState)] {
        &self.nodes[id].state_changes
    }

    pub fn view(&self, observer: usize, target: usize) -> MemberView {
        let name = node_name(target);
        self.nodes[observer]
            .members
            .views(self.now)
            .into_iter()
            .find(|view| view.name == name)
            .unwrap()
    }

    pub fn status(&self, observer: usize, target: usize) -> MemberStatus {
        self.view(observer, target).status
    }

    pub fn reachability(&self, observer: usize, target: usize) -> Reachability {
        self.view(observer, target).reachability.unwrap()
    }

    pub fn incarnation(&self, observer: usize, target: usize) -> Incarnation {
        self.view(observer, target).incarnation.unwrap()
    }

    pub fn own_incarnation(&self, id: usize) -> Incarnation {
        self.nodes[id].members.incarnation()
    }

    pub fn count_status(&self, observer: usize, status: MemberStatus) -> usize {
        self.nodes[observer]
            .members
            .views(self.now)
            .iter()
            .filter(|view| view.status == status)
            .count()
    }

    /// Loses datagrams for which `blocked(from, to)` is true; fetches fail if either direction is.
    pub fn block(&mut self, blocked: BlockRule) {
        self.blocked = blocked;
    }

    pub fn stop(&mut self, id: usize) {
        self.nodes[id].running = false;
    }

    pub fn resume(&mut self, id: usize) {
        self.nodes[id].running = true;
    }

    pub fn restart(&mut self, id: usize) {
        self.restart_with_version(id, 1_000 + self.now.0);
    }

    pub fn restart_with_version(&mut self, id: usize, version: u64) {
        let node = &mut self.nodes[id];
        node.members = start_process(&self.settings, id, node.starts, version);
        node.starts += 1;
        node.revision = Revision::default();
    }

    pub fn leave(&mut self, id: usize) {
        self.input(id, Input::Leave);
    }

    pub fn apply_revision(&mut self, id: usize, revision: Revision) {
        self.nodes[id].revision = revision;
        self.input(id, Input::RevisionApplied(revision));
    }

    pub fn last_sent(&self, id: usize) -> Message {
        self.nodes[id].last_sent.clone().unwrap()
    }

    /// Delivers a message directly to a node and returns the outputs without performing them.
    pub fn deliver(&mut self, id: usize, message: Message) -> Vec<Output> {
        let mut out = Vec::new();
        self.nodes[id]
            .members
            .handle(self.now, Input::Received(Box::new(message)), &mut out);
        out
    }

    pub fn input(&mut self, id: usize, input: Input) {
        let mut out = Vec::new();
        self.nodes[id].members.handle(self.now, input, &mut out);
        self.perform(id, out);
    }

    pub fn run_for(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    pub fn run_until(&mut self, condition: &str, is_met: impl Fn(&Self) -> bool) {
        let end = self.now + TIMEOUT;
        while !is_met(self) {
            assert!(self.now < end, "timed out: {condition}");
            self.step();
        }
    }

    /// Advances the time by 10 ms; each node runs a round every 50 steps, at its own offset.
    fn step(&mut self) {
        self.now = self.now + Millis(10);
        for id in self.ids() {
            let due = (self.now.0 / 10) % 50 == (id as u64 * 7) % 50;
            if due && self.nodes[id].running {
                self.input(id, Input::Tick);
            }
        }
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (from, to, message) = entry.remove();
            let lost = self.rng.random_range(0..1_000) < self.settings.loss_milli;
            if !lost && self.nodes[to].running && !(self.blocked)(from, to) {
                self.input(to, Input::Received(Box::new(message)));
            }
        }
    }

    fn perform(&mut self, id: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, message } => self.send(id, to, *message),
                Output::Fetch { from, full_table } => self.fetch(id, from, full_table),
                Output::WatchPlatform(watching) => self.nodes[id].watching = watching,
                Output::StateChanged { name, state } => {
                    self.nodes[id].state_changes.push((name, state))
                }
                Output::MessageDropped(_) | Output::SelfRefuted | Output::PeerRefuted { .. } => {}
            }
        }
    }

    fn send(&mut self, id: usize, to: SocketAddr, message: Message) {
        let to = usize::from(to.port()) - 10_000;
        self.nodes[id].last_sent = Some(message.clone());
        self.sent_count += 1;
        if to < self.nodes.len() {
            let due = self.now + Millis(1);
            self.queue.insert((due, self.sent_count), (id, to, message));
        }
    }

    fn fetch(&mut self, id: usize, from: SocketAddr, table: bool) {
        let from = usize::from(from.port()) - 10_000;
        let complete =
            self.nodes[from].running && !(self.blocked)(from, id) && !(self.blocked)(id, from);
        if complete {
            let revision = self.nodes[from].revision;
            if table {
                let updates = self.nodes[from].members.updates();
                self.input(id, Input::MemberTable(updates));
            }
            if revision > self.nodes[id].revision {
                self.apply_revision(id, revision);
            }
        }
        self.input(id, Input::FetchEnded { complete });
    }
}
