//! Tests of the map switch on a lossless network.

use std::collections::VecDeque;

use assert_matches::assert_matches;
use sardinepin_common::{Incarnation, MapVersion, Millis};
use sardinepin_groups::{
    Coordinator, CoordinatorInput, CoordinatorOutput, Ending, Fencing, Gate, GroupMessage, Order,
    OrderReply, Rank, RankId, RankInput, RankOutput, Refusal, Rejection, Report, Request,
    Safeguards, SwitchSettings,
};

const RANKS: usize = 4;

/// A group whose messages are delivered in order, except commands to silent ranks.
struct Group {
    ranks: Vec<Rank>,
    gates: Vec<Gate>,
    next_step: u64,
    coordinator: Coordinator,
    silent: Vec<usize>,
    /// Whether the weight store is unavailable, so that no map gets loaded.
    store_unavailable: bool,
    refusals: Vec<Refusal>,
    endings: Vec<Ending>,
    now: Millis,
    network: VecDeque<(RankId, GroupMessage)>,
}

impl Group {
    fn new() -> Self {
        let settings = SwitchSettings {
            ranks: RANKS as u16,
            ..SwitchSettings::default()
        };
        let rank = |at| Rank::new(settings, RankId(at as u16), Incarnation(100 + at as u64));
        let mut group = Self {
            ranks: (0..RANKS).map(rank).collect(),
            gates: vec![Gate::default(); RANKS],
            next_step: 10,
            coordinator: Coordinator::new(settings, RankId(0), Incarnation(100)),
            silent: Vec::new(),
            store_unavailable: false,
            refusals: Vec::new(),
            endings: Vec::new(),
            now: Millis(0),
            network: VecDeque::new(),
        };
        (0..RANKS).for_each(|at| group.drive_rank(at, RankInput::Tick));
        group
    }

    fn restart(&mut self, at: usize) {
        let settings = SwitchSettings {
            ranks: RANKS as u16,
            ..SwitchSettings::default()
        };
        let agent = Incarnation(self.ranks[at].agent().0 + 100);
        self.ranks[at] = Rank::new(settings, RankId(at as u16), agent);
        self.drive_rank(at, RankInput::Tick);
    }

    fn drive_rank(&mut self, at: usize, input: RankInput) {
        let mut out = Vec::new();
        self.ranks[at].handle(self.now, input, &mut out);
        for output in out {
            match output {
                RankOutput::Order { term, order } => self.apply_order(at, term, order),
                RankOutput::Report { to, report } => {
                    self.refusals.extend(report.refusal);
                    self.network.push_back((to, GroupMessage::Report(report)));
                }
                RankOutput::TakeOver => {}
            }
        }
    }

    fn apply_order(&mut self, at: usize, term: sardinepin_common::Term, order: Order) {
        let gate = &mut self.gates[at];
        let rejection = gate
            .apply(term, order, self.next_step, Fencing::Enforced)
            .err();
        if let Order::Stage(map) = order
            && !self.store_unavailable
        {
            gate.mark_loaded(map);
        }
        let reply = OrderReply {
            rejection,
            gate: *gate,
            next_step: self.next_step,
        };
        self.drive_rank(at, RankInput::Reply(reply));
    }

    fn drive_coordinator(&mut self, input: CoordinatorInput) {
        let mut out = Vec::new();
        self.coordinator.handle(self.now, input, &mut out);
        for output in out {
            match output {
                CoordinatorOutput::Command { to, command } => {
                    self.network.push_back((to, GroupMessage::Command(command)));
                }
                CoordinatorOutput::Ended(ending) => self.endings.push(ending),
                CoordinatorOutput::VersionAssigned(_) => {}
            }
        }
    }

    /// Delivers messages until none is left or `stop` returns true.
    fn run_until(&mut self, stop: impl Fn(&Self) -> bool) {
        while !stop(self) {
            let Some((to, message)) = self.network.pop_front() else {
                return;
            };
            let at = usize::from(to.0);
            match message {
                GroupMessage::Command(_) if self.silent.contains(&at) => {}
                GroupMessage::Command(command) => self.drive_rank(at, RankInput::Command(command)),
                GroupMessage::Report(report) => {
                    self.drive_coordinator(CoordinatorInput::Report(report));
                }
            }
        }
    }

    fn run(&mut self) {
        self.run_until(|_| false);
    }

    fn propose(&mut self) {
        self.drive_coordinator(CoordinatorInput::Propose { digest: 7 });
    }

    /// Lets the coordinator's current phase time out.
    fn expire(&mut self) {
        if let Some(deadline) = self.coordinator.deadline() {
            self.now = deadline;
            self.drive_coordinator(CoordinatorInput::Tick);
            self.run();
        }
    }

    fn maps(&self, step: u64) -> Vec<Option<MapVersion>> {
        let safeguards = Safeguards::default();
        self.gates
            .iter()
            .map(|gate| gate.map_for(step, safeguards))
            .collect()
    }
}

#[test]
fn one_map_switch_commits_at_the_step() {
    let mut group = Group::new();
    group.propose();
    group.run();
    assert_eq!(group.endings, vec![Ending::Committed(MapVersion(1))]);
    let step = group.gates[0].armed.expect("rank 0 is armed").step;
    assert_eq!(step, 10 + SwitchSettings::default().margin_steps);
    assert_eq!(group.maps(step - 1), vec![Some(MapVersion(0)); RANKS]);
    assert_eq!(group.maps(step), vec![Some(MapVersion(1)); RANKS]);
}

#[test]
fn one_map_a_rank_that_never_reports_ends_the_switch() {
    let mut group = Group::new();
    group.silent = vec![2];
    group.propose();
    group.run();
    group.expire();
    let silent = vec![RankId(2)];
    assert_eq!(group.endings, vec![Ending::Abandoned { silent }]);
    assert_eq!(group.maps(u64::MAX), vec![Some(MapVersion(0)); RANKS]);
}

#[test]
fn one_map_a_rank_that_stops_reporting_while_arming_does_not_block_the_others() {
    let mut group = Group::new();
    group.propose();
    group.run_until(|group| group.coordinator.phase() == "arming");
    group.silent = vec![2];
    group.run();
    // The coordinator's own rank is not armed, so it can be closed and the other ranks released.
    group.expire();
    assert_eq!(group.maps(u64::MAX), vec![Some(MapVersion(0)); RANKS]);
    group.expire();
    assert_matches!(&group.endings[..], [Ending::Aborted { silent, .. }] if *silent == [RankId(2)]);
    // The aborted version is not used again: the next map gets a higher one.
    group.silent.clear();
    group.propose();
    group.run();
    assert_eq!(
        group.endings.last(),
        Some(&Ending::Committed(MapVersion(2)))
    );
}

#[test]
fn one_map_a_restarted_agent_refuses_commands_for_its_previous_incarnation() {
    let mut group = Group::new();
    group.propose();
    group.run_until(|group| group.coordinator.phase() == "arming");
    group.restart(2);
    group.run();
    assert!(group.refusals.contains(&Refusal::OtherLife));
    assert_matches!(&group.endings[..], [Ending::Aborted { silent, .. }] if silent.is_empty());
    assert_eq!(group.maps(u64::MAX), vec![Some(MapVersion(0)); RANKS]);
}

#[test]
fn one_map_a_restarted_agent_reads_the_gate_from_its_engine() {
    let mut group = Group::new();
    group.propose();
    group.run_until(|group| group.gates.iter().all(|gate| gate.armed.is_some()));
    group.restart(2);
    assert_eq!(group.ranks[2].gate(), &group.gates[2]);
    group.run();
    assert_eq!(group.endings, vec![Ending::Committed(MapVersion(1))]);
}

#[test]
fn one_map_a_step_that_has_already_begun_aborts_the_switch() {
    let mut group = Group::new();
    group.propose();
    group.run_until(|group| group.coordinator.phase() == "arming");
    group.next_step += 1_000;
    group.run();
    assert!(
        group
            .refusals
            .contains(&Refusal::Rejected(Rejection::TooLate))
    );
    assert_matches!(&group.endings[..], [Ending::Aborted { .. }]);
}

#[test]
fn one_map_an_unavailable_weight_store_ends_the_switch() {
    let mut group = Group::new();
    group.store_unavailable = true;
    group.propose();
    group.run();
    group.expire();
    assert_matches!(&group.endings[..], [Ending::Abandoned { silent }] if silent.len() == RANKS);
    assert_eq!(group.maps(u64::MAX), vec![Some(MapVersion(0)); RANKS]);
}

#[test]
fn one_map_orders_are_sent_one_at_a_time() {
    let settings = SwitchSettings::default();
    let mut rank = Rank::new(settings, RankId(3), Incarnation(9));
    let mut out = Vec::new();
    rank.handle(Millis(0), RankInput::Tick, &mut out);
    let read = |coordinator| sardinepin_groups::Command {
        coordinator: RankId(coordinator),
        term: sardinepin_common::Term(5),
        agent: None,
        request: Request::Read,
    };
    rank.handle(Millis(0), RankInput::Command(read(0)), &mut out);
    rank.handle(Millis(0), RankInput::Command(read(1)), &mut out);
    assert_matches!(
        &out[..],
        [RankOutput::Order {
            order: Order::Look,
            ..
        }]
    );
    let reply = OrderReply {
        rejection: None,
        gate: Gate::default(),
        next_step: 0,
    };
    rank.handle(Millis(0), RankInput::Reply(reply), &mut out);
    assert_matches!(
        &out[1..],
        [RankOutput::Order {
            order: Order::Fence,
            ..
        }]
    );
    rank.handle(Millis(0), RankInput::ReplyLost, &mut out);
    assert_matches!(
        &out[2..],
        [RankOutput::Order {
            order: Order::Look,
            ..
        }]
    );
}

#[test]
fn one_map_an_armed_rank_without_commands_requests_a_coordinator() {
    let settings = SwitchSettings::default();
    let mut gate = Gate::default();
    let map = sardinepin_groups::MapId {
        version: MapVersion(1),
        digest: 7,
    };
    let term = sardinepin_common::Term(1);
    for order in [Order::Stage(map), Order::Arm { map, step: 5 }] {
        assert_eq!(gate.apply(term, order, 0, Fencing::Enforced), Ok(()));
        gate.mark_loaded(map);
    }
    let mut rank = Rank::new(settings, RankId(3), Incarnation(9));
    let mut out = Vec::new();
    rank.handle(Millis(0), RankInput::Tick, &mut out);
    let reply = OrderReply {
        rejection: None,
        gate,
        next_step: 4,
    };
    rank.handle(Millis(0), RankInput::Reply(reply), &mut out);
    rank.handle(settings.takeover_timeout, RankInput::Tick, &mut out);
    assert!(out.contains(&RankOutput::TakeOver));
}

#[test]
fn one_map_messages_survive_encoding_and_decoding() {
    let report = Report {
        rank: RankId(3),
        agent: Incarnation(9),
        term: sardinepin_common::Term(1 << 40),
        refusal: Some(Refusal::OtherLife),
        gate: Gate::default(),
        next_step: 12,
    };
    let message = GroupMessage::Report(report);
    assert_eq!(GroupMessage::decode(&message.encode()), Some(message));
    assert_eq!(GroupMessage::decode(&[200]), None);
}
