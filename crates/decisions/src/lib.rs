//! Admission, routing, limits, retries and quarantine, without I/O.
//!
//! A [`Balancer`] takes [`Event`]s and the current time and returns [`Effect`]s, which the entry
//! carries out.

mod affinity;
mod answer_end;
mod answer_status;
mod answer_times;
mod attempts;
mod balancer;
mod baseline;
mod claims;
mod classes;
mod cold_bound;
mod concurrency_limit;
mod culprits;
mod estimate;
mod event_sequence;
mod events;
mod fair_queue;
mod fleet;
mod follow;
mod group_admission;
mod health;
mod heard_limit;
mod limit_bucket;
mod node_count;
mod pending;
mod permit_allocator;
mod pool;
mod rank_groups;
mod rate_limits;
mod retry_budget;
mod routing;
mod scheduler;
mod settings;
mod stop_plan;
mod suspects;
mod token_bucket;
mod upstream;
mod withdrawal;

pub mod direct;

pub use answer_end::{AnswerEnd, EndedAnswer, Framing, ProcessState};
pub use answer_status::AskedAnswer;
pub use answer_times::AnswerTimes;
pub use attempts::{
    AttemptAdmission, AttemptEvent, AttemptMachine, AttemptSettings, AttemptState, AttemptTable,
};
pub use balancer::Balancer;
pub use claims::{
    CachedResponse, ClaimSettings, ClaimStep, ClaimTable, KeyEvent, KeyMachine, KeyState,
    StoredClaim,
};
pub use cold_bound::{ColdBound, ColdRule};
pub use culprits::{
    Admission, CrashEvidence, Culprit, CulpritFinder, CulpritSettings, DoubtfulParts, ProbeClaim,
    Traits,
};
pub use event_sequence::{EventOrder, EventSequence, PushedEvents, StreamFault, StreamHead};
pub use events::{
    Arrival, AttemptEnd, Effect, Event, RequestNumber, ServiceInfo, UpstreamId, UpstreamInfo,
};
pub use follow::{FollowAction, FollowEvent, FollowMachine};
pub use group_admission::{AdmissionSettings, GroupAdmission, MemberState};
pub use heard_limit::{HeardLimit, LimitNotice};
pub use limit_bucket::LimitBucket;
pub use node_count::NodeCount;
pub use permit_allocator::PermitAllocator;
pub use retry_budget::{BudgetSettings, BudgetStatus, RetryBudget};
pub use settings::{
    ConcurrencySettings, EjectionSettings, Policy, QuarantineSettings, QueueSettings,
    RoutingSettings, Settings, UnknownPolicy,
};
pub use stop_plan::{RequestTime, StopPlan};
pub use token_bucket::{BucketSize, TokenBucket};
pub use withdrawal::Withdrawal;
