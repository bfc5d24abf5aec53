//! Runs a rank agent until it is told to stop.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use anyhow::Context;
use sardinepin_common::Clock;
use sardinepin_runtime::listen;
use sardinepin_store::BoxFuture;
use tokio::signal::unix::{SignalKind, signal};

use crate::agent::Agent;
use crate::coordinator::{Coordinator, CoordinatorSettings};
use crate::engine::{Directory, EngineApi, ExpertShape};
use crate::peer;
use crate::policy::RankPolicy;

/// Settings of a rank agent.
#[derive(Debug, Clone)]
pub struct RankSettings {
    /// The name of the instance, for logs.
    pub name: String,
    /// The address of the engine on the same instance.
    pub engine: SocketAddr,
    /// The address on which coordinators connect; the port is the same on all instances.
    pub listen: SocketAddr,
    /// The policies and their parameters.
    pub policy: RankPolicy,
}

/// Runs a rank agent until it is told to stop.
///
/// `shape` resolves once the expert layers of the engine's service are known. Until then, or if it
/// resolves to `None`, the agent only replies to coordinators.
///
/// # Errors
///
/// Returns an error if the agent cannot listen or cannot install its signal handlers.
pub async fn run(
    settings: RankSettings,
    engines: Arc<dyn EngineApi>,
    directory: Arc<dyn Directory>,
    shape: BoxFuture<'static, Option<ExpertShape>>,
) -> anyhow::Result<ExitCode> {
    let mut terminate = signal(SignalKind::terminate())?;
    // Settings are read only at start, but SIGHUP must not terminate the process.
    let mut reload = signal(SignalKind::hangup())?;
    let listener = tokio::select! {
        listener = listen(settings.listen) => listener,
        _ = terminate.recv() => return Ok(ExitCode::SUCCESS),
    };
    let listener = listener.with_context(|| format!("cannot listen on {}", settings.listen))?;
    let agent = Arc::new(Agent::new(
        Clock::start(),
        Arc::clone(&engines),
        settings.engine,
    ));
    tokio::spawn(peer::serve(Arc::clone(&agent), listener));
    log::info!(event = "started", node = settings.name.as_str(), engine:% = settings.engine; "rank agent started");
    let lead = async {
        let Some(shape) = shape.await else {
            log::info!(event = "no_experts"; "the engine's service has no expert layers");
            return std::future::pending().await;
        };
        let settings = CoordinatorSettings {
            engine: settings.engine,
            peer_port: settings.listen.port(),
            shape,
            policy: settings.policy,
        };
        Coordinator::new(agent, engines, directory, settings)
            .run()
            .await;
    };
    let reloads = async {
        while reload.recv().await.is_some() {
            log::info!(event = "reload"; "reload signal ignored: settings are read only at start");
        }
    };
    tokio::select! {
        () = lead => {}
        () = reloads => {}
        _ = terminate.recv() => {}
    }
    log::info!(event = "stopped"; "stopped");
    Ok(ExitCode::SUCCESS)
}
