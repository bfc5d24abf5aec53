//! Expert map switches of this agent's rank group.
//!
//! One event loop drives the two state machines of this member: its rank and its coordinator.

mod engine;
mod peers;

use std::sync::Arc;

use bytes::Bytes;
use sardinepin_common::{Millis, rendezvous_order};
use sardinepin_config::{Group, Snapshot};
use sardinepin_groups::{
    Coordinator, CoordinatorInput, CoordinatorOutput, Ending, GroupMessage, OrderReply, Rank,
    RankId, RankInput, RankOutput, SwitchSettings,
};
use sardinepin_protocol::decode;
use serde::Deserialize;
use tokio::sync::{mpsc, watch};

use crate::agent::group::engine::OrderSender;
use crate::agent::group::peers::Peers;
use crate::agent::state::SharedAgent;

/// The interval between two ticks of the state machines.
const TICK_INTERVAL: Millis = Millis(50);

/// How long a member waits for the previous one in the order to propose a switch, and how long it
/// waits between two proposals of its own.
const PROPOSE_INTERVAL: Millis = Millis(2_000);

/// An event for the group loop.
#[derive(Debug)]
pub(crate) enum GroupEvent {
    /// A message from another member of a group.
    Message {
        /// The group that the message is for.
        group: String,
        /// The encoded message.
        payload: Bytes,
    },
    /// The engine's reply to the last order; `None` if no reply arrived in time or it was
    /// unreadable.
    EngineReply(Option<OrderReply>),
}

/// The expert map that the configuration sets for a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
struct WantedMap {
    /// The digest of the map's content.
    digest: u64,
}

/// This agent's rank in a group, as the configuration assigns it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Assignment {
    group: Arc<Group>,
    rank: RankId,
}

/// This agent's membership of a rank group.
struct LocalMember {
    agent: SharedAgent,
    assignment: Assignment,
    rank: Rank,
    coordinator: Coordinator,
    peers: Peers,
    engine: OrderSender,
    wanted: Option<WantedMap>,
    /// The time from which this member may propose the wanted map.
    propose_at: Millis,
}

/// Follows the configuration and takes part in the group that it assigns this agent to, if any.
pub(crate) async fn run(
    agent: SharedAgent,
    events: mpsc::UnboundedSender<GroupEvent>,
    mut inbox: mpsc::UnboundedReceiver<GroupEvent>,
    mut snapshots: watch::Receiver<Arc<Snapshot>>,
) {
    // The configuration may have arrived before the first call of `changed`.
    let first = Arc::clone(&snapshots.borrow_and_update());
    let mut member = update_member(None, &agent, &events, &first);
    let mut ticks = tokio::time::interval(TICK_INTERVAL.duration());
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            event = inbox.recv() => match (event, &mut member) {
                (Some(event), Some(member)) => member.handle_event(event),
                (Some(_), None) => {}
                (None, _) => return,
            },
            changed = snapshots.changed() => {
                if changed.is_err() {
                    return;
                }
                let snapshot = Arc::clone(&snapshots.borrow_and_update());
                member = update_member(member, &agent, &events, &snapshot);
            }
            _ = ticks.tick() => if let Some(member) = &mut member {
                member.tick();
            },
        }
    }
}

/// Updates the member for a new snapshot; a change in the group's ranks creates a new member.
fn update_member(
    member: Option<LocalMember>,
    agent: &SharedAgent,
    events: &mpsc::UnboundedSender<GroupEvent>,
    snapshot: &Snapshot,
) -> Option<LocalMember> {
    let assignment = find_assignment(&agent.identity.name, snapshot)?;
    let mut member = match member {
        Some(member) if member.assignment.group.ranks == assignment.group.ranks => member,
        _ => LocalMember::new(agent, assignment.clone(), events),
    };
    member.assignment = assignment;
    member.peers.update(&member.assignment.group, snapshot);
    member.update_wanted_map(snapshot);
    Some(member)
}

fn find_assignment(name: &str, snapshot: &Snapshot) -> Option<Assignment> {
    snapshot.groups().find_map(|group| {
        let position = group.ranks.iter().position(|rank| rank == name)?;
        Some(Assignment {
            group: Arc::clone(group),
            rank: RankId(u16::try_from(position).ok()?),
        })
    })
}

impl LocalMember {
    fn new(
        agent: &SharedAgent,
        assignment: Assignment,
        events: &mpsc::UnboundedSender<GroupEvent>,
    ) -> Self {
        let settings = SwitchSettings {
            ranks: u16::try_from(assignment.group.ranks.len()).unwrap_or(u16::MAX),
            ..SwitchSettings::default()
        };
        let own = agent.identity.incarnation;
        log::info!(
            event = "group_joined", group = assignment.group.name.as_str(), rank = assignment.rank.0;
            "joined a rank group"
        );
        Self {
            rank: Rank::new(settings, assignment.rank, own),
            coordinator: Coordinator::new(settings, assignment.rank, own),
            peers: Peers::new(agent.identity.clone()),
            engine: OrderSender::new(Arc::clone(agent), events.clone()),
            agent: Arc::clone(agent),
            assignment,
            wanted: None,
            propose_at: Millis::ZERO,
        }
    }

    fn now(&self) -> Millis {
        self.agent.clock.now()
    }

    /// Reads the wanted map and staggers the proposals: rendezvous hashing orders the members, and
    /// each waits [`PROPOSE_INTERVAL`] longer than the previous one.
    fn update_wanted_map(&mut self, snapshot: &Snapshot) {
        let key = format!("maps/{}", self.assignment.group.name);
        let value = snapshot
            .entry(&key)
            .and_then(|entry| entry.value.as_deref());
        let wanted: Option<WantedMap> = value.and_then(|text| serde_json::from_str(text).ok());
        if wanted == self.wanted {
            return;
        }
        self.wanted = wanted;
        let Some(map) = wanted else { return };
        let order = rendezvous_order(
            &(&self.assignment.group.name, map.digest),
            &self.assignment.group.ranks,
        );
        let own = usize::from(self.assignment.rank.0);
        let position = order
            .iter()
            .position(|rank| *rank == own)
            .unwrap_or_default();
        self.propose_at = self.now() + Millis(PROPOSE_INTERVAL.0 * position as u64);
    }

    fn handle_event(&mut self, event: GroupEvent) {
        match event {
            GroupEvent::Message { group, payload } if group == self.assignment.group.name => {
                match decode::<GroupMessage>(&payload) {
                    Ok(message) => self.handle_message(message),
                    Err(error) => {
                        log::warn!(event = "group_message", error:% = error; "cannot decode a group message");
                    }
                }
            }
            GroupEvent::Message { .. } => {}
            GroupEvent::EngineReply(Some(reply)) => self.handle_rank_input(RankInput::Reply(reply)),
            GroupEvent::EngineReply(None) => self.handle_rank_input(RankInput::ReplyLost),
        }
    }

    fn tick(&mut self) {
        self.handle_rank_input(RankInput::Tick);
        self.handle_coordinator_input(CoordinatorInput::Tick);
        self.propose();
        metrics::gauge!("sardinepin_map_version", "group" => self.assignment.group.name.clone())
            .set(self.rank.gate().active.0 as f64);
    }

    /// Proposes the wanted map if this member's wait is over and its coordinator is idle.
    fn propose(&mut self) {
        let Some(map) = self.wanted else { return };
        let due = self.now() >= self.propose_at && self.coordinator.is_idle();
        if !due || self.assignment.group.held || self.has_committed(map) {
            return;
        }
        self.propose_at = self.now() + PROPOSE_INTERVAL;
        self.handle_coordinator_input(CoordinatorInput::Propose { digest: map.digest });
    }

    /// Returns whether the switch to this map is committed.
    fn has_committed(&self, map: WantedMap) -> bool {
        let gate = self.rank.gate();
        let staged = gate.staged.map(|staged| staged.map);
        staged
            .is_some_and(|staged| staged.digest == map.digest && gate.has_committed(staged.version))
    }

    fn handle_message(&mut self, message: GroupMessage) {
        match message {
            GroupMessage::Command(command) => self.handle_rank_input(RankInput::Command(command)),
            GroupMessage::Report(report) => {
                self.handle_coordinator_input(CoordinatorInput::Report(report))
            }
        }
    }

    fn handle_rank_input(&mut self, input: RankInput) {
        let mut outputs = Vec::new();
        self.rank.handle(self.now(), input, &mut outputs);
        for output in outputs {
            match output {
                RankOutput::Order { term, order } => self.engine.send(term, order),
                RankOutput::Report { to, report } => self.send(to, GroupMessage::Report(report)),
                RankOutput::TakeOver => self.handle_coordinator_input(CoordinatorInput::TakeOver),
            }
        }
    }

    fn handle_coordinator_input(&mut self, input: CoordinatorInput) {
        let mut outputs = Vec::new();
        self.coordinator.handle(self.now(), input, &mut outputs);
        for output in outputs {
            match output {
                CoordinatorOutput::Command { to, command } => {
                    self.send(to, GroupMessage::Command(command));
                }
                CoordinatorOutput::VersionAssigned(map) => {
                    log::info!(
                        event = "switch_begun", group = self.assignment.group.name.as_str(),
                        version = map.version.0;
                        "map switch started"
                    );
                }
                CoordinatorOutput::Ended(ending) => self.record_ending(&ending),
            }
        }
    }

    fn send(&mut self, to: RankId, message: GroupMessage) {
        if to == self.assignment.rank {
            self.handle_message(message);
        } else {
            self.peers.send(to, &message);
        }
    }

    fn record_ending(&self, ending: &Ending) {
        let label = match ending {
            Ending::Committed(_) => "committed",
            Ending::Aborted { .. } => "aborted",
            Ending::Abandoned { .. } => "abandoned",
            Ending::Settled => "settled",
            Ending::Outranked => "outranked",
        };
        metrics::counter!("sardinepin_switches_total", "ending" => label).increment(1);
        log::info!(
            event = "switch_ended", group = self.assignment.group.name.as_str(), ending:? = ending;
            "map switch ended on this member"
        );
    }
}
