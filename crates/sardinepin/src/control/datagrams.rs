//! Datagrams from other nodes, and the rounds in which this one speaks to them.

use std::net::SocketAddr;
use std::sync::Arc;

use rand::Rng as _;
use sardinepin_common::Millis;
use sardinepin_membership::{Input, Message};
use sardinepin_protocol::{decode, verify_datagram};

use super::hub::{Hub, count, dropped};

/// More than the longest datagram of the protocol, so that a longer one shows.
const BUFFER: usize = 2_048;

/// The wait after the socket has failed.
const PAUSE: Millis = Millis(50);

/// Takes datagrams until the task is ended.
pub(super) async fn receive(hub: Arc<Hub>) {
    let Some(socket) = hub.udp().map(Arc::clone) else {
        return;
    };
    let mut buffer = vec![0; BUFFER];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => take(&hub, from, &buffer[..length]),
            // Such as a report that an earlier datagram found no listener.
            Err(_) => tokio::time::sleep(PAUSE.duration()).await,
        }
    }
}

fn take(hub: &Arc<Hub>, from: SocketAddr, datagram: &[u8]) {
    let body = match verify_datagram(&hub.keyring, datagram) {
        Ok(body) => body,
        Err(error) => return dropped(error.label()),
    };
    let Ok(mut message) = decode::<Message>(body) else {
        return dropped("malformed");
    };
    // A node that listens on every address does not know by which one it is reached.
    if message.sender.address.ip().is_unspecified() {
        message.sender.address.set_ip(from.ip());
    }
    if !hub.border.passes(message.sender.address, hub.address) {
        return;
    }
    count("received", datagram.len());
    hub.input(Input::Received(Box::new(message)));
}

/// Begins a round whenever one is due, until the task is ended.
pub(super) async fn rounds(hub: Arc<Hub>) {
    let round = hub.settings.cluster.round_ms;
    // Nodes that start together do not speak together.
    let offset = rand::rng().random_range(0..round.max(1));
    hub.border.reload().await;
    hub.tick();
    tokio::time::sleep(Millis(offset).duration()).await;
    let mut due = tokio::time::interval(Millis(round.max(1)).duration());
    due.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        due.tick().await;
        hub.border.reload().await;
        hub.tick();
    }
}
