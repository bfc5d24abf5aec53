//! Settings of a balancer.

use std::fmt;
use std::str::FromStr;

use sardinepin_common::Millis;

/// How requests are admitted and routed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Policy {
    /// Fair admission, adaptive limits and routing by load.
    #[default]
    Sardinepin,
    /// Each upstream in turn; a baseline.
    RoundRobin,
    /// The upstream with the fewest attempts of this entry; a baseline.
    LeastInFlight,
}

/// The name of a policy that does not exist.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownPolicy(pub String);

impl fmt::Display for UnknownPolicy {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "'{}' is no policy; sardinepin, round_robin and least_in_flight are",
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

/// Settings of a balancer.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// How requests are admitted and routed.
    pub policy: Policy,
    /// The availability zone of the entry.
    pub zone: String,
    /// The seed of the random source.
    pub seed: u64,
    /// The time between two ticks, in milliseconds.
    pub tick_ms: u64,
    /// The most attempts for one request.
    pub attempts_max: u32,
    /// The queue of each class and organisation.
    pub queue: QueueSettings,
    /// The limits on each upstream.
    pub concurrency: ConcurrencySettings,
    /// The choice of an upstream.
    pub routing: RoutingSettings,
    /// Ejection of upstreams that fail or stall.
    pub ejection: EjectionSettings,
    /// Requests that crash upstreams.
    pub quarantine: QuarantineSettings,
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
        }
    }
}

/// Settings of the queues.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueSettings {
    /// The most requests of one class that wait, for each service.
    pub class_max: usize,
    /// The most requests of one organisation that wait in one class.
    pub organisation_max: usize,
    /// The longest wait that a request is queued for, unless half its service time is longer.
    pub wait_max: Millis,
    /// How many urgent requests go ahead of others before one of those has its turn.
    pub urgent_streak: u32,
    /// How long requests wait for an upstream to come back when none is left.
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

/// Settings of the limit on each upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct ConcurrencySettings {
    /// The attempts in flight that a new or returned upstream starts with.
    pub initial: u32,
    /// The most attempts in flight on one upstream.
    pub max: u32,
    /// The shortest time between two changes of a limit.
    pub window: Millis,
    /// The most attempts in flight on one upstream under a baseline policy.
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

/// Settings of the choice of an upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingSettings {
    /// The age from which a load report is no longer trusted.
    pub report_ttl: Millis,
    /// The largest number of upstreams that are all looked at; of more, some are drawn.
    pub scan_max: usize,
    /// How many upstreams are drawn.
    pub sample_size: usize,
    /// How much more than the mean load an upstream may bear for the sake of its cache, as a factor.
    pub affinity_factor: f32,
    /// The most prefixes remembered for each service.
    pub prefixes_max: usize,
    /// How long a rank group takes to be fully used again after a member was slow or gone.
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

/// Settings of ejection.
#[derive(Debug, Clone, PartialEq)]
pub struct EjectionSettings {
    /// How many failures in a row eject an upstream.
    pub consecutive_failures: u32,
    /// The shortest time without a sign of progress after which an upstream counts as stalled.
    pub stall_min: Millis,
    /// The longest such time.
    pub stall_max: Millis,
    /// How long the first ejection lasts; each further one lasts twice as long.
    pub base_duration: Millis,
    /// The longest ejection.
    pub duration_max: Millis,
    /// The largest share of a zone's upstreams of a service that is ejected at once, in thousandths.
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

/// Settings of the handling of requests that crash upstreams.
#[derive(Debug, Clone, PartialEq)]
pub struct QuarantineSettings {
    /// How long a digest stays in quarantine.
    pub duration: Millis,
    /// How long a digest stays under suspicion after the last crash.
    pub suspect_ttl: Millis,
    /// The most digests under suspicion, and the most in quarantine.
    pub digests_max: usize,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            duration: Millis(600_000),
            suspect_ttl: Millis(120_000),
            digests_max: 4_096,
        }
    }
}
