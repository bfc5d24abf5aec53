//! Tests a deployment of real processes: it serves calls, also after processes are killed and
//! restarted.

use std::net::SocketAddr;
use std::time::Duration;

use sardinepin_config::{Organisation, Service, ServiceKind};
use sardinepin_standins::fleet::{Deployment, Fleet, FleetOptions};
use sardinepin_standins::load::{self, CallMix, Settings};
use sardinepin_standins::plain::Counts;

/// The number of calls in a round.
const CALLS: u64 = 60;

/// The time limit for one successful round of calls; a working deployment needs far less.
const SERVE_TIMEOUT: Duration = Duration::from_secs(60);

fn fleet_options() -> FleetOptions {
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

/// Sends rounds of calls until all calls of a round are answered; returns the number of answered
/// plain calls in all rounds.
async fn call_until_served(fleet: &Fleet) -> u64 {
    let mut answered = 0;
    loop {
        let report = load::run(settings(fleet.entry_addresses(), CALLS)).await;
        let report = report.expect("the load run completes");
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
async fn calls_are_served_and_run_counts_survive_a_kill() {
    let mut fleet = Fleet::start(fleet_options()).await.unwrap();
    let round = tokio::time::timeout(SERVE_TIMEOUT, call_until_served(&fleet));
    let answered = round.await.expect("the deployment serves");
    fleet.restart_upstream(0).await.unwrap();
    let upstream = fleet.upstreams[0].address();
    let counts: Counts = fleet.client.get_json(upstream, "/counts").await.unwrap();
    assert_eq!(counts.total, answered, "{}", fleet.recent_output());
    fleet.restart_agent(1).await.unwrap();
    fleet.restart_upstream(2).await.unwrap();
    let round = tokio::time::timeout(SERVE_TIMEOUT, call_until_served(&fleet));
    round.await.expect("the deployment serves again");
    let ended = fleet.stop().await.unwrap();
    let all_succeeded = ended.iter().all(|(_, status)| status.success());
    assert!(all_succeeded, "{ended:?}");
}
