//! A deployment of real processes serves calls, and its processes can be killed and started again.

use std::net::SocketAddr;
use std::time::Duration;

use sardinepin_config::{Organisation, Service, ServiceKind};
use sardinepin_standins::fleet::{Deployment, Fleet, FleetOptions};
use sardinepin_standins::load::{self, CallMix, Settings};
use sardinepin_standins::plain::Counts;

const CALLS: u64 = 60;

/// How long the deployment may take to serve, far beyond what it needs.
const SERVES_WITHIN: Duration = Duration::from_secs(60);

fn plan() -> FleetOptions {
    let plain = Service {
        name: "bookings".to_owned(),
        paths: vec!["/plain".to_owned()],
        ..Service::default()
    };
    let model = Service {
        name: "tutor".to_owned(),
        kind: ServiceKind::Model,
        paths: vec!["/v1/".to_owned()],
        models: vec!["tutor".to_owned()],
        ..Service::default()
    };
    let mut deployment = Deployment::default()
        .with_service(plain, 1, &["zone-a"])
        .with_service(model, 2, &["zone-b"])
        .with_group("tutors", "tutor");
    deployment.organisations.push(Organisation {
        name: "voss".to_owned(),
        ..Organisation::default()
    });
    FleetOptions {
        deployment,
        entries: 1,
        journals: true,
        ..FleetOptions::default()
    }
}

fn settings(entries: Vec<SocketAddr>, requests: u64) -> Settings {
    Settings {
        entries,
        requests,
        organisations: vec!["voss".to_owned()],
        model: "tutor".to_owned(),
        mix: CallMix {
            keyed: 0,
            ..CallMix::default()
        },
        ..Settings::default()
    }
}

/// Sends calls until all of a round are answered.
async fn serve(fleet: &Fleet) -> u64 {
    let mut answered = 0;
    loop {
        let report = load::run(settings(fleet.entry_addresses(), CALLS)).await;
        let report = report.expect("a report");
        assert_eq!(report.wrong, 0, "{report:?}");
        answered += report
            .latency_ms
            .get("plain")
            .map_or(0, |times| times.count);
        if report.answered == CALLS {
            return answered;
        }
    }
}

#[tokio::test]
async fn calls_are_served_and_counts_outlive_a_kill() {
    let mut fleet = Fleet::start(plan()).await.unwrap();
    let round = tokio::time::timeout(SERVES_WITHIN, serve(&fleet));
    let answered = round.await.expect("the deployment serves");
    fleet.restart_upstream(0).await.unwrap();
    let upstream = fleet.upstreams[0].address();
    let counts: Counts = fleet.client.get_json(upstream, "/counts").await.unwrap();
    assert_eq!(counts.total, answered, "{}", fleet.recent_output());
    fleet.restart_agent(1).await.unwrap();
    fleet.restart_upstream(2).await.unwrap();
    let round = tokio::time::timeout(SERVES_WITHIN, serve(&fleet));
    round.await.expect("the deployment serves again");
    let ended = fleet.stop().await.unwrap();
    let all_well = ended.iter().all(|(_, status)| status.success());
    assert!(all_well, "{ended:?}");
}
