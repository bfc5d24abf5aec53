//! Tests of the admission level that a coordinator decides for all gateways of its group.

use sardinepin_common::Millis;
use sardinepin_decisions::{AdmissionSettings, GroupAdmission, MemberState};
use sardinepin_protocol::{AdmissionLevel, GroupDemand};

const MEMBERS: usize = 4;
const SLOTS: u32 = 10;
const GATEWAYS: u32 = 37;

/// A group of which each member reports the same.
struct Group {
    admission: GroupAdmission,
    now: Millis,
    demand: GroupDemand,
}

impl Group {
    fn new() -> Self {
        Self {
            admission: GroupAdmission::new(AdmissionSettings::default()),
            now: Millis(10_000),
            demand: GroupDemand {
                arrived: vec![0; 3],
                ended: 0,
            },
        }
    }

    /// Observes the group for a while in which each member's gateways report this demand every 100 ms.
    fn run(
        &mut self,
        polls: usize,
        arrived: [u64; 3],
        ended: u64,
        load: u32,
    ) -> Option<AdmissionLevel> {
        let mut level = None;
        for _ in 0..polls {
            self.now = self.now + Millis(100);
            self.demand.add(&GroupDemand {
                arrived: arrived.to_vec(),
                ended,
            });
            level = self.observe(1, GATEWAYS, load, MEMBERS);
        }
        level
    }

    fn observe(
        &mut self,
        epoch: u64,
        gateways: u32,
        load: u32,
        reporting: usize,
    ) -> Option<AdmissionLevel> {
        let member = MemberState {
            load,
            slots: SLOTS,
            demand: Some(&self.demand),
        };
        let members: Vec<_> = (0..MEMBERS)
            .map(|index| (index < reporting).then_some(member))
            .collect();
        self.admission
            .observe(self.now, epoch, gateways, &members)
            .cloned()
    }
}

/// A level below the target would starve a group in lockstep, which completes more with more requests running.
#[test]
fn no_level_is_set_below_the_target() {
    let mut group = Group::new();
    assert_eq!(group.run(20, [20, 20, 20], 5, SLOTS - 1), None);
}

/// An overloaded group refused nobody in common, and its queues filled.
#[test]
fn an_overloaded_group_admits_what_it_completes_most_urgent_first() {
    let mut group = Group::new();
    let level = group.run(20, [2, 3, 5], 4, SLOTS).unwrap();
    assert_eq!(level.completed_per_s, 160);
    assert_eq!(level.admitted_per_s, 160);
    let shares = [level.share(0), level.share(1), level.share(2)];
    assert!(shares[0] > 0.99, "{shares:?}");
    assert!(
        shares[0] >= shares[1] && shares[1] > shares[2],
        "{shares:?}"
    );
    // A tenth of what is admitted goes to all priorities alike.
    assert!(shares[2] > 0.03, "{shares:?}");
    let admitted = 80.0 * shares[0] + 120.0 * shares[1] + 200.0 * shares[2];
    assert!((150.0..=160.0).contains(&admitted), "{admitted}");
    assert_eq!(level.share(9), level.share(2));
}

/// A level that stayed after a burst kept refusing callers whom the group could serve.
#[test]
fn the_level_ends_as_soon_as_the_demand_has_fallen() {
    let mut group = Group::new();
    assert!(group.run(20, [2, 3, 5], 4, SLOTS).is_some());
    assert!(group.run(20, [2, 3, 5], 4, SLOTS + 3).is_some());
    assert_eq!(group.run(5, [1, 1, 1], 4, SLOTS), None);
}

/// Load above the target drains; load below it is made up for.
#[test]
fn the_admitted_rate_brings_the_load_to_its_target() {
    let mut group = Group::new();
    let above = group.run(20, [9, 9, 9], 4, SLOTS + 2).unwrap();
    assert_eq!(above.admitted_per_s, 160 - 8);
    let below = group.run(1, [9, 9, 9], 4, SLOTS - 3).unwrap();
    assert_eq!(below.admitted_per_s, 160 + 12);
    let far_above = group.run(1, [9, 9, 9], 4, 3 * SLOTS).unwrap();
    assert_eq!(far_above.admitted_per_s, 160 + 40 - 120);
}

/// A level from the demand or the load of a part of the group would be wrong.
#[test]
fn an_incomplete_view_sets_no_level_and_ends_one_soon() {
    let mut group = Group::new();
    let level = group.run(20, [9, 9, 9], 4, SLOTS);
    group.now = group.now + Millis(100);
    assert_eq!(group.observe(1, GATEWAYS, SLOTS, MEMBERS - 1), level);
    group.now = group.now + Millis(400);
    assert_eq!(group.observe(1, GATEWAYS, SLOTS, MEMBERS - 1), None);
    // What an agent has heard while it did not report is no burst.
    group.demand.add(&GroupDemand {
        arrived: vec![90_000; 3],
        ended: 90_000,
    });
    let level = group.run(20, [9, 9, 9], 4, SLOTS).unwrap();
    assert_eq!(level.completed_per_s, 160);
}

/// A group that has just formed again is empty, whatever its members reported before.
#[test]
fn a_group_that_formed_again_has_no_level() {
    let mut group = Group::new();
    assert!(group.run(20, [9, 9, 9], 4, SLOTS).is_some());
    assert_eq!(group.observe(2, GATEWAYS, SLOTS, MEMBERS), None);
}

/// Deployments with few gateways are served as before.
#[test]
fn few_gateways_get_no_level() {
    let mut group = Group::new();
    assert!(group.run(20, [9, 9, 9], 4, SLOTS).is_some());
    assert!(group.observe(1, 12, SLOTS, MEMBERS).is_some());
    assert_eq!(group.observe(1, 11, SLOTS, MEMBERS), None);
}
