//! Tests that replay load at and above capacity against the model of a deployment.

use crate::fleet::burst::{BurstPolicy, Pattern, simulate_burst};
use crate::fleet::policies::{POLICIES, Policy};
use crate::fleet::simulation::simulate;
use crate::fleet::workload::{Workload, WorkloadSettings};

/// Asserts that the product answers more calls whole and in time than each other policy.
fn assert_best(size: usize, load: f64) {
    let settings = WorkloadSettings {
        seed: 1,
        seconds: 4,
        size,
        load,
        outage_ms: 0,
    };
    let workload = Workload::generate(&settings).expect("the load is above 0");
    let good = |policy| simulate(&settings, &workload, policy).good;
    let product = good(Policy::Product);
    for policy in POLICIES
        .into_iter()
        .filter(|policy| *policy != Policy::Product)
    {
        let other = good(policy);
        assert!(
            product > other,
            "{product} of the product, {other} of {} at size {size} and load {load}",
            policy.name(),
        );
    }
}

#[test]
fn the_product_serves_most_calls_in_time_at_capacity() {
    assert_best(4, 1.0);
}

#[test]
fn the_product_serves_most_calls_in_time_above_capacity() {
    assert_best(4, 1.6);
}

/// If each gateway took the emptiest of many groups, all would take the same one until its next
/// report.
#[test]
fn the_product_serves_most_calls_in_time_on_many_groups() {
    assert_best(12, 0.8);
}

/// Gateways that each went by their own estimates sent 2.6 times what the ranks complete: their queues rejected more than a quarter of
/// all arrivals, callers gave up, and the most urgent requests were served worst.
#[test]
fn the_admission_level_keeps_the_queues_of_ranks_short_in_a_burst() {
    for pattern in [Pattern::Burst, Pattern::OneOrganisation] {
        let level = simulate_burst(1, pattern, BurstPolicy::AdmissionLevel);
        assert!(level.rejected < 0.02 && level.abandoned < 0.03, "{level:?}");
        assert!(
            level.good.is_sorted_by(|one, other| one >= other),
            "{level:?}"
        );
        // Neither all nor nothing: the group stays near its slots.
        assert!(level.fill.0 > 0.85 && level.fill.1 < 1.2, "{level:?}");
        let before = simulate_burst(1, pattern, BurstPolicy::OwnEstimates);
        assert!(before.rejected > 0.2, "{before:?}");
        assert!(
            level.good_per_s > 1.5 * before.good_per_s,
            "{level:?} {before:?}"
        );
        assert!(
            level.recovery_ms < before.recovery_ms,
            "{level:?} {before:?}"
        );
    }
}

/// Demand that the group can serve, though one zone has 70% more, must be served as before.
#[test]
fn the_admission_level_refuses_nothing_below_capacity() {
    let level = simulate_burst(1, Pattern::Zone, BurstPolicy::AdmissionLevel);
    assert!(level.refused < 0.001 && level.good_all > 0.99, "{level:?}");
}
