//! The link to one agent: connected again whenever it is lost.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sardinepin_common::{AttemptId, Clock, Incarnation, Millis};
use sardinepin_decisions::{Event, UpstreamId};
use sardinepin_protocol::{Attempt, FrameReader, FrameWriter, Load, ToAgent, ToEntry};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::entry::core::Core;
use crate::entry::flight::{Flights, FromLink};
use crate::entry::silence::{Look, Silence};
use crate::link::{self, Identity, Link};

/// The wait before the first new try to connect.
const RECONNECT_MIN: Millis = Millis(20);

/// The longest wait between two tries to connect.
const RECONNECT_MAX: Millis = Millis(1_000);

/// The time between two looks at whether a link is silent.
const SILENCE_POLL: Millis = Millis(250);

/// What a link shows of its upstream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sight {
    pub(crate) linked: bool,
    pub(crate) leaving: bool,
    /// The last load report and the time since it came.
    pub(crate) load: Option<(Millis, Load)>,
}

/// What an agent has said of its upstream.
#[derive(Debug, Clone, Copy, Default)]
struct Seen {
    leaving: bool,
    load: Option<(Millis, Load)>,
}

/// The link to one agent.
#[derive(Debug, Clone)]
pub(crate) struct Uplink {
    shared: Arc<Shared>,
    commands: mpsc::UnboundedSender<ToAgent>,
}

#[derive(Debug)]
struct Shared {
    upstream: UpstreamId,
    name: String,
    address: SocketAddr,
    identity: Identity,
    core: Core,
    clock: Clock,
    flights: Flights,
    agent: Mutex<Option<Incarnation>>,
    seen: Mutex<Seen>,
    closed: CancellationToken,
}

impl Uplink {
    /// Starts connecting to the agent at `address`.
    pub(crate) fn start(
        upstream: UpstreamId,
        name: &str,
        address: SocketAddr,
        identity: Identity,
        core: Core,
    ) -> Self {
        let (commands, receiver) = mpsc::unbounded_channel();
        let shared = Arc::new(Shared {
            upstream,
            name: name.to_owned(),
            address,
            identity,
            core,
            clock: Clock::start(),
            flights: Flights::default(),
            agent: Mutex::new(None),
            seen: Mutex::default(),
            closed: CancellationToken::new(),
        });
        tokio::spawn(keep_up(Arc::clone(&shared), receiver));
        Self { shared, commands }
    }

    /// Returns the upstream's name.
    pub(crate) fn name(&self) -> &str {
        &self.shared.name
    }

    /// Returns what the link shows.
    pub(crate) fn sight(&self) -> Sight {
        let seen = *self.shared.seen();
        let now = self.shared.clock.now();
        Sight {
            linked: self.shared.agent().is_some(),
            leaving: seen.leaving,
            load: seen.load.map(|(at, load)| (now.since(at), load)),
        }
    }

    /// Returns the agent's address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Ends the link for good, once nothing is under way on it.
    pub(crate) fn close_when_idle(&self) {
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            while !shared.flights.is_empty() {
                tokio::time::sleep(SILENCE_POLL.duration()).await;
            }
            shared.closed.cancel();
        });
    }

    /// Queues an attempt; `None` if the link is down, so that no byte of it leaves.
    pub(crate) fn run(
        &self,
        attempt: Attempt,
    ) -> Option<(Incarnation, mpsc::UnboundedReceiver<FromLink>)> {
        let agent = self.shared.agent()?;
        let receiver = self.shared.flights.enter(attempt.id);
        let _ = self.commands.send(ToAgent::Run(Box::new(attempt)));
        Some((agent, receiver))
    }

    /// Queues a frame about an attempt.
    pub(crate) fn tell(&self, frame: ToAgent) {
        let _ = self.commands.send(frame);
    }

    /// Forgets an attempt that has ended.
    pub(crate) fn forget(&self, id: AttemptId) {
        self.shared.flights.leave(id);
    }
}

async fn keep_up(shared: Arc<Shared>, mut commands: mpsc::UnboundedReceiver<ToAgent>) {
    let mut pause = RECONNECT_MIN;
    loop {
        let attempt = tokio::select! {
            attempt = link::connect(shared.address, &shared.identity) => attempt,
            () = shared.closed.cancelled() => return,
        };
        match attempt {
            Ok(link) => {
                pause = RECONNECT_MIN;
                serve(&shared, &mut commands, link).await;
            }
            Err(error) => {
                log::debug!(event = "connect_failed", address:% = shared.address, error:% = error; "no link");
            }
        }
        tokio::select! {
            () = tokio::time::sleep(pause.duration()) => {}
            () = shared.closed.cancelled() => return,
        }
        pause = (pause + pause).min(RECONNECT_MAX);
    }
}

async fn serve(shared: &Shared, commands: &mut mpsc::UnboundedReceiver<ToAgent>, link: Link) {
    let agent = link.peer.incarnation;
    shared.set_agent(Some(agent));
    shared.seen().leaving = false;
    shared.flights.up(agent);
    shared.core.tell(Event::Link {
        upstream: shared.upstream,
        up: true,
    });
    log::info!(event = "link_up", peer = link.peer.name.as_str(); "link up");
    let silence = Silence::new(shared.clock.now());
    tokio::select! {
        () = read(shared, &silence, link.reader) => {}
        () = write(shared, commands, &silence, link.writer) => {}
        () = shared.closed.cancelled() => {}
    }
    shared.set_agent(None);
    shared.core.tell(Event::Link {
        upstream: shared.upstream,
        up: false,
    });
    shared.flights.lose();
    log::info!(event = "link_down", peer = link.peer.name.as_str(); "link down");
}

async fn read(shared: &Shared, silence: &Silence, mut reader: FrameReader) {
    loop {
        match link::receive(&mut reader).await {
            Ok(Some(frame)) => {
                silence.hear(shared.clock.now());
                shared.take(frame);
            }
            Ok(None) => return,
            Err(error) => {
                log::warn!(event = "link_broken", address:% = shared.address, error:% = error; "a link broke");
                return;
            }
        }
    }
}

/// Writes frames until the link breaks or stays silent.
async fn write(
    shared: &Shared,
    commands: &mut mpsc::UnboundedReceiver<ToAgent>,
    silence: &Silence,
    mut writer: FrameWriter,
) {
    let mut looks = tokio::time::interval(SILENCE_POLL.duration());
    loop {
        let frame = tokio::select! {
            frame = commands.recv() => frame,
            _ = looks.tick() => {
                match silence.look(shared.clock.now(), shared.flights.any_sent()) {
                    Look::Fine => continue,
                    Look::Ask => Some(ToAgent::Ping),
                    Look::Silent => {
                        log::warn!(event = "link_silent", address:% = shared.address; "no sign of life");
                        return;
                    }
                }
            }
        };
        let Some(frame) = frame else {
            return shared.closed.cancelled().await;
        };
        if write_waiting(shared, commands, &mut writer, frame)
            .await
            .is_err()
        {
            return;
        }
    }
}

async fn write_waiting(
    shared: &Shared,
    commands: &mut mpsc::UnboundedReceiver<ToAgent>,
    writer: &mut FrameWriter,
    first: ToAgent,
) -> anyhow::Result<()> {
    shared.feed(writer, &first).await?;
    while let Ok(frame) = commands.try_recv() {
        shared.feed(writer, &frame).await?;
    }
    link::flush(writer).await
}

impl Shared {
    fn agent(&self) -> Option<Incarnation> {
        *self.agent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_agent(&self, agent: Option<Incarnation>) {
        *self.agent.lock().unwrap_or_else(PoisonError::into_inner) = agent;
    }

    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn feed(&self, writer: &mut FrameWriter, frame: &ToAgent) -> anyhow::Result<()> {
        if let ToAgent::Run(attempt) = frame
            && !self.flights.mark_sent(attempt.id)
        {
            return Ok(());
        }
        link::feed(writer, frame).await
    }

    fn take(&self, frame: ToEntry) {
        let upstream = self.upstream;
        match frame {
            ToEntry::Refused { id, kind, retry_ms } => {
                let retry_after = Millis(u64::from(retry_ms));
                self.flights
                    .hand(id, FromLink::Refused { kind, retry_after });
            }
            ToEntry::Head {
                id,
                status,
                headers,
            } => {
                self.flights.hand(id, FromLink::Head { status, headers });
            }
            ToEntry::Chunk { id, seq, data } => {
                self.flights.hand(id, FromLink::Chunk { seq, data })
            }
            ToEntry::End { id, chunks } => self.flights.hand(id, FromLink::End { chunks }),
            ToEntry::Broken { id, kind } => self.flights.hand(id, FromLink::Broken(kind)),
            ToEntry::Settled { id, state } => self.flights.hand(id, FromLink::Settled(state)),
            ToEntry::Leaving => {
                self.seen().leaving = true;
                self.core.tell(Event::Leaving(upstream));
            }
            ToEntry::Load(load) => {
                self.seen().load = Some((self.clock.now(), load));
                self.core.tell(Event::Load { upstream, load });
            }
            ToEntry::Hello(_) | ToEntry::Pong | ToEntry::Claim { .. } | ToEntry::Group { .. } => {}
        }
    }
}
