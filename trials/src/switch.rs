//! Messages and bytes of a map switch, against a message for each step or window of steps.
//!
//! The switch runs on the product's machines; every message is encoded as on a link.

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

/// The bytes that a frame's length takes on a link.
const LENGTH_BYTES: usize = 4;

/// A minute, in milliseconds.
const MINUTE_MS: u64 = 60_000;

/// Messages and their bytes on the wire.
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

    fn times(self, count: u64) -> Self {
        Self {
            messages: self.messages * count,
            bytes: self.bytes * count,
        }
    }
}

/// Returns the trial's command line.
pub(crate) fn command() -> Command {
    Command::new("switch")
        .about("Counts the messages of a map switch against one for each step or window")
        .arg(number("ranks", "64"))
        .arg(number("step-ms", "5"))
        .arg(number("window", "32"))
        .arg(number("switches", "6").help("Switches a minute"))
        .arg(number("loading", "1").help("How often a rank says that it still loads"))
}

/// Runs the trial and prints a line for each way, for a minute of a group.
pub(crate) fn run(arguments: &ArgMatches) -> anyhow::Result<()> {
    let ranks = u16::try_from(count(arguments, "ranks"))?;
    let window = count(arguments, "window").max(1);
    let switches = count(arguments, "switches");
    let steps = MINUTE_MS / count(arguments, "step-ms").max(1);
    let switch = Group::new(ranks, count(arguments, "loading")).switch()?;
    let round = permit(ranks)?;
    print("switch", ranks, switch.times(switches), Traffic::default());
    print("step", ranks, round.times(steps), round.times(steps));
    let windows = steps.div_ceil(window);
    print("window", ranks, round.times(windows), round.times(windows));
    Ok(())
}

fn print(way: &str, ranks: u16, with: Traffic, without: Traffic) {
    let line = json!({
        "way": way,
        "ranks": ranks,
        "messages_a_minute": with.messages,
        "bytes_a_minute": with.bytes,
        "steady_messages_a_minute": without.messages,
        "steady_bytes_a_minute": without.bytes,
    });
    println!("{line}");
}

/// Returns what it takes to let every rank go on and to hear that each has understood.
fn permit(ranks: u16) -> anyhow::Result<Traffic> {
    let mut traffic = Traffic::default();
    for at in 1..ranks {
        let command = sardinepin_groups::Command {
            coordinator: RankId(0),
            term: term_for(1, life(0)),
            agent: Some(life(at)),
            request: Request::Commit(MapVersion(1)),
        };
        let report = Report {
            rank: RankId(at),
            agent: life(at),
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

/// A group without loss whose messages are counted.
struct Group {
    ranks: Vec<Rank>,
    gates: Vec<Gate>,
    /// How often each engine still says that it loads.
    loading: Vec<u64>,
    coordinator: Coordinator,
    network: VecDeque<(RankId, GroupMessage)>,
    ending: Option<Ending>,
    now: Millis,
}

impl Group {
    fn new(ranks: u16, loading: u64) -> Self {
        let settings = SwitchSettings {
            ranks,
            ..SwitchSettings::default()
        };
        let mut group = Self {
            ranks: (0..ranks)
                .map(|at| Rank::new(settings, RankId(at), life(at)))
                .collect(),
            gates: vec![Gate::default(); usize::from(ranks)],
            loading: vec![loading; usize::from(ranks)],
            coordinator: Coordinator::new(settings, RankId(0), life(0)),
            network: VecDeque::new(),
            ending: None,
            now: Millis::ZERO,
        };
        (0..usize::from(ranks)).for_each(|at| group.rank(at, RankInput::Tick));
        group
    }

    /// Runs one switch; messages from the coordinator to its own rank stay in the process.
    fn switch(mut self) -> anyhow::Result<Traffic> {
        let mut traffic = Traffic::default();
        self.coordinate(CoordinatorInput::Propose { digest: u64::MAX });
        while self.ending.is_none() {
            while let Some((to, message)) = self.network.pop_front() {
                if !is_local(to, message) {
                    traffic.add(message)?;
                }
                match message {
                    GroupMessage::Command(command) => {
                        self.rank(usize::from(to.0), RankInput::Command(command));
                    }
                    GroupMessage::Report(report) => {
                        self.coordinate(CoordinatorInput::Report(report));
                    }
                }
            }
            self.now = self.now + SwitchSettings::default().stage_interval;
            self.coordinate(CoordinatorInput::Tick);
        }
        let ending = self.ending.context("the switch has not ended")?;
        anyhow::ensure!(
            ending == Ending::Committed(MapVersion(1)),
            "the switch ended as {ending:?}"
        );
        Ok(traffic)
    }

    fn rank(&mut self, at: usize, input: RankInput) {
        let mut out = Vec::new();
        self.ranks[at].handle(self.now, input, &mut out);
        for output in out {
            match output {
                RankOutput::Order { term, order } => {
                    let rejection = self.gates[at]
                        .apply(term, order, 1_000_000, Fencing::Enforced)
                        .err();
                    if let Order::Stage(map) = order {
                        self.load(at, map);
                    }
                    let reply = OrderReply {
                        rejection,
                        gate: self.gates[at],
                        next_step: 1_000_000,
                    };
                    self.rank(at, RankInput::Reply(reply));
                }
                RankOutput::Report { to, report } => {
                    self.network.push_back((to, GroupMessage::Report(report)));
                }
                RankOutput::TakeOver => {}
            }
        }
    }

    fn load(&mut self, at: usize, map: sardinepin_groups::MapId) {
        match self.loading[at] {
            0 => self.gates[at].mark_loaded(map),
            _ => self.loading[at] -= 1,
        }
    }

    fn coordinate(&mut self, input: CoordinatorInput) {
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

fn is_local(to: RankId, message: GroupMessage) -> bool {
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
    Ok((frame.len() + LENGTH_BYTES) as u64)
}

/// Returns an incarnation of the usual size: they are drawn at random.
fn life(rank: u16) -> Incarnation {
    Incarnation(0xA5A5_5A5A_A5A5_0000 | u64::from(rank))
}

fn number(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

fn count(arguments: &ArgMatches, name: &str) -> u64 {
    arguments.get_one::<u64>(name).copied().unwrap_or_default()
}
