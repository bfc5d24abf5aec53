//! In-process nodes for the control plane tests.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use sardinepin::control::{Control, ControlSettings};
use sardinepin::options::{ClusterSettings, FaultInjectionSettings, KeySetting, PlatformSettings};
use sardinepin_common::{Clock, Incarnation, Millis, Revision};
use sardinepin_config::Snapshot;
use sardinepin_membership::{MemberStatus, MemberView};
use sardinepin_protocol::Role;
use sardinepin_store::{
    ConditionalWrite, Instance, InstanceState, MemoryStore, Precondition, Store,
};

/// The store key of the upstream that tests change.
pub const UPSTREAM_KEY: &str = "config/upstreams/u";

/// The maximum wait for a condition, far above what any test needs.
const TIMEOUT: Millis = Millis(120_000);

/// A node with a control plane of its own.
pub struct TestNode {
    pub control: Control,
    pub name: String,
    zone: usize,
    cut_file: PathBuf,
}

/// Nodes that share one store.
pub struct TestFleet {
    pub store: Arc<MemoryStore>,
    pub nodes: Vec<TestNode>,
}

impl TestNode {
    pub async fn start(
        id: usize,
        zones: usize,
        seeds: Vec<SocketAddr>,
        store: &Arc<MemoryStore>,
    ) -> Self {
        Self::start_with(id, zones, seeds, store, |_| {}).await
    }

    pub async fn start_with(
        id: usize,
        zones: usize,
        seeds: Vec<SocketAddr>,
        store: &Arc<MemoryStore>,
        adjust: impl FnOnce(&mut ControlSettings),
    ) -> Self {
        let incarnation = Incarnation(rand::random());
        let cut_file = std::env::temp_dir().join(format!("sardinepin-cut-{incarnation}"));
        let mut settings = ControlSettings {
            name: format!("node-{id}"),
            zone: format!("zone-{}", id % zones),
            role: Role::Entry,
            cluster: ClusterSettings {
                listen: SocketAddr::from(([127, 0, 0, 1], 0)),
                seeds,
                keys: vec![KeySetting {
                    number: 1,
                    secret: "a secret of the tests".to_owned(),
                }],
                round_ms: 100,
                faults: FaultInjectionSettings {
                    loss_milli: 50,
                    cut_file: Some(cut_file.clone()),
                },
                ..ClusterSettings::default()
            },
            platform: PlatformSettings {
                watch_ms: 500,
                ..PlatformSettings::default()
            },
        };
        adjust(&mut settings);
        let store: Arc<dyn Store> = Arc::<MemoryStore>::clone(store);
        let name = settings.name.clone();
        let control = Control::start(settings, Some(store), Clock::start(), incarnation)
            .await
            .unwrap();
        Self {
            control,
            name,
            zone: id % zones,
            cut_file,
        }
    }

    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.control.snapshots().borrow())
    }

    pub fn revision(&self) -> Revision {
        self.snapshot().revision()
    }

    pub fn address(&self) -> SocketAddr {
        self.control
            .members()
            .into_iter()
            .find(|member| member.name == self.name)
            .unwrap()
            .address
    }
}

impl Drop for TestNode {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.cut_file);
    }
}

impl TestFleet {
    /// Starts `count` nodes with a store that holds one service, and waits until all are ready.
    pub async fn start(count: usize, zones: usize) -> Self {
        let store = Arc::new(MemoryStore::new());
        let service = ConditionalWrite {
            key: "config/services/opptak",
            precondition: Precondition::Absent,
            write_id: "first",
            value: Some(r#"{"name":"opptak"}"#),
        };
        store.put(service).await.unwrap();
        let mut nodes: Vec<TestNode> = Vec::new();
        for id in 0..count {
            let seeds = nodes.first().map(TestNode::address).into_iter().collect();
            nodes.push(TestNode::start(id, zones, seeds, &store).await);
        }
        let fleet = Self { store, nodes };
        wait_until("all nodes are ready", || {
            fleet
                .nodes
                .iter()
                .all(|node| *node.control.readiness().borrow())
        })
        .await;
        fleet
    }

    /// Starts one more node, in the first zone.
    pub async fn add_node(&self, id: usize) -> TestNode {
        TestNode::start(id, 1, vec![self.nodes[0].address()], &self.store).await
    }

    pub async fn wait_until_all_alive(&self) {
        wait_until("all nodes see each other alive", || {
            self.nodes.iter().all(|node| {
                count_members(node, |member| member.status == MemberStatus::Alive)
                    == self.nodes.len()
            })
        })
        .await;
    }

    pub fn list_instance(&self, name: &str, address: &str) {
        self.store.set_instances(vec![Instance {
            name: name.to_owned(),
            role: Role::Agent,
            zone: "zone-0".to_owned(),
            address: address.to_owned(),
            state: InstanceState::Live,
        }]);
    }

    /// Cuts all links between a zone and the other zones.
    pub async fn cut_zone(&self, zone: usize) {
        let mut lines = String::new();
        for from in &self.nodes {
            let others = self
                .nodes
                .iter()
                .filter(|to| (to.zone == zone) != (from.zone == zone));
            for to in others {
                lines.push_str(&format!("{} {}\n", from.address(), to.address()));
            }
        }
        for node in &self.nodes {
            tokio::fs::write(&node.cut_file, &lines).await.unwrap();
        }
    }

    pub async fn restore_links(&self) {
        for node in &self.nodes {
            tokio::fs::remove_file(&node.cut_file).await.unwrap();
        }
    }
}

pub fn count_members(node: &TestNode, predicate: impl Fn(&MemberView) -> bool) -> usize {
    node.control
        .members()
        .iter()
        .filter(|member| predicate(member))
        .count()
}

/// Waits until a condition holds; panics after [`TIMEOUT`].
pub async fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let clock = Clock::start();
    while !condition() {
        assert!(
            clock.now() < TIMEOUT,
            "timed out waiting until {description}"
        );
        tokio::time::sleep(Millis(20).duration()).await;
    }
}
