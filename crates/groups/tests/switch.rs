//! The map switch on a lossless network, rank by rank.

use std::collections::VecDeque;

use assert_matches::assert_matches;
use sardinepin_common::{Incarnation, MapVersion, Millis};
use sardinepin_groups::{
    Coordinator, CoordinatorInput, CoordinatorOutput, Ending, Fencing, Gate, GroupMessage, Order,
    OrderReply, Rank, RankId, RankInput, RankOutput, Refusal, Rejection, Report, Request,
    Safeguards, SwitchSettings,
};

const RANKS: usize = 4;

/// A group whose messages arrive at once, but for those of silent ranks.
struct Group {
    ranks: Vec<Rank>,
    gates: Vec<Gate>,
    next_step: u64,
    coordinator: Coordinator,
    silent: Vec<usize>,
    /// Whether the weight store gives nothing.
    store_out: bool,
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
            store_out: false,
            refusals: Vec::new(),
            endings: Vec::new(),
            now: Millis(0),
            network: VecDeque::new(),
        };
        (0..RANKS).for_each(|at| group.rank(at, RankInput::Tick));
        group
    }

    fn restart(&mut self, at: usize) {
        let settings = SwitchSettings {
            ranks: RANKS as u16,
            ..SwitchSettings::default()
        };
        let life = Incarnation(self.ranks[at].agent().0 + 100);
        self.ranks[at] = Rank::new(settings, RankId(at as u16), life);
        self.rank(at, RankInput::Tick);
    }

    fn rank(&mut self, at: usize, input: RankInput) {
        let mut out = Vec::new();
        self.ranks[at].handle(self.now, input, &mut out);
        for output in out {
            match output {
                RankOutput::Order { term, order } => self.engine(at, term, order),
                RankOutput::Report { to, report } => {
                    self.refusals.extend(report.refusal);
                    self.network.push_back((to, GroupMessage::Report(report)));
                }
                RankOutput::TakeOver => {}
            }
        }
    }

    fn engine(&mut self, at: usize, term: sardinepin_common::Term, order: Order) {
        let gate = &mut self.gates[at];
        let rejection = gate
            .apply(term, order, self.next_step, Fencing::Enforced)
            .err();
        if let Order::Stage(map) = order
            && !self.store_out
        {
            gate.mark_loaded(map);
        }
        let reply = OrderReply {
            rejection,
            gate: *gate,
            next_step: self.next_step,
        };
        self.rank(at, RankInput::Reply(reply));
    }

    fn coordinate(&mut self, input: CoordinatorInput) {
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

    /// Delivers until nothing is under way, or until `stop` says so.
    fn run_until(&mut self, stop: impl Fn(&Self) -> bool) {
        while !stop(self) {
            let Some((to, message)) = self.network.pop_front() else {
                return;
            };
            let at = usize::from(to.0);
            match message {
                GroupMessage::Command(_) if self.silent.contains(&at) => {}
                GroupMessage::Command(command) => self.rank(at, RankInput::Command(command)),
                GroupMessage::Report(report) => {
                    self.coordinate(CoordinatorInput::Report(report));
                }
            }
        }
    }

    fn run(&mut self) {
        self.run_until(|_| false);
    }

    fn propose(&mut self) {
        self.coordinate(CoordinatorInput::Propose { digest: 7 });
    }

    /// Lets the present phase of the coordinator run out.
    fn expire(&mut self) {
        if let Some(deadline) = self.coordinator.deadline() {
            self.now = deadline;
            self.coordinate(CoordinatorInput::Tick);
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
    let step = group.gates[0].armed.expect("a promise").step;
    assert_eq!(step, 10 + SwitchSettings::default().margin_steps);
    assert_eq!(group.maps(step - 1), vec![Some(MapVersion(0)); RANKS]);
    assert_eq!(group.maps(step), vec![Some(MapVersion(1)); RANKS]);
}

#[test]
fn one_map_a_rank_that_never_answers_ends_the_switch() {
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
fn one_map_a_rank_that_falls_silent_while_arming_holds_nobody_up() {
    let mut group = Group::new();
    group.propose();
    group.run_until(|group| group.coordinator.phase() == "arming");
    group.silent = vec![2];
    group.run();
    // The coordinator's own rank has not armed, so it can be closed and the others let go.
    group.expire();
    assert_eq!(group.maps(u64::MAX), vec![Some(MapVersion(0)); RANKS]);
    group.expire();
    assert_matches!(&group.endings[..], [Ending::Aborted { silent, .. }] if *silent == [RankId(2)]);
    // The version is spent: the next map gets another one.
    group.silent.clear();
    group.propose();
    group.run();
    assert_eq!(
        group.endings.last(),
        Some(&Ending::Committed(MapVersion(2)))
    );
}

#[test]
fn one_map_a_restarted_agent_refuses_what_was_meant_for_the_one_before() {
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
fn one_map_a_restarted_agent_reads_its_gate_back() {
    let mut group = Group::new();
    group.propose();
    group.run_until(|group| group.gates.iter().all(|gate| gate.armed.is_some()));
    group.restart(2);
    assert_eq!(group.ranks[2].gate(), &group.gates[2]);
    group.run();
    assert_eq!(group.endings, vec![Ending::Committed(MapVersion(1))]);
}

#[test]
fn one_map_a_late_step_aborts() {
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
fn one_map_a_weight_store_that_is_out_ends_the_switch() {
    let mut group = Group::new();
    group.store_out = true;
    group.propose();
    group.run();
    group.expire();
    assert_matches!(&group.endings[..], [Ending::Abandoned { silent }] if silent.len() == RANKS);
    assert_eq!(group.maps(u64::MAX), vec![Some(MapVersion(0)); RANKS]);
}

#[test]
fn one_map_orders_go_one_after_another() {
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
fn one_map_an_armed_rank_without_word_asks_for_a_coordinator() {
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
fn one_map_messages_survive_their_encoding() {
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
