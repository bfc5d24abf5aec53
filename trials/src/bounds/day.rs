//! The figures of a simulated day and its disturbances.

use rand::Rng as _;
use sardinepin_common::{Millis, Rng, seeded_rng};
use sardinepin_protocol::RequestRate;

use crate::bounds::cold_check::{ColdPlan, ColdSettings};
use crate::bounds::disturbance::{Disturbance, Kind};
use crate::bounds::evacuation_check::EvacuationPlan;
use crate::bounds::mutant::Mutant;
use crate::bounds::network::ZONES;

/// The settings of a simulated day.
#[derive(Debug, Clone, Copy)]
pub(super) struct DaySettings {
    pub(super) seed: u64,
    pub(super) senders: usize,
    pub(super) mutant: Mutant,
    /// How long callers send.
    pub(super) length: Millis,
    /// The limit that upstreams name, if any does.
    pub(super) limit: Option<LimitSettings>,
    /// Whether upstreams leave and rest.
    pub(super) withdraws: bool,
    /// The cold state of ranks that start again, if any does.
    pub(super) cold: Option<ColdSettings>,
    /// Whether zones are evacuated.
    pub(super) evacuates: bool,
}

/// The limit that upstreams name on a day.
#[derive(Debug, Clone, Copy)]
pub(super) struct LimitSettings {
    pub(super) rate: RequestRate,
    /// The requests for the upstream that is alone, as a multiple of its limit.
    pub(super) load: f64,
    /// Whether nothing else happens on that day.
    pub(super) calm: bool,
}

/// Which upstreams name a limit, and when.
#[derive(Debug, Clone)]
pub(super) struct LimitPlan {
    pub(super) rate: RequestRate,
    pub(super) from: Millis,
    pub(super) until: Millis,
    /// The positions of the upstreams.
    pub(super) upstreams: Vec<usize>,
}

impl LimitPlan {
    /// Returns whether an upstream names the limit at a time.
    pub(super) fn is_named(&self, at: Millis, upstream: usize) -> bool {
        self.from <= at && at < self.until && self.upstreams.contains(&upstream)
    }
}

impl Default for DaySettings {
    fn default() -> Self {
        Self {
            seed: 1,
            senders: 32,
            mutant: Mutant::None,
            length: Millis(20_000),
            limit: None,
            withdraws: false,
            cold: None,
            evacuates: false,
        }
    }
}

/// An upstream that wants no requests, and when; its entry in the list does not say so.
#[derive(Debug, Clone, Copy)]
pub(super) struct WithdrawalPlan {
    pub(super) upstream: usize,
    pub(super) from: Millis,
    pub(super) until: Millis,
    /// For how long it sends away whoever asks; `None` if it leaves.
    pub(super) rest: Option<Millis>,
}

impl WithdrawalPlan {
    /// Returns whether the upstream says so at a time.
    pub(super) fn is_said(&self, at: Millis, upstream: usize) -> bool {
        self.upstream == upstream && self.from <= at && at < self.until
    }
}

/// A simulated deployment and what goes wrong there.
#[derive(Debug, Clone)]
pub(super) struct Day {
    /// The number of rank groups.
    pub(super) groups: usize,
    /// The number of ranks of a group.
    pub(super) ranks: usize,
    /// Whether the ranks of a group are spread over the availability zones.
    pub(super) spread: bool,
    /// By service, the requests of all callers in a second.
    pub(super) rates: Vec<f64>,
    /// The most upstreams that one request is sent to.
    pub(super) attempts_max: u32,
    /// What goes wrong, in order.
    pub(super) disturbances: Vec<Disturbance>,
    /// Which upstreams name a limit.
    pub(super) limit: Option<LimitPlan>,
    /// Which upstreams leave or rest.
    pub(super) withdrawals: Vec<WithdrawalPlan>,
    /// The longest time between the choice of an upstream and sending, for example while a connection is opened.
    pub(super) hold_max: Millis,
    /// Which ranks start again and are cold.
    pub(super) cold: Option<ColdPlan>,
    /// Which zones are evacuated.
    pub(super) evacuations: Vec<EvacuationPlan>,
}

/// The requests for the service of a single upstream in a second, where it names no limit.
const PLAIN_RATE: f64 = 10.0;

/// The part of its usual requests that the service of rank groups gets where upstreams name a limit.
const LIMIT_DAY_RATE: f64 = 0.25;

/// The time from the start of the senders until callers begin to send.
pub(super) const LEAD_TIME: Millis = Millis(6_000);

/// The number of disturbances of a day.
const DISTURBANCES: std::ops::RangeInclusive<usize> = 4..=9;

/// The shortest and the longest disturbance, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 400..5_000;

/// One of so many ranks leaves or rests on a day.
const WITHDRAWING_DIVISOR: usize = 6;

/// The shortest and the longest rest, in milliseconds.
const REST_MS: std::ops::Range<u64> = 700..6_000;

/// The longest time that senders hold attempts on a day on which upstreams withdraw, in milliseconds.
const HOLD_MS: std::ops::Range<u64> = 0..1_500;

/// The shortest and the longest evacuation, in milliseconds.
const EVACUATION_MS: std::ops::Range<u64> = 6_000..14_000;

/// How long a process that lost power takes to start again.
const POWER_LOSS: Millis = Millis(300);

impl Day {
    /// Draws a day from the seed.
    pub(super) fn draw(settings: &DaySettings) -> Self {
        let mut rng = seeded_rng(settings.seed);
        let (groups, ranks, rate) = match settings.senders {
            0..=12 => (1, 12, 64.0),
            13..=100 => (3, 24, 300.0),
            _ => (8, 32, 1_700.0),
        };
        let mut disturbances = Self::draw_disturbances(&mut rng, settings.length);
        if rng.random_bool(0.5) {
            disturbances.extend(power_losses(&mut rng, settings.length));
        }
        disturbances.sort_by_key(|one| one.from);
        let mut day = Self {
            groups,
            ranks,
            spread: rng.random_bool(0.5),
            rates: vec![rate * rng.random_range(0.8..1.6), PLAIN_RATE],
            attempts_max: rng.random_range(2..=3),
            disturbances,
            limit: None,
            withdrawals: Vec::new(),
            hold_max: Millis::ZERO,
            cold: None,
            evacuations: Vec::new(),
        };
        if settings.withdraws {
            day.draw_withdrawals(settings.length, &mut rng);
            day.hold_max = Millis(rng.random_range(HOLD_MS));
        }
        if let Some(cold) = settings.cold {
            let ranks = day.groups * day.ranks;
            day.cold = Some(ColdPlan::draw(&cold, ranks, LEAD_TIME, &mut rng));
            day.rates[0] = cold.load;
            if cold.calm {
                day.disturbances.clear();
            }
        }
        if let Some(limit) = settings.limit {
            day.set_limit(limit, settings.length, &mut rng);
        }
        if settings.evacuates {
            day.draw_evacuations(settings.length, &mut rng);
        }
        day
    }

    /// Evacuates up to all zones, also several at once.
    fn draw_evacuations(&mut self, length: Millis, rng: &mut Rng) {
        for zone in 0..rng.random_range(1..=ZONES) {
            let from = LEAD_TIME + Millis(rng.random_range(0..length.0 / 2));
            self.evacuations.push(EvacuationPlan {
                zone,
                from,
                until: from + Millis(rng.random_range(EVACUATION_MS)),
            });
        }
    }

    /// Lets some ranks leave and others rest during the day.
    fn draw_withdrawals(&mut self, length: Millis, rng: &mut Rng) {
        let ranks = self.groups * self.ranks;
        for _ in 0..(ranks / WITHDRAWING_DIVISOR).max(2) {
            let from = LEAD_TIME + Millis(rng.random_range(0..length.0 * 3 / 4));
            let rest = rng.random_bool(0.5);
            let rest = rest.then(|| Millis(rng.random_range(REST_MS)));
            let duration = match rest {
                Some(_) => Millis(rng.random_range(DURATION_MS)),
                None => length + LEAD_TIME,
            };
            self.withdrawals.push(WithdrawalPlan {
                upstream: rng.random_range(0..ranks),
                from,
                until: from + duration,
                rest,
            });
        }
    }

    /// Lets the upstream that is alone and some ranks name a limit during the day.
    fn set_limit(&mut self, limit: LimitSettings, length: Millis, rng: &mut Rng) {
        let alone = self.groups * self.ranks;
        let ranks = (0..2).map(|_| rng.random_range(0..alone));
        self.limit = Some(LimitPlan {
            rate: limit.rate,
            from: LEAD_TIME + Millis(length.0 / 20),
            until: LEAD_TIME + Millis(length.0 * 19 / 20),
            upstreams: ranks.chain([alone]).collect(),
        });
        self.rates = vec![
            self.rates[0] * LIMIT_DAY_RATE,
            limit.rate.per_second() * limit.load,
        ];
        if limit.calm {
            return self.disturbances.clear();
        }
        for _ in 0..rng.random_range(0..=2) {
            let from = LEAD_TIME + Millis(rng.random_range(0..length.0));
            self.disturbances.push(Disturbance {
                kind: Kind::RestartAgents {
                    share: rng.random_range(0.1..1.0),
                },
                from,
                until: from + POWER_LOSS,
                offset: rng.random_range(0..10_000),
            });
        }
    }

    fn draw_disturbances(rng: &mut Rng, length: Millis) -> Vec<Disturbance> {
        let count = rng.random_range(DISTURBANCES);
        let draw = |_| {
            let from = LEAD_TIME + Millis(rng.random_range(length.0 / 10..length.0 * 9 / 10));
            Disturbance {
                kind: Kind::draw(rng),
                from,
                until: from + Millis(rng.random_range(DURATION_MS)),
                offset: rng.random_range(0..10_000),
            }
        };
        (0..count).map(draw).collect()
    }
}

/// Calm seconds, then answers that are lost while most senders lose power once or twice.
fn power_losses(rng: &mut Rng, length: Millis) -> Vec<Disturbance> {
    let from = LEAD_TIME + Millis(length.0 * 9 / 20);
    let mut series = vec![Disturbance {
        kind: Kind::LoseAnswers {
            share: rng.random_range(0.4..0.9),
        },
        from,
        until: LEAD_TIME + length,
        offset: 0,
    }];
    let mut at = from + Millis(rng.random_range(1_000..3_500));
    for _ in 0..rng.random_range(1..=2) {
        series.push(Disturbance {
            kind: Kind::Restart {
                share: rng.random_range(0.7..1.0),
            },
            from: at,
            until: at + POWER_LOSS,
            offset: rng.random_range(0..10_000),
        });
        at = at + Millis(rng.random_range(2_500..4_500));
    }
    series
}
