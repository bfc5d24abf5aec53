//! Receives datagrams from other nodes and runs the gossip rounds of this node.

use std::net::SocketAddr;
use std::sync::Arc;

use rand::Rng as _;
use sardinepin_common::Millis;
use sardinepin_membership::{Input, Message};
use sardinepin_protocol::{decode, verify_datagram};

use super::state::{ControlState, count_datagram, count_dropped};

/// Larger than the protocol's longest datagram, so that an oversized one is detected.
const BUFFER_BYTES: usize = 2_048;

/// The delay after a socket error.
const ERROR_DELAY: Millis = Millis(50);

/// Receives datagrams until the task is aborted.
pub(super) async fn receive(state: Arc<ControlState>) {
    let Some(socket) = state.udp().map(Arc::clone) else {
        return;
    };
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => handle_datagram(&state, from, &buffer[..length]),
            // For example, an ICMP error: an earlier datagram of this node found no listener.
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
    // A node that listens on all addresses does not know the one at which others reach it.
    if message.sender.address.ip().is_unspecified() {
        message.sender.address.set_ip(from.ip());
    }
    if !state
        .fault_injector
        .allows_link(message.sender.address, state.address)
    {
        return;
    }
    count_datagram("received", datagram.len());
    state.handle(Input::Received(Box::new(message)));
}

/// Starts a round at every interval until the task is aborted.
pub(super) async fn run_rounds(state: Arc<ControlState>) {
    let interval_ms = state.settings.cluster.round_ms;
    // A random offset, so that nodes that start together do not send at the same time.
    let offset = rand::rng().random_range(0..interval_ms.max(1));
    state.fault_injector.reload_cut_links().await;
    state.tick();
    tokio::time::sleep(Millis(offset).duration()).await;
    let mut due = tokio::time::interval(Millis(interval_ms.max(1)).duration());
    due.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        due.tick().await;
        state.fault_injector.reload_cut_links().await;
        state.tick();
    }
}
