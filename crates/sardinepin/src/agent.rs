//! The `agent` role: receives attempts from entries and sends them to its one upstream.

mod claims;
mod group;
mod idempotency_keys;
mod load;
mod reports;
mod response;
mod runner;
mod session;
mod slots;
mod state;
mod upstream;

use std::process::ExitCode;
use std::sync::Arc;

use anyhow::Context;
use sardinepin_common::Millis;
use sardinepin_protocol::Role;
use sardinepin_runtime::listen;
use tokio::sync::mpsc;

use crate::node::Node;
use crate::options::Settings;
use crate::stop::{self, Signals};
use state::Agent;

/// The interval at which closed links and expired attempts, responses and keys are removed.
const SWEEP_INTERVAL: Millis = Millis(500);

/// Runs an agent until it is told to stop, then waits for its open attempts and responses.
///
/// # Errors
///
/// Returns an error if the agent cannot bind its address or start the node.
pub async fn run(settings: Settings) -> anyhow::Result<ExitCode> {
    let mut signals = Signals::new()?;
    let listener = tokio::select! {
        listener = listen(settings.agent.listen) => listener,
        () = signals.recv() => return Ok(ExitCode::SUCCESS),
    };
    let listener = listener
        .with_context(|| format!("agent.listen: cannot listen on {}", settings.agent.listen))?;
    let address = listener.local_addr()?;
    let node = Node::start(&settings, Role::Agent).await?;
    let (group_events, group_inbox) = mpsc::unbounded_channel();
    let agent = Arc::new(Agent::new(settings, &node, address, group_events.clone()));
    let admin = node.serve_admin(agent.clone(), None).await?;
    log::info!(
        event = "listening", role = "agent", address:% = address, admin:% = admin,
        cluster = node.cluster_address().as_str();
        "listening"
    );

    tokio::spawn(session::accept_links(Arc::clone(&agent), listener));
    tokio::spawn(sweep_periodically(Arc::clone(&agent)));
    tokio::spawn(claims::sweep::run(
        Arc::clone(&node.control),
        node.identity.name.clone(),
        Millis(agent.settings.agent.claim_keep_ms),
    ));
    let snapshots = node.control.snapshots();
    tokio::spawn(reports::poll_engine(Arc::clone(&agent), snapshots));
    tokio::spawn(group::run(
        Arc::clone(&agent),
        group_events,
        group_inbox,
        node.control.snapshots(),
    ));
    signals.recv().await;

    agent.leave();
    log::info!(event = "leaving"; "stopping; new attempts are refused");
    node.control.leave();
    let finished = stop::until_done(&mut signals, || agent.is_idle()).await;
    Ok(stop::exit_code(finished, agent.open_count()))
}

async fn sweep_periodically(agent: Arc<Agent>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL.duration()).await;
        agent.sweep();
    }
}
