//! Decides how much new work a rank group takes, for all gateways together.
//!
//! This answers a burst well above the capacity of a group that many gateways share. Each of them sees the group's load a fraction of
//! a second late and only its own arrivals, so that together they send several times what the group completes and fill the queues of
//! its ranks, where work becomes late. The coordinator of the group sees all of its load and all of its demand.

use std::collections::VecDeque;

use sardinepin_common::Millis;
use sardinepin_protocol::{AdmissionLevel, GroupDemand, PRIORITIES, SHARE_FULL};
use serde::{Deserialize, Serialize};

/// The fewest gateways for which a level is set. With a few, each sees a large part of the load itself and needs no coordination.
const GATEWAYS_MIN: u32 = 12;

/// The time over which the rate of arrivals is measured: a few reports of each gateway, so that the end of a burst shows soon.
const DEMAND_WINDOW: Millis = Millis(400);

/// The time over which the rate of completions is measured: several passes of a group in lockstep, which completes requests in
/// batches.
const COMPLETION_WINDOW: Millis = Millis(1_000);

/// How long a level stays in force while some member does not report.
const INCOMPLETE_MAX: Millis = Millis(400);

/// The least admitted rate, as a fraction of the rate of completions: an overfilled group drains, but some of every priority is
/// served.
const ADMITTED_MIN: f64 = 0.2;

/// How many times the admitted rate the demand is at least when a level begins. Below that the gateways' shares of the free places and
/// short waits serve nearly all of it, and refusals on arrival would leave slots unused.
const OVERLOAD_MIN: f64 = 1.25;

/// The part of the admitted rate that is divided among all priorities by their demand, so that none is starved.
const FLOOR_SHARE: f64 = 0.1;

/// Parameters of the admission level of a group.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct AdmissionSettings {
    /// Whether a level is set at all.
    pub enabled: bool,
    /// The time within which the load of the group is brought to its target. A level takes effect on the load after about 300 ms, so a
    /// much shorter time would make it oscillate.
    pub horizon: Millis,
    /// The target of the load, as a multiple of the slots of all ranks.
    pub fill: f64,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            enabled: true,
            horizon: Millis(1_000),
            fill: 1.0,
        }
    }
}

/// What one member of a group reports.
#[derive(Debug, Clone, Copy)]
pub struct MemberState<'a> {
    /// The number of its running and queued requests.
    pub load: u32,
    /// The maximum number of its running requests.
    pub slots: u32,
    /// What its agent has heard from gateways since it started; `None` if the agent was not reached.
    pub demand: Option<&'a GroupDemand>,
}

/// The demand that has been added between two observations.
#[derive(Debug, Clone, Copy)]
struct Increment {
    at: Millis,
    arrived: [u64; PRIORITIES],
    ended: u64,
}

/// The rates of a group, in requests per second.
#[derive(Debug, Clone, Copy)]
struct Rates {
    arrived: [f64; PRIORITIES],
    completed: f64,
}

/// Decides on the admission level of one group.
#[derive(Debug, Default)]
pub struct GroupAdmission {
    settings: AdmissionSettings,
    epoch: u64,
    /// The last demand of each member.
    totals: Vec<Option<GroupDemand>>,
    /// When the first totals were observed.
    began: Option<Millis>,
    increments: VecDeque<Increment>,
    /// The level in force.
    level: Option<AdmissionLevel>,
    /// When the members were last observed completely.
    observed_at: Millis,
}

impl GroupAdmission {
    /// Returns the state of a group of which nothing is known yet.
    #[must_use]
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Forgets the group, for example because another coordinator has taken over.
    pub fn reset(&mut self) {
        *self = Self::new(self.settings);
    }

    /// Records what the members report (`None` where no report came) and returns the level in force; `None` if the group takes all.
    pub fn observe(
        &mut self,
        now: Millis,
        epoch: u64,
        gateways: u32,
        members: &[Option<MemberState<'_>>],
    ) -> Option<&AdmissionLevel> {
        if !self.settings.enabled || gateways < GATEWAYS_MIN {
            self.reset();
            return None;
        }
        if epoch != self.epoch || members.len() != self.totals.len() {
            self.reset();
            self.epoch = epoch;
            self.totals = vec![None; members.len()];
        }
        self.record_demand(now, members);
        let complete: Option<Vec<MemberState<'_>>> = members.iter().copied().collect();
        match complete {
            Some(members) => {
                self.observed_at = now;
                self.level = self
                    .rates(now)
                    .and_then(|rates| self.decide(rates, &members));
            }
            None if now.since(self.observed_at) > INCOMPLETE_MAX => self.level = None,
            None => {}
        }
        self.level.as_ref()
    }

    fn record_demand(&mut self, now: Millis, members: &[Option<MemberState<'_>>]) {
        self.began.get_or_insert(now);
        let mut increment = Increment {
            at: now,
            arrived: [0; PRIORITIES],
            ended: 0,
        };
        for (last, member) in self.totals.iter_mut().zip(members) {
            let demand = member.and_then(|member| member.demand);
            let Some(demand) = demand else {
                // What gateways reported meanwhile would count as one burst.
                *last = None;
                continue;
            };
            if let Some(last) = last.replace(demand.clone()) {
                increment.add(demand, &last);
            }
        }
        self.increments.push_back(increment);
        while self
            .increments
            .front()
            .is_some_and(|first| now.since(first.at) > COMPLETION_WINDOW)
        {
            self.increments.pop_front();
        }
    }

    /// Returns the rates of arrivals and completions; `None` until they have been observed for long enough.
    fn rates(&self, now: Millis) -> Option<Rates> {
        let observed = now.since(self.began?);
        if observed < DEMAND_WINDOW {
            return None;
        }
        let mut arrived = [0.0; PRIORITIES];
        let mut ended = 0;
        for increment in &self.increments {
            let age = now.since(increment.at);
            if age < DEMAND_WINDOW {
                for (rate, count) in arrived.iter_mut().zip(increment.arrived) {
                    *rate += count as f64 * 1_000.0 / DEMAND_WINDOW.as_f64();
                }
            }
            if age < COMPLETION_WINDOW {
                ended += increment.ended;
            }
        }
        let window = COMPLETION_WINDOW.min(observed).as_f64();
        Some(Rates {
            arrived,
            completed: ended as f64 * 1_000.0 / window,
        })
    }

    /// Returns the level that follows from the rates and the load of all members.
    fn decide(&self, rates: Rates, members: &[MemberState<'_>]) -> Option<AdmissionLevel> {
        let load: f64 = members.iter().map(|member| f64::from(member.load)).sum();
        let slots: f64 = members.iter().map(|member| f64::from(member.slots)).sum();
        let target = slots * self.settings.fill;
        if self.level.is_none() && load < target {
            return None;
        }
        let horizon = self.settings.horizon.as_f64().max(1.0) / 1_000.0;
        let admitted = rates.completed + (target - load) / horizon;
        let admitted = admitted.max(rates.completed * ADMITTED_MIN);
        let demand: f64 = rates.arrived.iter().sum();
        let tolerated = match self.level {
            None => admitted * OVERLOAD_MIN,
            Some(_) => admitted,
        };
        (demand > tolerated).then(|| AdmissionLevel {
            admitted_per_s: admitted as u32,
            completed_per_s: rates.completed as u32,
            shares: shares(&rates.arrived, admitted),
        })
    }
}

impl Increment {
    /// Adds what a member has reported since its last report; a member that counts from zero again has restarted.
    fn add(&mut self, demand: &GroupDemand, last: &GroupDemand) {
        for (priority, sum) in self.arrived.iter_mut().enumerate() {
            let count = |demand: &GroupDemand| demand.arrived.get(priority).copied();
            let (new, last) = (count(demand), count(last));
            *sum += new
                .unwrap_or_default()
                .saturating_sub(last.unwrap_or_default());
        }
        self.ended += demand.ended.saturating_sub(last.ended);
    }
}

/// Divides the admitted rate among priorities: a part by demand, the rest to the most urgent first. A more urgent priority never gets
/// a smaller share of its arrivals than a less urgent one.
fn shares(arrived: &[f64; PRIORITIES], admitted: f64) -> Vec<u8> {
    let demand: f64 = arrived.iter().sum();
    let floor = FLOOR_SHARE * admitted / demand.max(f64::MIN_POSITIVE);
    let mut left = admitted * (1.0 - FLOOR_SHARE);
    let mut shares = Vec::with_capacity(PRIORITIES);
    for arrived in arrived {
        let wanted = arrived * (1.0 - floor);
        let given = wanted.min(left);
        left -= given;
        let share = match *arrived > 0.0 {
            true => floor + given / arrived,
            // The share of whoever arrives next depends on what is left.
            false if left > 0.0 => 1.0,
            false => floor,
        };
        shares.push((share.clamp(0.0, 1.0) * f64::from(SHARE_FULL)) as u8);
    }
    let least_urgent = arrived.iter().rposition(|arrived| *arrived > 0.0);
    shares.truncate(least_urgent.map_or(1, |last| last + 1));
    shares
}
