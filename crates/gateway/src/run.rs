//! Runs a gateway until it is told to stop.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use anyhow::Context;
use sardinepin_common::Millis;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::gateway::Gateway;
use crate::settings::{GatewaySettings, StopSettings};
use crate::store::GatewayStore;
use crate::{readiness, server, sync};

/// The time between two looks at whether all requests have ended.
const STOP_POLL_INTERVAL: Millis = Millis(50);

/// A gateway that takes requests.
#[derive(Debug)]
pub struct RunningGateway {
    gateway: Arc<Gateway>,
    closing: watch::Sender<bool>,
    stop: StopSettings,
    caller_address: SocketAddr,
    readiness_address: SocketAddr,
}

impl RunningGateway {
    /// Returns where callers connect.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns where readiness is asked for.
    #[must_use]
    pub fn readiness_address(&self) -> SocketAddr {
        self.readiness_address
    }

    /// Takes callers for a while, then waits for their requests to end.
    pub async fn stop(self) {
        let gateway = &self.gateway;
        log::info!(event = "stopping", open = gateway.open_requests(); "told to stop");
        let began = gateway.clock.now();
        gateway.start_draining();
        tokio::time::sleep(self.stop.drain_delay.duration()).await;
        self.closing.send_replace(true);
        while gateway.open_requests() > 0
            && gateway.clock.now().since(began) < self.stop.shutdown_timeout
        {
            tokio::time::sleep(STOP_POLL_INTERVAL.duration()).await;
        }
        // The last bytes of the last answer are still to be written.
        tokio::time::sleep(STOP_POLL_INTERVAL.duration()).await;
        log::info!(event = "stopped", open = gateway.open_requests(); "stopped");
    }
}

/// Starts a gateway, which follows `source` and takes requests as soon as it knows enough.
///
/// # Errors
///
/// Returns an error if the gateway cannot listen.
pub async fn start(
    settings: GatewaySettings,
    source: Arc<dyn GatewayStore>,
) -> anyhow::Result<RunningGateway> {
    let (gateway, crash_events) = Gateway::new(&settings);
    let callers = listen(settings.listen).await?;
    let (address, path) = settings.readiness.clone();
    let questions = listen(address).await?;
    let (closing, closed) = watch::channel(false);
    let running = RunningGateway {
        gateway: Arc::clone(&gateway),
        closing,
        stop: settings.stop,
        caller_address: callers.local_addr()?,
        readiness_address: questions.local_addr()?,
    };
    tokio::spawn(Arc::clone(&gateway.dispatcher).run());
    tokio::spawn(readiness::serve(Arc::clone(&gateway), questions, path));
    tokio::spawn(sync::follow_manifest(
        Arc::clone(&gateway),
        Arc::clone(&source),
        settings.sync,
    ));
    tokio::spawn(sync::follow_upstreams(
        Arc::clone(&gateway),
        Arc::clone(&source),
        settings.sync,
    ));
    tokio::spawn(sync::follow_crashes(
        Arc::clone(&gateway),
        Arc::clone(&source),
        settings.sync,
    ));
    tokio::spawn(sync::share_crashes(
        Arc::clone(&gateway),
        source,
        crash_events,
    ));
    tokio::spawn(server::serve(gateway, callers, closed));
    log::info!(event = "started", node = settings.name.as_str(), zone = settings.zone.as_str(); "gateway started");
    Ok(running)
}

async fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot listen on {address}"))
}

/// Runs a gateway until the process is told to stop.
///
/// # Errors
///
/// Returns an error if the gateway cannot listen.
pub async fn run(
    settings: GatewaySettings,
    source: Arc<dyn GatewayStore>,
) -> anyhow::Result<ExitCode> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let running = start(settings, source).await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => {
                log::info!(event = "reload"; "told that the settings have changed");
            }
        }
    }
    running.stop().await;
    Ok(ExitCode::SUCCESS)
}
