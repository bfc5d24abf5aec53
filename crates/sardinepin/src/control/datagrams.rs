//! Datagrams from other nodes, and the rounds in which this one speaks to them.

use std::net::SocketAddr;
use std::sync::Arc;

use rand::Rng as _;
use sardinepin_common::Millis;
use sardinepin_membership::{Input, Message};
use sardinepin_protocol::{decode, verify_datagram};

use super::state::{ControlState, count_datagram, count_dropped};

/// More than the longest datagram of the protocol, so that a longer one shows.
const BUFFER_BYTES: usize = 2_048;

/// The wait after the socket has failed.
const ERROR_DELAY: Millis = Millis(50);

/// Takes datagrams until the task is ended.
pub(super) async fn receive(state: Arc<ControlState>) {
    let Some(socket) = state.udp().map(Arc::clone) else {
        return;
    };
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => handle_datagram(&state, from, &buffer[..length]),
            // Such as a report that an earlier datagram found no listener.
            Err(_) => tokio::time::sleep(ERROR_DELAY.duration()).await,
        }
    }
}

fn handle_datagram(state: &Arc<ControlState>, from: SocketAddr, datagram: &[u8]) {
    let body = match verify_datagram(&state.keyring, datagram) {
        Ok(body) => body,
        Err(error) => return count_dropped(error.label()),
    };
    let Ok(mut message) = decode::<Message>(body) else {
        return count_dropped("malformed");
    };
    // A node that listens on every address does not know by which one it is reached.
    if message.sender.address.ip().is_unspecified() {
        message.sender.address.set_ip(from.ip());
    }
    if !state
        .faults
        .allows_link(message.sender.address, state.address)
    {
        return;
    }
    count_datagram("received", datagram.len());
    state.handle(Input::Received(Box::new(message)));
}

/// Begins a round whenever one is due, until the task is ended.
pub(super) async fn run_rounds(state: Arc<ControlState>) {
    let interval_ms = state.settings.cluster.round_ms;
    // Nodes that start together do not speak together.
    let offset = rand::rng().random_range(0..interval_ms.max(1));
    state.faults.reload_cut_links().await;
    state.tick();
    tokio::time::sleep(Millis(offset).duration()).await;
    let mut due = tokio::time::interval(Millis(interval_ms.max(1)).duration());
    due.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        due.tick().await;
        state.faults.reload_cut_links().await;
        state.tick();
    }
}
