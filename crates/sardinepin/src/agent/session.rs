//! Links from entries and other agents: reading frames, writing frames and sending load reports.

use std::sync::Arc;

use sardinepin_common::Millis;
use sardinepin_protocol::{FrameReader, FrameWriter, Role, ToAgent, ToEntry};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::agent::group::GroupEvent;
use crate::agent::reports::{self, LinkActivity};
use crate::agent::response::FrameSender;
use crate::agent::runner;
use crate::agent::state::{LinkId, SharedAgent};
use crate::link;

/// The delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Millis = Millis(50);

/// Accepts links; never returns.
pub(crate) async fn accept_links(agent: SharedAgent, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_link(Arc::clone(&agent), stream));
            }
            Err(error) => {
                log::warn!(event = "accept_failed", error:% = error; "cannot accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY.duration()).await;
            }
        }
    }
}

async fn serve_link(agent: SharedAgent, stream: TcpStream) {
    let pauses = agent.pauses.count();
    let link = match link::accept(stream, &agent.identity).await {
        Ok(link) => link,
        Err(error) => {
            log::warn!(event = "link_refused", error:% = error; "handshake failed; link refused");
            return;
        }
    };
    let (sender, frames) = mpsc::unbounded_channel();
    let is_entry = link.peer.role == Role::Entry;
    let (id, replaced) = match is_entry {
        true => agent.open_link(link.peer.incarnation, sender.clone()),
        // An agent opens several links, for claim queries and for its rank group, and sends no
        // attempts.
        false => (
            LinkId::of_agent(link.peer.incarnation),
            CancellationToken::new(),
        ),
    };
    log::info!(event = "link_up", peer = link.peer.name.as_str(); "link up");
    let activity = LinkActivity::default();
    tokio::select! {
        () = read_frames(&agent, id, pauses, &sender, &activity, link.reader) => {}
        () = agent.pauses.wait_for_more_than(pauses), if is_entry => {}
        () = write_frames(link.writer, frames) => {}
        () = reports::send_reports(&agent, &sender, &activity), if is_entry => {}
        () = replaced.cancelled() => {}
    }
    log::info!(event = "link_down", peer = link.peer.name.as_str(); "link down");
}

/// Reads frames until the link ends, or until the first frame after a pause of this process.
///
/// What entries sent before the end of a pause is outdated: they may have given up their links, and
/// with them what would cancel it. They ask about it over their next links.
async fn read_frames(
    agent: &SharedAgent,
    link: LinkId,
    pauses: u64,
    sender: &FrameSender,
    activity: &LinkActivity,
    mut reader: FrameReader,
) {
    loop {
        match link::receive(&mut reader).await {
            Ok(Some(frame)) => {
                if link.is_entry() && agent.pauses.count() != pauses {
                    return;
                }
                activity.record_frame(agent.clock.now());
                handle_frame(agent, link, pauses, sender, frame);
            }
            Ok(None) => return,
            Err(error) => {
                log::warn!(event = "link_broken", error:% = error; "cannot read from a link; closing it");
                return;
            }
        }
    }
}

fn handle_frame(
    agent: &SharedAgent,
    link: LinkId,
    pauses: u64,
    sender: &FrameSender,
    frame: ToAgent,
) {
    match frame {
        ToAgent::Run(attempt) => {
            if agent.admit(link, &attempt) {
                tokio::spawn(runner::run(Arc::clone(agent), attempt, pauses));
            }
        }
        ToAgent::Received { id, chunks, ended } => agent.acknowledge(id, chunks, ended),
        ToAgent::Cancel { id } => agent.cancel(id),
        ToAgent::Settle {
            id,
            agent: target_agent,
            chunks,
        } => agent.settle(link, id, target_agent, chunks),
        ToAgent::Ping => {
            let _ = sender.send(ToEntry::Pong);
        }
        ToAgent::AskClaim { ask, key, claimer } => {
            let state = agent.keys.answer_query(&key, claimer);
            let _ = sender.send(ToEntry::Claim { ask, state });
        }
        ToAgent::Group { group, payload } => {
            let _ = agent
                .group_events
                .send(GroupEvent::Message { group, payload });
        }
        ToAgent::Hello(_) => {}
    }
}

/// Writes frames and flushes whenever the queue is empty.
async fn write_frames(mut writer: FrameWriter, mut frames: mpsc::UnboundedReceiver<ToEntry>) {
    while let Some(frame) = frames.recv().await {
        if write_batch(&mut writer, &mut frames, frame).await.is_err() {
            return;
        }
    }
}

async fn write_batch(
    writer: &mut FrameWriter,
    frames: &mut mpsc::UnboundedReceiver<ToEntry>,
    first: ToEntry,
) -> anyhow::Result<()> {
    link::feed(writer, &first).await?;
    while let Ok(frame) = frames.try_recv() {
        link::feed(writer, &frame).await?;
    }
    link::flush(writer).await
}
