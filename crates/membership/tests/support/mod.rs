//! Nodes in memory and the datagrams between them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::Rng as _;
use sardinepin_common::{Incarnation, Millis, Revision, Rng, seeded_rng};
use sardinepin_membership::{
    Input, LinkState, ListedNode, MemberSettings, MemberState, MemberStatus, MemberUpdate,
    MemberView, Membership, Message, Output, PeerChoice,
};
use sardinepin_protocol::Role;

/// Far beyond what any of the tests needs.
const BOUND: Millis = Millis(600_000);

#[derive(Debug, Clone, Copy)]
pub struct NetSettings {
    pub nodes: usize,
    pub zones: usize,
    pub loss_milli: u32,
    pub choice: PeerChoice,
    pub seed: u64,
}

type Cut = fn(usize, usize) -> bool;

struct Node {
    members: Membership,
    revision: Revision,
    running: bool,
    watching: bool,
    lives: u64,
    changes: Vec<(String, MemberState)>,
    last: Option<Message>,
}

pub struct Net {
    settings: NetSettings,
    now: Millis,
    nodes: Vec<Node>,
    queue: BTreeMap<(Millis, u64), (usize, usize, Message)>,
    sent: u64,
    cut: Cut,
    rng: Rng,
}

pub fn node_name(id: usize) -> String {
    format!("node-{id}")
}

pub fn listed(id: usize) -> ListedNode {
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

fn start(settings: &NetSettings, id: usize, life: u64, version: u64) -> Membership {
    let me = MemberUpdate {
        name: node_name(id),
        role: Role::Agent,
        zone: format!("zone-{}", id % settings.zones),
        address: address(id),
        incarnation: Incarnation(settings.seed * 1_000_000 + (id as u64) * 100 + life),
        version,
        state: MemberState::Alive,
    };
    let member_settings = MemberSettings {
        peer_choice: settings.choice,
        ..MemberSettings::default()
    };
    Membership::new(member_settings, me, vec![address(0), address(1)])
}

impl Net {
    pub fn new(settings: NetSettings) -> Self {
        let nodes = (0..settings.nodes)
            .map(|id| Node {
                members: start(&settings, id, 0, 1_000),
                revision: Revision::default(),
                running: true,
                watching: false,
                lives: 1,
                changes: Vec::new(),
                last: None,
            })
            .collect();
        Self {
            settings,
            now: Millis::ZERO,
            nodes,
            queue: BTreeMap::new(),
            sent: 0,
            cut: |_, _| false,
            rng: seeded_rng(settings.seed),
        }
    }

    /// A net whose nodes all know each other, and what they noted until then forgotten.
    pub fn settled(settings: NetSettings) -> Self {
        let mut net = Self::new(settings);
        net.run_until("all know all", |net| {
            net.ids()
                .all(|id| net.count(id, MemberStatus::Alive) == net.settings.nodes)
        });
        for node in &mut net.nodes {
            node.changes.clear();
        }
        net
    }

    pub fn ids(&self) -> impl Iterator<Item = usize> + use<> {
        0..self.nodes.len()
    }

    pub fn sent(&self) -> u64 {
        self.sent
    }

    pub fn watching(&self, id: usize) -> bool {
        self.nodes[id].watching
    }

    pub fn revision(&self, id: usize) -> Revision {
        self.nodes[id].revision
    }

    pub fn changes(&self, id: usize) -> &[(String, MemberState)] {
        &self.nodes[id].changes
    }

    pub fn row(&self, at: usize, of: usize) -> MemberView {
        let name = node_name(of);
        self.nodes[at]
            .members
            .views(self.now)
            .into_iter()
            .find(|row| row.name == name)
            .unwrap()
    }

    pub fn standing(&self, at: usize, of: usize) -> MemberStatus {
        self.row(at, of).status
    }

    pub fn reach(&self, at: usize, of: usize) -> LinkState {
        self.row(at, of).link.unwrap()
    }

    pub fn incarnation(&self, at: usize, of: usize) -> Incarnation {
        self.row(at, of).incarnation.unwrap()
    }

    pub fn own_incarnation(&self, id: usize) -> Incarnation {
        self.nodes[id].members.incarnation()
    }

    pub fn count(&self, at: usize, standing: MemberStatus) -> usize {
        self.nodes[at]
            .members
            .views(self.now)
            .iter()
            .filter(|row| row.status == standing)
            .count()
    }

    pub fn cut(&mut self, cut: Cut) {
        self.cut = cut;
    }

    pub fn stop(&mut self, id: usize) {
        self.nodes[id].running = false;
    }

    pub fn resume(&mut self, id: usize) {
        self.nodes[id].running = true;
    }

    pub fn restart(&mut self, id: usize) {
        self.restart_at(id, 1_000 + self.now.0);
    }

    pub fn restart_at(&mut self, id: usize, version: u64) {
        let node = &mut self.nodes[id];
        node.members = start(&self.settings, id, node.lives, version);
        node.lives += 1;
        node.revision = Revision::default();
    }

    pub fn leave(&mut self, id: usize) {
        self.input(id, Input::Leave);
    }

    pub fn publish(&mut self, id: usize, revision: Revision) {
        self.nodes[id].revision = revision;
        self.input(id, Input::RevisionApplied(revision));
    }

    pub fn last_sent(&self, id: usize) -> Message {
        self.nodes[id].last.clone().unwrap()
    }

    /// Gives a node a message without a network and returns what it would do.
    pub fn inject(&mut self, id: usize, message: Message) -> Vec<Output> {
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

    pub fn run_until(&mut self, what: &str, done: impl Fn(&Self) -> bool) {
        let end = self.now + BOUND;
        while !done(self) {
            assert!(self.now < end, "never: {what}");
            self.step();
        }
    }

    /// Ten milliseconds pass.
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
            if !lost && self.nodes[to].running && !(self.cut)(from, to) {
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
                Output::StateChanged { name, state } => self.nodes[id].changes.push((name, state)),
                Output::MessageDropped(_) | Output::SelfRefuted | Output::PeerRefuted { .. } => {}
            }
        }
    }

    fn send(&mut self, id: usize, to: SocketAddr, message: Message) {
        let to = usize::from(to.port()) - 10_000;
        self.nodes[id].last = Some(message.clone());
        self.sent += 1;
        if to < self.nodes.len() {
            let at = self.now + Millis(1);
            self.queue.insert((at, self.sent), (id, to, message));
        }
    }

    fn fetch(&mut self, id: usize, from: SocketAddr, table: bool) {
        let from = usize::from(from.port()) - 10_000;
        let whole = self.nodes[from].running && !(self.cut)(from, id) && !(self.cut)(id, from);
        if whole {
            let revision = self.nodes[from].revision;
            if table {
                let updates = self.nodes[from].members.updates();
                self.input(id, Input::MemberTable(updates));
            }
            if revision > self.nodes[id].revision {
                self.publish(id, revision);
            }
        }
        self.input(id, Input::FetchEnded { complete: whole });
    }
}
