//! Tests of neighbourhoods.

use std::net::SocketAddr;
use std::sync::Arc;

use super::neighbourhoods;
use crate::engine::Member;

fn members(count: usize) -> Vec<Member> {
    let member = |rank: usize| Member {
        group: Arc::from("g0"),
        rank,
        engine: SocketAddr::from(([10, 0, 0, 1], 9)),
        zone: Arc::from(format!("zone-{}", rank % 5)),
        slots: 10,
    };
    (0..count).map(member).collect()
}

#[test]
fn a_coordinator_calls_few_members_of_a_large_group_and_each_member_few_others() {
    let members = members(96);
    let members: Vec<&Member> = members.iter().collect();
    let sets = neighbourhoods(&members, 40);
    assert_eq!(sets.len(), 10);
    let mut all: Vec<usize> = sets.iter().flat_map(|set| set.members(None)).collect();
    assert!(sets.iter().all(|set| set.members(None).len() <= 10));
    all.sort_unstable();
    assert_eq!(all, (0..96).collect::<Vec<_>>());
}

#[test]
fn a_small_group_is_called_directly() {
    let members = members(40);
    let members: Vec<&Member> = members.iter().collect();
    let sets = neighbourhoods(&members, 40);
    assert!(sets.iter().all(|set| set.members(None).len() == 1));
}

#[test]
fn another_member_passes_calls_on_after_one_that_did_not_reply_and_the_coordinator_itself_if_it_is_there()
 {
    let members = members(96);
    let members: Vec<&Member> = members.iter().collect();
    let sets = neighbourhoods(&members, 40);
    let set = &sets[3];
    let before = set.members(None);
    set.change_relay();
    assert_eq!(set.members(None)[0], before[1]);
    assert_eq!(set.members(Some(before[4]))[0], before[4]);
}
