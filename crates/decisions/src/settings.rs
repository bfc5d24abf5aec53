//! Settings of the balancer.

use std::fmt;
use std::str::FromStr;

use sardinepin_common::Millis;

use crate::retry_budget::BudgetSettings;

/// How requests are admitted and routed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Policy {
    /// Fair admission, adaptive limits and routing by load.
    #[default]
    Sardinepin,
    /// Each upstream in turn; a baseline for comparison.
    RoundRobin,
    /// The upstream with the fewest attempts in flight from this entry; a baseline for comparison.
    LeastInFlight,
}

/// The error for a policy name that does not exist.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownPolicy(pub String);

impl fmt::Display for UnknownPolicy {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "unknown policy '{}'; expected sardinepin, round_robin or least_in_flight",
            self.0
        )
    }
}

impl std::error::Error for UnknownPolicy {}

impl FromStr for Policy {
    type Err = UnknownPolicy;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        match name {
            "sardinepin" => Ok(Self::Sardinepin),
            "round_robin" => Ok(Self::RoundRobin),
            "least_in_flight" => Ok(Self::LeastInFlight),
            _ => Err(UnknownPolicy(name.to_owned())),
        }
    }
}

/// Settings of the balancer.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// How requests are admitted and routed.
    pub policy: Policy,
    /// The availability zone of the entry.
    pub zone: String,
    /// The seed of the random number generator.
    pub seed: u64,
    /// The interval between ticks, in milliseconds.
    pub tick_ms: u64,
    /// The maximum number of attempts per request, including the first.
    pub attempts_max: u32,
    /// Bounds and order of the queues.
    pub queue: QueueSettings,
    /// The concurrency limit of each upstream.
    pub concurrency: ConcurrencySettings,
    /// How an upstream is chosen.
    pub routing: RoutingSettings,
    /// When failing and stalled upstreams are ejected.
    pub ejection: EjectionSettings,
    /// How requests that crash upstreams are handled.
    pub quarantine: QuarantineSettings,
    /// The retry budget of each service, whose ratio is that of the service.
    pub retry: BudgetSettings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            zone: String::new(),
            seed: 0,
            tick_ms: 20,
            attempts_max: 3,
            queue: QueueSettings::default(),
            concurrency: ConcurrencySettings::default(),
            routing: RoutingSettings::default(),
            ejection: EjectionSettings::default(),
            quarantine: QuarantineSettings::default(),
            retry: BudgetSettings {
                shared_slack: 100.0,
                initial: 2.0,
                ..BudgetSettings::default()
            },
        }
    }
}

/// Settings of the queues.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueSettings {
    /// The maximum number of queued requests per class and service.
    pub class_max: usize,
    /// The maximum number of queued requests per organisation within a class.
    pub organisation_max: usize,
    /// The longest expected wait at which a request is still queued, unless half its service time is
    /// longer.
    pub wait_max: Millis,
    /// How many urgent requests in a row go ahead of other classes that wait, before one of these has
    /// its turn.
    pub urgent_streak: u32,
    /// How long requests stay queued while no upstream of their service takes work.
    pub unavailable_max: Millis,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            class_max: 4_096,
            organisation_max: 512,
            wait_max: Millis(250),
            urgent_streak: 8,
            unavailable_max: Millis(500),
        }
    }
}

/// Settings of the concurrency limit of each upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct ConcurrencySettings {
    /// The initial limit of a new or returned upstream, in attempts in flight.
    pub initial: u32,
    /// The highest limit, in attempts in flight.
    pub max: u32,
    /// The shortest time between two adjustments of a limit.
    pub window: Millis,
    /// The fixed limit under the baseline policies, in attempts in flight.
    pub baseline_limit: u32,
}

impl Default for ConcurrencySettings {
    fn default() -> Self {
        Self {
            initial: 4,
            max: 512,
            window: Millis(100),
            baseline_limit: 64,
        }
    }
}

/// Settings of upstream selection.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingSettings {
    /// The age above which a load report is ignored.
    pub report_ttl: Millis,
    /// The largest number of upstreams that are all compared; from more, a random sample is taken.
    pub scan_max: usize,
    /// The size of the random sample.
    pub sample_size: usize,
    /// The highest load of an upstream that is chosen for its prefix cache, as a multiple of the mean
    /// load.
    pub affinity_factor: f32,
    /// The maximum number of prompt prefixes remembered per service.
    pub prefixes_max: usize,
    /// How long a rank group takes to return to full weight after a member was slow or unavailable.
    pub group_ramp: Millis,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            report_ttl: Millis(2_000),
            scan_max: 64,
            sample_size: 16,
            affinity_factor: 1.25,
            prefixes_max: 8_192,
            group_ramp: Millis(5_000),
        }
    }
}

/// Settings of the ejection of failing and stalled upstreams.
#[derive(Debug, Clone, PartialEq)]
pub struct EjectionSettings {
    /// The number of consecutive failures that ejects an upstream.
    pub consecutive_failures: u32,
    /// The shortest time without progress after which an upstream counts as stalled.
    pub stall_min: Millis,
    /// The longest such time, which also applies before any latency is known.
    pub stall_max: Millis,
    /// The duration of the first ejection, which doubles with each consecutive ejection.
    pub base_duration: Millis,
    /// The longest duration of an ejection.
    pub duration_max: Millis,
    /// The largest share of a service's upstreams in one zone that may be ejected at once, in
    /// thousandths.
    pub ejected_milli: u32,
}

impl Default for EjectionSettings {
    fn default() -> Self {
        Self {
            consecutive_failures: 5,
            stall_min: Millis(500),
            stall_max: Millis(5_000),
            base_duration: Millis(1_000),
            duration_max: Millis(30_000),
            ejected_milli: 340,
        }
    }
}

/// Settings of the quarantine of requests that crash upstreams.
#[derive(Debug, Clone, PartialEq)]
pub struct QuarantineSettings {
    /// How long a digest stays in quarantine.
    pub duration: Millis,
    /// How long a part of a prompt that has been answered before stays in quarantine.
    pub retest_interval: Millis,
    /// How long a digest stays a suspect after its first crash.
    pub suspect_ttl: Millis,
    /// The maximum number of suspect digests, and of digests in quarantine.
    pub digests_max: usize,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            duration: Millis(600_000),
            retest_interval: Millis(10_000),
            suspect_ttl: Millis(120_000),
            digests_max: 4_096,
        }
    }
}
