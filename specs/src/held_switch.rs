//! The switch on a held step, run on the product's own rule for what to order next.
//!
//! Two ranks, two coordinators at once, orders that get no answer and are carried out at any later
//! time, looks that read one rank after the other, and steps that begin in between.

mod engine;

use sardinepin_groups::{NextAction, RankReport, next_action};

use crate::explore::Model;
use crate::held_switch::engine::{Act, Engines, Order, Taken};

/// How many ranks a group has.
const RANKS: usize = 2;

/// How far ahead of the last step a coordinator holds one.
const AHEAD: u64 = 2;

/// What a case allows, and which safeguards are on.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// How many steps begin.
    pub steps: u64,
    /// How many orders get no answer and are carried out later.
    pub late: usize,
    /// How many coordinators there are, at most two.
    pub coordinators: usize,
    /// How many versions each coordinator has loaded.
    pub versions: u64,
    /// How often each coordinator may take a higher term.
    pub raises: usize,
    /// Whether engines refuse orders of a lower term.
    pub fenced: bool,
    /// Whether orders to arm carry the sequence number of the report.
    pub sequenced: bool,
    /// Whether a group whose armed step has not begun is left alone.
    pub patient: bool,
    /// Whether a step is released on the new map only once every rank has confirmed it.
    pub confirmed: bool,
}

/// What a coordinator is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Doing {
    /// Reading the ranks, of which the first have been read.
    Looking { read: usize },
    /// Having a version loaded at every rank.
    Preparing { version: u64, to: usize },
    /// Holding a step.
    Holding { version: u64, step: u64 },
    /// Arming the ranks from `to` on; `all` tells whether the others took it.
    Arming {
        version: u64,
        step: u64,
        to: usize,
        all: bool,
    },
    /// Disarming the ranks from `to` on: what each has armed, or else `version`.
    Aborting { version: u64, step: u64, to: usize },
    /// Releasing a step.
    Releasing { step: u64 },
    /// Nothing any more.
    Stopped,
}

/// One coordinator.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Coordinator {
    term: u64,
    doing: Doing,
    reports: [RankReport; RANKS],
    versions: u64,
    /// The step that every rank was disarmed for, at the present term.
    aborted: Option<u64>,
    /// How often it may take a higher term.
    raises: usize,
}

impl Coordinator {
    /// Takes a higher term and goes on with `next`, or stops if it may not.
    fn raise(&mut self, next: Doing) -> Doing {
        if self.raises == 0 {
            return Doing::Stopped;
        }
        self.raises -= 1;
        self.term += RANKS as u64;
        self.aborted = None;
        next
    }
}

/// The whole system.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    engines: Engines,
    coordinators: Vec<Coordinator>,
    /// Orders on their way, with the rank that they go to.
    late: Vec<(usize, Order)>,
    lost: usize,
}

/// The case of one group.
#[derive(Debug, Clone, Copy)]
pub struct HeldSwitch(pub Bounds);

impl Model for HeldSwitch {
    type State = State;

    fn start(&self) -> State {
        let coordinators = (0..self.0.coordinators as u64).map(|at| Coordinator {
            term: at + 1,
            doing: Doing::Looking { read: 0 },
            reports: [RankReport::default(); RANKS],
            versions: self.0.versions,
            aborted: None,
            raises: self.0.raises,
        });
        State {
            engines: Engines::default(),
            coordinators: coordinators.collect(),
            late: Vec::new(),
            lost: 0,
        }
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = self.calm_successors(state);
        for at in 0..state.coordinators.len() {
            next.extend(self.lose_order(state, at, true));
            next.extend(self.lose_order(state, at, false));
        }
        next
    }

    fn calm_successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        if state.engines.step < self.0.steps && state.engines.may_begin() {
            let mut begun = state.clone();
            begun.engines.begin();
            next.push(begun);
        }
        for at in 0..state.coordinators.len() {
            next.push(self.act(state, at));
        }
        for at in 0..state.late.len() {
            let mut arrived = state.clone();
            let (rank, order) = arrived.late.remove(at);
            arrived.engines.take(rank, order, self.0.fenced);
            next.push(arrived);
        }
        next
    }

    fn fault(&self, state: &State) -> Option<&'static str> {
        state.engines.is_mixed().then_some("a step on two maps")
    }

    fn is_settled(&self, state: &State) -> bool {
        let stopped = |one: &Coordinator| one.doing == Doing::Stopped;
        let settled = state.engines.held.is_none() && state.late.is_empty();
        // Beyond the last step of the case nothing can begin, so a step may stay held.
        let over = state.engines.step == self.0.steps;
        settled || over || state.coordinators.iter().all(stopped)
    }
}

impl HeldSwitch {
    /// Lets a coordinator take its next action, and its order arrive.
    fn act(&self, state: &State, at: usize) -> State {
        let mut next = state.clone();
        let taken = match self.order_of(&state.coordinators[at]) {
            Some((rank, order)) => Some(next.engines.take(rank, order, self.0.fenced)),
            None => None,
        };
        let report = next.engines.report(match state.coordinators[at].doing {
            Doing::Looking { read } => read.min(RANKS - 1),
            _ => 0,
        });
        self.go_on(&mut next.coordinators[at], taken, report);
        next
    }

    /// Lets the next order of a coordinator get no answer; it is given again, or given up.
    fn lose_order(&self, state: &State, at: usize, again: bool) -> Option<State> {
        if state.lost >= self.0.late {
            return None;
        }
        let order = self.order_of(&state.coordinators[at])?;
        let mut next = state.clone();
        next.lost += 1;
        next.late.push(order);
        next.late.sort_unstable();
        if !again {
            let report = state.engines.report(0);
            self.go_on(&mut next.coordinators[at], None, report);
        }
        Some(next)
    }

    fn order_of(&self, one: &Coordinator) -> Option<(usize, Order)> {
        let order = |act, sequence| Order {
            term: one.term,
            sequence,
            act,
        };
        Some(match one.doing {
            Doing::Looking { .. } | Doing::Stopped => return None,
            // The holder comes last, as it may where all ranks are told at once.
            Doing::Preparing { version, to } => {
                (RANKS - 1 - to, order(Act::Prepare(version), None))
            }
            Doing::Holding { step, .. } => (0, order(Act::Hold(step), None)),
            Doing::Arming {
                version, step, to, ..
            } => {
                let sequence = self.0.sequenced.then_some(one.reports[to].sequence);
                (to, order(Act::Arm(version, step), sequence))
            }
            Doing::Aborting { version, to, .. } => {
                let report = &one.reports[to];
                let version = report.armed.map_or(version, |armed| armed.version);
                let sequence = self.0.sequenced.then_some(report.sequence);
                (to, order(Act::Disarm(version), sequence))
            }
            Doing::Releasing { step } => (0, order(Act::Release(step), None)),
        })
    }

    fn go_on(&self, one: &mut Coordinator, taken: Option<Taken>, report: RankReport) {
        const LOOK: Doing = Doing::Looking { read: 0 };
        one.doing = match (one.doing, taken) {
            (Doing::Looking { read }, _) => {
                one.reports[read] = report;
                if read + 1 < RANKS {
                    Doing::Looking { read: read + 1 }
                } else {
                    self.decide(one)
                }
            }
            // A coordinator that meets a higher term rests, and comes back with a new one.
            (_, Some(Taken::Superseded)) => one.raise(LOOK),
            (Doing::Stopped, _) => Doing::Stopped,
            (Doing::Preparing { version, to }, _) if to + 1 < RANKS => Doing::Preparing {
                version,
                to: to + 1,
            },
            (Doing::Holding { version, step }, Some(Taken::Yes)) => Doing::Arming {
                version,
                step,
                to: 0,
                all: true,
            },
            (
                Doing::Arming {
                    version,
                    step,
                    to,
                    all,
                },
                taken,
            ) => {
                let all = all && taken == Some(Taken::Yes);
                if to + 1 < RANKS {
                    Doing::Arming {
                        version,
                        step,
                        to: to + 1,
                        all,
                    }
                } else if all || !self.0.confirmed {
                    Doing::Releasing { step }
                } else {
                    LOOK
                }
            }
            (Doing::Aborting { version, step, to }, Some(Taken::Yes)) => {
                if to + 1 < RANKS {
                    Doing::Aborting {
                        version,
                        step,
                        to: to + 1,
                    }
                } else {
                    one.aborted = Some(step);
                    LOOK
                }
            }
            _ => LOOK,
        };
    }

    /// Decides what to do once all ranks have been read.
    fn decide(&self, one: &mut Coordinator) -> Doing {
        let reports = one.reports;
        let step = match next_action(&reports) {
            NextAction::Loading if !self.0.patient => hasty(&reports),
            step => step,
        };
        match step {
            NextAction::Unclear | NextAction::Loading => Doing::Looking { read: 0 },
            NextAction::Idle if one.versions > 0 => {
                one.versions -= 1;
                let newest = reports.iter().map(|report| {
                    let armed = report.armed.map_or(0, |armed| armed.version);
                    report.active.max(armed).max(report.prepared.unwrap_or(0))
                });
                // The term makes the version of each coordinator its own.
                let version = (newest.max().unwrap_or(0) / 8 + 1) * 8 + one.term % RANKS as u64;
                Doing::Preparing { version, to: 0 }
            }
            NextAction::Idle => Doing::Looking { read: 0 },
            NextAction::Hold { version } => {
                let last = reports.iter().map(|report| report.step).max();
                Doing::Holding {
                    version,
                    step: last.unwrap_or(0) + AHEAD,
                }
            }
            NextAction::Arm { version, step, .. } => Doing::Arming {
                version,
                step,
                to: 0,
                all: true,
            },
            NextAction::Abort { versions, step, .. } => {
                let armed = reports.iter().any(|report| report.armed.is_some());
                if one.aborted == Some(step) && !armed {
                    return Doing::Releasing { step };
                }
                let version = versions.first().copied();
                let next = match version {
                    Some(version) => Doing::Aborting {
                        version,
                        step,
                        to: 0,
                    },
                    None => Doing::Releasing { step },
                };
                one.raise(next)
            }
        }
    }
}

/// The rule without its patience: a version armed everywhere is held and armed again.
fn hasty(reports: &[RankReport]) -> NextAction {
    let armed = reports[0].armed.map(|armed| armed.version);
    let same = reports
        .iter()
        .all(|report| report.armed.map(|armed| armed.version) == armed);
    match armed {
        Some(version) if same => NextAction::Hold { version },
        _ => NextAction::Loading,
    }
}
