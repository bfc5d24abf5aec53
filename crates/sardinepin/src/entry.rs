//! The role `entry`: accepts callers' requests, sends them to upstreams and returns the responses.

mod agent_link;
mod attempts;
mod balancer;
mod call;
mod evacuations;
mod follow;
mod links;
mod liveness;
mod peers;
mod quarantine;
mod responses;
mod server;
mod sse;
mod status;
mod upstream_ids;

use std::process::ExitCode;
use std::sync::Arc;

use anyhow::Context;
use sardinepin_common::Millis;
use sardinepin_protocol::Role;
use sardinepin_runtime::listen;

use crate::admin::ControlBackend;
use crate::entry::balancer::BalancerHandle;
use crate::entry::links::Links;
use crate::entry::quarantine::Quarantine;
use crate::entry::server::Entry;
use crate::entry::status::EntryStatus;
use crate::node::Node;
use crate::options::Settings;
use crate::stop::{self, Signals};

/// Runs an entry until it receives SIGTERM or SIGINT and returns its exit code.
///
/// After the first signal, the entry reports itself as not ready but still accepts requests for
/// `stop.grace_ms`, then finishes the open requests. A second signal ends it at once.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or the node cannot start.
pub async fn run(settings: Settings) -> anyhow::Result<ExitCode> {
    let mut signals = Signals::new()?;
    let listener = tokio::select! {
        listener = listen(settings.entry.listen) => listener,
        () = signals.recv() => return Ok(ExitCode::SUCCESS),
    };
    let listener = listener
        .with_context(|| format!("entry.listen: cannot listen on {}", settings.entry.listen))?;
    let address = listener.local_addr()?;
    let node = Node::start(&settings, Role::Entry).await?;
    let snapshots = node.control.snapshots();
    let (balancer, quarantined) = BalancerHandle::start(&settings, &node.identity, node.clock);
    let quarantine = Quarantine::start(
        balancer.clone(),
        node.store.clone(),
        quarantined,
        snapshots.clone(),
    );
    let links = Links::start(node.identity.clone(), balancer.clone(), snapshots.clone());
    let entries = peers::count_entries(Arc::clone(&node.control), balancer.clone());
    tokio::spawn(entries);
    let entry = Arc::new(Entry::new(settings, &node, balancer, links));
    let status = Arc::new(EntryStatus {
        entry: Arc::clone(&entry),
        quarantine,
    });
    let control = Arc::clone(&node.control);
    let backend = ControlBackend::new(&node.identity.name, control, status.clone());
    let admin = node.serve_admin(status, Some(Arc::new(backend))).await?;
    log::info!(
        event = "listening", role = "entry", address:% = address, admin:% = admin,
        cluster = node.cluster_address().as_str();
        "listening"
    );

    let server = tokio::spawn(server::serve(Arc::clone(&entry), listener));
    signals.recv().await;
    log::info!(event = "leaving"; "no longer ready; new requests are accepted during the grace period");
    entry.leave();
    node.control.leave();
    let drained = async {
        tokio::time::sleep(Millis(entry.settings.stop.grace_ms).duration()).await;
        entry.close();
        let _ = server.await;
    };
    let finished = tokio::select! {
        () = drained => true,
        () = signals.recv() => false,
    };
    Ok(stop::exit_code(finished, entry.open_requests()))
}
