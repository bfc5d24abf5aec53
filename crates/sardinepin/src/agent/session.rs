//! One link to an entry or another agent: a reader, a writer, and load reports.

use std::sync::Arc;

use sardinepin_common::Millis;
use sardinepin_config::{ServiceKind, Snapshot};
use sardinepin_protocol::{FrameReader, FrameWriter, Role, ToAgent, ToEntry};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::agent::answer::ToLink;
use crate::agent::group::GroupEvent;
use crate::agent::runner;
use crate::agent::state::{LinkId, SharedAgent};
use crate::link;

/// The wait after a failed accept, such as when no file descriptor is left.
const ACCEPT_PAUSE: Millis = Millis(50);

/// Accepts links for as long as the process lives.
pub(crate) async fn accept_all(agent: SharedAgent, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(Arc::clone(&agent), stream));
            }
            Err(error) => {
                log::warn!(event = "accept_failed", error:% = error; "cannot accept a link");
                tokio::time::sleep(ACCEPT_PAUSE.duration()).await;
            }
        }
    }
}

/// How many rounds an idle upstream lets pass between two load reports.
const IDLE_ROUNDS: u32 = 20;

async fn serve(agent: SharedAgent, stream: TcpStream) {
    let link = match link::accept(stream, &agent.identity).await {
        Ok(link) => link,
        Err(error) => {
            log::warn!(event = "link_refused", error:% = error; "a link was refused");
            return;
        }
    };
    let (sender, frames) = mpsc::unbounded_channel();
    let is_entry = link.peer.role == Role::Entry;
    let (id, replaced) = match is_entry {
        true => agent.open_link(link.peer.incarnation, sender.clone()),
        // An agent keeps several links, for questions and for its group; it runs nothing here.
        false => (
            LinkId::of_agent(link.peer.incarnation),
            CancellationToken::new(),
        ),
    };
    log::info!(event = "link_up", peer = link.peer.name.as_str(); "link up");
    tokio::select! {
        () = read(&agent, id, &sender, link.reader) => {}
        () = write(link.writer, frames) => {}
        () = report(&agent, &sender), if is_entry => {}
        () = replaced.cancelled() => {}
    }
    log::info!(event = "link_down", peer = link.peer.name.as_str(); "link down");
}

async fn read(agent: &SharedAgent, link: LinkId, sender: &ToLink, mut reader: FrameReader) {
    loop {
        match link::receive(&mut reader).await {
            Ok(Some(frame)) => take(agent, link, sender, frame),
            Ok(None) => return,
            Err(error) => {
                log::warn!(event = "link_broken", error:% = error; "a link broke");
                return;
            }
        }
    }
}

fn take(agent: &SharedAgent, link: LinkId, sender: &ToLink, frame: ToAgent) {
    match frame {
        ToAgent::Run(attempt) => {
            if agent.take(link, &attempt) {
                tokio::spawn(runner::run(Arc::clone(agent), attempt));
            }
        }
        ToAgent::Received { id, chunks, ended } => agent.received(id, chunks, ended),
        ToAgent::Cancel { id } => agent.cancel(id),
        ToAgent::Settle {
            id,
            agent: addressed,
            chunks,
        } => agent.settle(link, id, addressed, chunks),
        ToAgent::Ping => {
            let _ = sender.send(ToEntry::Pong);
        }
        ToAgent::AskClaim { ask, key, claimer } => {
            let state = agent.keys.asked(&key, claimer);
            let _ = sender.send(ToEntry::Claim { ask, state });
        }
        ToAgent::Group { group, payload } => {
            let _ = agent.group.send(GroupEvent::Message { group, payload });
        }
        ToAgent::Hello(_) => {}
    }
}

/// Writes frames, and flushes whenever none is waiting.
async fn write(mut writer: FrameWriter, mut frames: mpsc::UnboundedReceiver<ToEntry>) {
    while let Some(frame) = frames.recv().await {
        if write_waiting(&mut writer, &mut frames, frame)
            .await
            .is_err()
        {
            return;
        }
    }
}

async fn write_waiting(
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

async fn report(agent: &SharedAgent, sender: &ToLink) {
    let period = Millis(agent.settings.agent.report_ms);
    let mut last = agent.load();
    let mut idle_rounds = 0;
    let _ = sender.send(ToEntry::Load(last));
    loop {
        tokio::time::sleep(period.duration()).await;
        let load = agent.load();
        let busy = (load.running, load.waiting) != (0, 0) || load.running != last.running;
        idle_rounds += 1;
        // An idle upstream has little to say, and every entry would have to hear it.
        if busy || idle_rounds >= IDLE_ROUNDS {
            idle_rounds = 0;
            last = load;
            let _ = sender.send(ToEntry::Load(load));
        }
    }
}

/// Reads the load of a model engine for as long as the process lives.
pub(crate) async fn read_engine(agent: SharedAgent, snapshots: watch::Receiver<Arc<Snapshot>>) {
    let period = Millis(agent.settings.agent.report_ms);
    loop {
        tokio::time::sleep(period.duration()).await;
        if !is_model(&agent.identity.name, &snapshots.borrow()) {
            continue;
        }
        if let Some(load) = agent.upstream.load(period).await {
            agent.gauge.hear_engine(agent.clock.now(), load);
        }
    }
}

/// Returns whether the configuration has this upstream serve a model.
fn is_model(name: &str, snapshot: &Snapshot) -> bool {
    let upstream = snapshot.upstream(name);
    let service = upstream.and_then(|upstream| snapshot.service(&upstream.service));
    service.is_some_and(|service| service.kind == ServiceKind::Model)
}
