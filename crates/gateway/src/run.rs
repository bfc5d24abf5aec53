//! Starts a gateway and shuts it down on a signal.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use anyhow::Context;
use sardinepin_common::Millis;
use sardinepin_decisions::StopPlan;
use sardinepin_runtime::{PauseWatch, listen};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::gateway::Gateway;
use crate::group_loads::follow_group_loads;
use crate::rank_agents::RankAgents;
use crate::settings::{GatewaySettings, StopSettings};
use crate::store::GatewayStore;
use crate::{readiness, server, sync, upstream_limits};

/// The interval at which shutdown checks whether all requests have ended.
const STOP_POLL_INTERVAL: Millis = Millis(50);

/// A gateway that accepts requests; dropping it closes the listener.
#[derive(Debug)]
pub struct RunningGateway {
    gateway: Arc<Gateway>,
    closing: watch::Sender<bool>,
    stop: StopSettings,
    caller_address: SocketAddr,
    readiness_address: SocketAddr,
}

impl RunningGateway {
    /// Returns the bound address of the caller listener.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the bound address of the readiness listener.
    #[must_use]
    pub fn readiness_address(&self) -> SocketAddr {
        self.readiness_address
    }

    /// Shuts down: reports not ready and accepts connections for the drain delay. Takes what ends before the shutdown timeout
    /// and refuses the rest. Ends once the last bytes of open requests have been written and no connection is in use any more.
    pub async fn stop(self) {
        let gateway = &self.gateway;
        log::info!(event = "stopping", open = gateway.open_requests(); "shutting down");
        let now = gateway.clock.now();
        let ends_at = now + self.stop.shutdown_timeout;
        gateway.begin_stop(StopPlan {
            accepts_until: now + self.stop.drain_delay,
            ends_at,
        });
        gateway.dispatcher.stop_holding();
        tokio::time::sleep(self.stop.drain_delay.duration()).await;
        self.closing.send_replace(true);
        // A request ends with the last part of its answer, which its caller may read much later.
        while gateway.open_requests() + gateway.open_connections() > 0
            && gateway.clock.now() < ends_at
        {
            tokio::time::sleep(STOP_POLL_INTERVAL.duration()).await;
        }
        log::info!(
            event = "stopped", open = gateway.open_requests(), connections = gateway.open_connections();
            "gateway stopped"
        );
    }
}

/// Starts a gateway that reads from `store` and serves requests once it has a configuration and the
/// upstream list.
///
/// # Errors
///
/// Returns an error if a listener cannot be bound.
pub async fn start(
    settings: GatewaySettings,
    store: Arc<dyn GatewayStore>,
) -> anyhow::Result<RunningGateway> {
    start_with_agents(settings, store, None).await
}

/// Starts a gateway like [`start`], which reads the loads of rank groups and gets permits from `agents`.
///
/// # Errors
///
/// Returns an error if a listener cannot be bound, or if the settings cannot keep a bound.
pub async fn start_with_agents(
    settings: GatewaySettings,
    store: Arc<dyn GatewayStore>,
    agents: Option<Arc<dyn RankAgents>>,
) -> anyhow::Result<RunningGateway> {
    settings.sync.check()?;
    let (gateway, crash_events) = Gateway::new(&settings);
    let callers = listen(settings.listen).await;
    let callers = callers.with_context(|| format!("cannot listen on {}", settings.listen))?;
    let (address, path) = settings.readiness.clone();
    let readiness_listener = listen(address).await;
    let readiness_listener =
        readiness_listener.with_context(|| format!("cannot listen on {address}"))?;
    let (closing, closed) = watch::channel(false);
    let running = RunningGateway {
        gateway: Arc::clone(&gateway),
        closing,
        stop: settings.stop,
        caller_address: callers.local_addr()?,
        readiness_address: readiness_listener.local_addr()?,
    };
    PauseWatch::start();
    tokio::spawn(Arc::clone(&gateway.dispatcher).run());
    tokio::spawn(readiness::serve(
        Arc::clone(&gateway),
        readiness_listener,
        path,
    ));
    tokio::spawn(sync::follow_manifest(
        Arc::clone(&gateway),
        Arc::clone(&store),
        settings.sync,
    ));
    tokio::spawn(sync::follow_upstreams(
        Arc::clone(&gateway),
        Arc::clone(&store),
        settings.sync,
    ));
    if let Some(evacuations) = settings.sync.evacuations {
        tokio::spawn(sync::follow_evacuations(
            Arc::clone(&gateway),
            Arc::clone(&store),
            settings.sync,
            evacuations,
        ));
    }
    tokio::spawn(sync::follow_crashes(
        Arc::clone(&gateway),
        Arc::clone(&store),
        settings.sync,
    ));
    tokio::spawn(sync::share_crashes(store, crash_events));
    tokio::spawn(upstream_limits::request_permits(
        Arc::clone(&gateway),
        agents.clone(),
    ));
    if let Some(agents) = agents {
        tokio::spawn(follow_group_loads(Arc::clone(&gateway), agents));
    }
    tokio::spawn(server::serve(gateway, callers, closed));
    log::info!(event = "started", node = settings.name.as_str(), zone = settings.zone.as_str(); "gateway started");
    Ok(running)
}

/// Runs a gateway until the process receives `SIGTERM`; `SIGHUP` is only logged.
///
/// # Errors
///
/// Returns an error if a listener cannot be bound.
pub async fn run(
    settings: GatewaySettings,
    store: Arc<dyn GatewayStore>,
    agents: Option<Arc<dyn RankAgents>>,
) -> anyhow::Result<ExitCode> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    // A start may wait for its addresses.
    let running = tokio::select! {
        running = start_with_agents(settings, store, agents) => running?,
        _ = terminate.recv() => return Ok(ExitCode::SUCCESS),
    };
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => {
                log::info!(event = "reload"; "received SIGHUP; nothing is reloaded");
            }
        }
    }
    running.stop().await;
    Ok(ExitCode::SUCCESS)
}
