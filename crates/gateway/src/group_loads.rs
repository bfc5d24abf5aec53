//! Reads the loads of rank groups from their agents.

use std::net::SocketAddr;
use std::sync::Arc;

use sardinepin_common::{Map, Millis, rendezvous_order};
use sardinepin_decisions::direct::GroupMembers;

use crate::admission_report::LevelReport;
use crate::gateway::Gateway;
use crate::rank_agents::RankAgents;

/// The interval between two queries about one group.
const QUERY_INTERVAL: Millis = Millis(100);

/// The additional interval for each group, so that many groups do not cost more than a few.
const INTERVAL_PER_GROUP: Millis = Millis(17);

/// The interval at which groups that were added to the list are noticed.
const GROUPS_INTERVAL: Millis = Millis(500);

/// How many queries go to other agents before the closest agent is tried again.
const QUERIES_PER_ROUND: usize = 100;

/// Queries each listed group until the process ends.
pub(crate) async fn follow_group_loads(gateway: Arc<Gateway>, agents: Arc<dyn RankAgents>) {
    let identity = gateway.identity;
    let mut tasks: Map<Arc<str>, tokio::task::JoinHandle<()>> = Map::default();
    loop {
        for group in gateway.group_members() {
            let is_followed = tasks
                .get(&group.name)
                .is_some_and(|task| !task.is_finished());
            if !is_followed {
                let name = Arc::clone(&group.name);
                let follow =
                    follow_group(Arc::clone(&gateway), Arc::clone(&agents), name, identity);
                tasks.insert(group.name, tokio::spawn(follow));
            }
        }
        tokio::time::sleep(GROUPS_INTERVAL.duration()).await;
    }
}

/// Queries one group until it is not listed any more.
async fn follow_group(
    gateway: Arc<Gateway>,
    agents: Arc<dyn RankAgents>,
    name: Arc<str>,
    identity: u64,
) {
    let mut position = 0;
    let mut queries = 0;
    let mut report = LevelReport::new(Arc::clone(&name));
    loop {
        let groups = gateway.group_members();
        let interval = QUERY_INTERVAL.max(Millis(INTERVAL_PER_GROUP.0 * groups.len() as u64));
        let Some(group) = groups.into_iter().find(|group| group.name == name) else {
            return;
        };
        let engines = by_distance(&group, &gateway.zone, identity);
        if let Some(engine) = engines.get(position % engines.len().max(1)) {
            let demand = gateway.take_demand(&name);
            match agents.load(*engine, identity, demand.clone()).await {
                Some(load) if load.group == name => gateway.record_group_load(&load),
                _ => {
                    gateway.restore_demand(&name, &demand);
                    position += 1;
                }
            }
            report.update(gateway.admission_level(&name));
        }
        queries += 1;
        if queries % QUERIES_PER_ROUND == 0 {
            position = 0;
        }
        tokio::time::sleep(interval.duration()).await;
    }
}

/// Returns the engines of a group, those in the zone of the gateway first, otherwise in an order that
/// differs between gateways.
fn by_distance(group: &GroupMembers, zone: &str, identity: u64) -> Vec<SocketAddr> {
    let engines: Vec<SocketAddr> = group.members.iter().map(|(engine, _)| *engine).collect();
    let order = rendezvous_order(&identity, &engines);
    let is_near = |index: &usize| *group.members[*index].1 == *zone;
    let (near, far): (Vec<usize>, Vec<usize>) = order.into_iter().partition(is_near);
    let nearest_first = near.into_iter().chain(far);
    nearest_first.map(|index| engines[index]).collect()
}
