//! Runs a gateway until it is told to stop.

use std::process::ExitCode;
use std::sync::Arc;

use anyhow::Context;
use sardinepin_common::Millis;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::gateway::Gateway;
use crate::settings::{GatewaySettings, StopSettings};
use crate::source::Source;
use crate::{readiness, server, sync};

/// The time between two looks at whether all requests have ended.
const STOP_POLL: Millis = Millis(50);

/// Runs a gateway until it is told to stop.
///
/// # Errors
///
/// Returns an error if the gateway cannot listen.
pub async fn run(settings: GatewaySettings, source: Arc<dyn Source>) -> anyhow::Result<ExitCode> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let gateway = Gateway::new(&settings);
    let callers = listen(settings.listen).await?;
    let (address, path) = settings.readiness.clone();
    let questions = listen(address).await?;
    let (closing, closed) = watch::channel(false);
    tokio::spawn(Arc::clone(&gateway.dispatch).run());
    tokio::spawn(readiness::serve(Arc::clone(&gateway), questions, path));
    tokio::spawn(sync::follow_manifest(
        Arc::clone(&gateway),
        Arc::clone(&source),
        settings.sync,
    ));
    tokio::spawn(sync::follow_upstreams(
        Arc::clone(&gateway),
        source,
        settings.sync,
    ));
    tokio::spawn(server::serve(Arc::clone(&gateway), callers, closed));
    log::info!(event = "started", node = settings.name.as_str(), zone = settings.zone.as_str(); "gateway started");
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => {
                log::info!(event = "reload"; "told that the settings have changed");
            }
        }
    }
    stop(&gateway, &closing, settings.stop).await;
    Ok(ExitCode::SUCCESS)
}

async fn listen(address: std::net::SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot listen on {address}"))
}

/// Takes callers for a while, then waits for their requests to end.
async fn stop(gateway: &Gateway, closing: &watch::Sender<bool>, settings: StopSettings) {
    log::info!(event = "stopping", open = gateway.open(); "told to stop");
    let began = gateway.clock.now();
    gateway.leave();
    tokio::time::sleep(settings.linger.duration()).await;
    closing.send_replace(true);
    while gateway.open() > 0 && gateway.clock.now().since(began) < settings.grace {
        tokio::time::sleep(STOP_POLL.duration()).await;
    }
    // The last bytes of the last answer are still to be written.
    tokio::time::sleep(STOP_POLL.duration()).await;
    log::info!(event = "stopped", open = gateway.open(); "stopped");
}
