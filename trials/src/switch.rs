//! Counts the messages and bytes of expert map switches, and of strategies that instead synchronise
//! all ranks before each step or window of steps.
//!
//! The switch runs on the product's state machines; every message is encoded as on a link.

use std::collections::VecDeque;

use anyhow::Context;
use clap::{Arg, ArgMatches, Command, value_parser};
use sardinepin_common::{Incarnation, MapVersion, Millis};
use sardinepin_groups::{
    Coordinator, CoordinatorInput, CoordinatorOutput, Ending, Fencing, Gate, GroupMessage, Order,
    OrderReply, Rank, RankId, RankInput, RankOutput, Report, Request, SwitchSettings, term_for,
};
use sardinepin_protocol::{ToAgent, ToEntry, encode};
use serde_json::json;

/// The size of the length prefix of a frame on a link.
const LENGTH_PREFIX_BYTES: usize = 4;

/// A minute, in milliseconds.
const MINUTE_MS: u64 = 60_000;

/// A number of messages and their total size on a link.
#[derive(Debug, Clone, Copy, Default)]
struct Traffic {
    messages: u64,
    bytes: u64,
}

impl Traffic {
    fn add(&mut self, message: GroupMessage) -> anyhow::Result<()> {
        self.messages += 1;
        self.bytes += frame_bytes(message)?;
        Ok(())
    }

    fn multiplied_by(self, count: u64) -> Self {
        Self {
            messages: self.messages * count,
            bytes: self.bytes * count,
        }
    }
}

/// Returns the trial's command line.
pub(crate) fn command() -> Command {
    Command::new("switch")
        .about(
            "Compares the messages of map switches with those of a round for each step or window",
        )
        .arg(integer_arg("ranks", "64"))
        .arg(integer_arg("step-ms", "5"))
        .arg(integer_arg("window", "32"))
        .arg(integer_arg("switches", "6").help("Switches per minute"))
        .arg(
            integer_arg("loading", "1")
                .help("How often an engine reports that it is still loading"),
        )
}

/// Runs the trial and prints a line for each strategy, with the traffic of one group in a minute.
pub(crate) fn run(arguments: &ArgMatches) -> anyhow::Result<()> {
    let ranks = u16::try_from(integer_value(arguments, "ranks"))?;
    let window = integer_value(arguments, "window").max(1);
    let switches = integer_value(arguments, "switches");
    let steps = MINUTE_MS / integer_value(arguments, "step-ms").max(1);
    let switch_traffic = Group::new(ranks, integer_value(arguments, "loading")).run_switch()?;
    let round_traffic = single_round(ranks)?;
    print_summary(
        "switch",
        ranks,
        switch_traffic.multiplied_by(switches),
        Traffic::default(),
    );
    print_summary(
        "step",
        ranks,
        round_traffic.multiplied_by(steps),
        round_traffic.multiplied_by(steps),
    );
    let windows = steps.div_ceil(window);
    print_summary(
        "window",
        ranks,
        round_traffic.multiplied_by(windows),
        round_traffic.multiplied_by(windows),
    );
    Ok(())
}

fn print_summary(strategy: &str, ranks: u16, total: Traffic, steady: Traffic) {
    let line = json!({
        "way": strategy,
        "ranks": ranks,
        "messages_a_minute": total.messages,
        "bytes_a_minute": total.bytes,
        "steady_messages_a_minute": steady.messages,
        "steady_bytes_a_minute": steady.bytes,
    });
    println!("{line}");
}

/// Returns the traffic of one round, in which the coordinator permits every other rank to proceed
/// and each rank acknowledges it.
fn single_round(ranks: u16) -> anyhow::Result<Traffic> {
    let mut traffic = Traffic::default();
    for rank in 1..ranks {
        let command = sardinepin_groups::Command {
            coordinator: RankId(0),
            term: term_for(1, incarnation(0)),
            agent: Some(incarnation(rank)),
            request: Request::Commit(MapVersion(1)),
        };
        let report = Report {
            rank: RankId(rank),
            agent: incarnation(rank),
            term: command.term,
            refusal: None,
            gate: Gate::default(),
            next_step: 1_000_000,
        };
        traffic.add(GroupMessage::Command(command))?;
        traffic.add(GroupMessage::Report(report))?;
    }
    Ok(traffic)
}

/// A simulated rank group without message loss.
struct Group {
    ranks: Vec<Rank>,
    gates: Vec<Gate>,
    /// How often each engine will still report that it is loading.
    loading_reports: Vec<u64>,
    coordinator: Coordinator,
    network: VecDeque<(RankId, GroupMessage)>,
    ending: Option<Ending>,
    now: Millis,
}

impl Group {
    fn new(ranks: u16, loading_reports: u64) -> Self {
        let settings = SwitchSettings {
            ranks,
            ..SwitchSettings::default()
        };
        let mut group = Self {
            ranks: (0..ranks)
                .map(|rank| Rank::new(settings, RankId(rank), incarnation(rank)))
                .collect(),
            gates: vec![Gate::default(); usize::from(ranks)],
            loading_reports: vec![loading_reports; usize::from(ranks)],
            coordinator: Coordinator::new(settings, RankId(0), incarnation(0)),
            network: VecDeque::new(),
            ending: None,
            now: Millis::ZERO,
        };
        (0..usize::from(ranks)).for_each(|rank| group.handle_rank(rank, RankInput::Tick));
        group
    }

    /// Runs one switch and returns its traffic, without the messages between the coordinator and
    /// the rank in its own process.
    fn run_switch(mut self) -> anyhow::Result<Traffic> {
        let mut traffic = Traffic::default();
        self.handle_coordinator(CoordinatorInput::Propose { digest: u64::MAX });
        while self.ending.is_none() {
            while let Some((to, message)) = self.network.pop_front() {
                if !is_own_rank(to, message) {
                    traffic.add(message)?;
                }
                match message {
                    GroupMessage::Command(command) => {
                        self.handle_rank(usize::from(to.0), RankInput::Command(command));
                    }
                    GroupMessage::Report(report) => {
                        self.handle_coordinator(CoordinatorInput::Report(report));
                    }
                }
            }
            self.now = self.now + SwitchSettings::default().stage_interval;
            self.handle_coordinator(CoordinatorInput::Tick);
        }
        let ending = self.ending.context("the switch has not ended")?;
        anyhow::ensure!(
            ending == Ending::Committed(MapVersion(1)),
            "the switch ended as {ending:?}"
        );
        Ok(traffic)
    }

    fn handle_rank(&mut self, rank: usize, input: RankInput) {
        let mut out = Vec::new();
        self.ranks[rank].handle(self.now, input, &mut out);
        for output in out {
            match output {
                RankOutput::Order { term, order } => {
                    let rejection = self.gates[rank]
                        .apply(term, order, 1_000_000, Fencing::Enforced)
                        .err();
                    if let Order::Stage(map) = order {
                        self.stage_map(rank, map);
                    }
                    let reply = OrderReply {
                        rejection,
                        gate: self.gates[rank],
                        next_step: 1_000_000,
                    };
                    self.handle_rank(rank, RankInput::Reply(reply));
                }
                RankOutput::Report { to, report } => {
                    self.network.push_back((to, GroupMessage::Report(report)));
                }
                RankOutput::TakeOver => {}
            }
        }
    }

    /// Handles an order to stage a map; the engine has loaded it after all its loading reports.
    fn stage_map(&mut self, rank: usize, map: sardinepin_groups::MapId) {
        match self.loading_reports[rank] {
            0 => self.gates[rank].mark_loaded(map),
            _ => self.loading_reports[rank] -= 1,
        }
    }

    fn handle_coordinator(&mut self, input: CoordinatorInput) {
        let mut out = Vec::new();
        self.coordinator.handle(self.now, input, &mut out);
        for output in out {
            match output {
                CoordinatorOutput::Command { to, command } => {
                    self.network.push_back((to, GroupMessage::Command(command)));
                }
                CoordinatorOutput::Ended(ending) => self.ending = Some(ending),
                CoordinatorOutput::VersionAssigned(_) => {}
            }
        }
    }
}

fn is_own_rank(to: RankId, message: GroupMessage) -> bool {
    match message {
        GroupMessage::Command(command) => command.coordinator == to,
        GroupMessage::Report(report) => report.rank == to,
    }
}

fn frame_bytes(message: GroupMessage) -> anyhow::Result<u64> {
    let group = "veileder-llm-0".to_owned();
    let payload = message.encode().into();
    let frame = match message {
        GroupMessage::Command(_) => encode(&ToAgent::Group { group, payload })?,
        GroupMessage::Report(_) => encode(&ToEntry::Group { group, payload })?,
    };
    Ok((frame.len() + LENGTH_PREFIX_BYTES) as u64)
}

/// Returns an incarnation with a typical encoded size: real ones are random, so they are large.
fn incarnation(rank: u16) -> Incarnation {
    Incarnation(0xA5A5_5A5A_A5A5_0000 | u64::from(rank))
}

fn integer_arg(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

fn integer_value(arguments: &ArgMatches, name: &str) -> u64 {
    arguments.get_one::<u64>(name).copied().unwrap_or_default()
}
