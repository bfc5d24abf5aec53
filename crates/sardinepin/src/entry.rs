//! The role `entry`: takes requests from callers and follows each to its end.

mod answers;
mod call;
mod core;
mod directory;
mod flight;
mod follow;
mod links;
mod server;
mod sse;
mod uplink;
mod watcher;

use std::process::ExitCode;
use std::sync::Arc;

use anyhow::Context;
use sardinepin_common::Clock;
use sardinepin_protocol::Role;
use tokio::net::TcpListener;

use crate::entry::core::Core;
use crate::entry::links::Links;
use crate::entry::server::Entry;
use crate::link::Identity;
use crate::options::Settings;
use crate::stop::{self, Signals};

/// Runs an entry until it is told to stop.
///
/// # Errors
///
/// Returns an error if the entry cannot listen.
pub async fn run(settings: Settings) -> anyhow::Result<ExitCode> {
    let mut signals = Signals::new()?;
    let listener = TcpListener::bind(settings.entry.listen)
        .await
        .with_context(|| format!("entry.listen: cannot listen on {}", settings.entry.listen))?;
    let address = listener.local_addr()?;
    let clock = Clock::start();
    let identity = Identity::new(Role::Entry, &settings.name, &settings.zone);

    let snapshot = watcher::start(&settings.platform);
    let core = Core::start(&settings, &identity, clock);
    let links = Links::start(identity.clone(), core.clone(), snapshot.clone());
    let entry = Arc::new(Entry::new(settings, identity, clock, core, links, snapshot));
    log::info!(event = "listening", role = "entry", address:% = address; "listening");

    let server = tokio::spawn(server::serve(Arc::clone(&entry), listener));
    signals.first().await;
    log::info!(event = "leaving"; "not ready; new requests are still taken for a while");
    entry.leave();
    let drained = async {
        tokio::time::sleep(std::time::Duration::from_millis(
            entry.settings.stop.grace_ms,
        ))
        .await;
        entry.close();
        let _ = server.await;
    };
    let finished = tokio::select! {
        () = drained => true,
        () = signals.first() => false,
    };
    Ok(stop::exit_code(finished, entry.open()))
}
