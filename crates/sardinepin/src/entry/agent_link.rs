//! The link to one agent, which is re-established whenever it is lost.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sardinepin_common::{AttemptId, Clock, Incarnation, Millis};
use sardinepin_decisions::{Event, UpstreamId};
use sardinepin_protocol::{Attempt, FrameReader, FrameWriter, Load, ToAgent, ToEntry};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::entry::attempts::{AttemptRegistry, LinkEvent};
use crate::entry::balancer::BalancerHandle;
use crate::entry::liveness::{Liveness, LivenessCheck};
use crate::link::{self, Identity, Link};

/// The delay before the first reconnect; it doubles with every further one.
const RECONNECT_DELAY_MIN: Millis = Millis(20);

/// The maximum delay between two connection attempts.
const RECONNECT_DELAY_MAX: Millis = Millis(1_000);

/// The interval of liveness checks, and of the checks whether a link to be closed is idle.
const LIVENESS_POLL_INTERVAL: Millis = Millis(250);

/// The status of a link and the last reports of its agent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LinkStatus {
    pub(crate) linked: bool,
    pub(crate) leaving: bool,
    /// The last load report and its age; `None` before the first report.
    pub(crate) load: Option<(Millis, Load)>,
}

/// What an agent last reported of its upstream; the load with its time of arrival.
#[derive(Debug, Clone, Copy, Default)]
struct AgentState {
    leaving: bool,
    load: Option<(Millis, Load)>,
}

/// The link to one agent.
#[derive(Debug, Clone)]
pub(crate) struct AgentLink {
    shared: Arc<SharedLink>,
    frames: mpsc::UnboundedSender<ToAgent>,
}

#[derive(Debug)]
struct SharedLink {
    upstream: UpstreamId,
    name: String,
    address: SocketAddr,
    identity: Identity,
    balancer: BalancerHandle,
    clock: Clock,
    attempts: AttemptRegistry,
    /// The incarnation of the connected agent; `None` while the link is down.
    agent: Mutex<Option<Incarnation>>,
    agent_state: Mutex<AgentState>,
    /// Whether the balancer is told of this link no more, since another one may have taken its place.
    detached: Mutex<bool>,
    closed: CancellationToken,
}

impl AgentLink {
    /// Starts a task that keeps a link open to the agent at `address`.
    pub(crate) fn start(
        upstream: UpstreamId,
        name: &str,
        address: SocketAddr,
        identity: Identity,
        balancer: BalancerHandle,
    ) -> Self {
        let (frames, receiver) = mpsc::unbounded_channel();
        let shared = Arc::new(SharedLink {
            upstream,
            name: name.to_owned(),
            address,
            identity,
            balancer,
            clock: Clock::start(),
            attempts: AttemptRegistry::default(),
            agent: Mutex::new(None),
            agent_state: Mutex::default(),
            detached: Mutex::default(),
            closed: CancellationToken::new(),
        });
        tokio::spawn(maintain_link(Arc::clone(&shared), receiver));
        Self { shared, frames }
    }

    /// The name of the upstream that the agent runs for.
    pub(crate) fn name(&self) -> &str {
        &self.shared.name
    }

    /// Returns the status of the link.
    pub(crate) fn status(&self) -> LinkStatus {
        let agent_state = *self.shared.lock_agent_state();
        let now = self.shared.clock.now();
        LinkStatus {
            linked: self.shared.agent().is_some(),
            leaving: agent_state.leaving,
            load: agent_state
                .load
                .map(|(arrived, load)| (now.since(arrived), load)),
        }
    }

    /// The agent's address in the configuration that opened the link.
    pub(crate) fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Closes the link permanently as soon as no attempt is in flight on it. For the balancer it is down at once.
    pub(crate) fn close_when_idle(&self) {
        self.shared.detach();
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            while !shared.attempts.is_empty() {
                tokio::time::sleep(LIVENESS_POLL_INTERVAL.duration()).await;
            }
            shared.closed.cancel();
        });
    }

    /// Queues an attempt and returns the agent's incarnation and the attempt's events. Returns
    /// `None` if the link is down; no byte of the attempt is written then.
    pub(crate) fn queue_attempt(
        &self,
        attempt: Attempt,
    ) -> Option<(Incarnation, mpsc::UnboundedReceiver<LinkEvent>)> {
        let agent = self.shared.agent()?;
        let receiver = self.shared.attempts.insert(attempt.id);
        let _ = self.frames.send(ToAgent::Run(Box::new(attempt)));
        Some((agent, receiver))
    }

    /// Queues a frame that concerns an attempt.
    pub(crate) fn send(&self, frame: ToAgent) {
        let _ = self.frames.send(frame);
    }

    /// Removes an attempt that has ended, so that it is not written if it is still queued.
    pub(crate) fn remove_attempt(&self, id: AttemptId) {
        self.shared.attempts.remove(id);
    }
}

async fn maintain_link(shared: Arc<SharedLink>, mut frames: mpsc::UnboundedReceiver<ToAgent>) {
    let mut delay = RECONNECT_DELAY_MIN;
    loop {
        let connected = tokio::select! {
            link = link::connect(shared.address, &shared.identity) => link,
            () = shared.closed.cancelled() => return,
        };
        match connected {
            Ok(link) => {
                delay = RECONNECT_DELAY_MIN;
                run_link(&shared, &mut frames, link).await;
            }
            Err(error) => {
                log::debug!(event = "connect_failed", address:% = shared.address, error:% = error; "cannot connect to the agent");
            }
        }
        tokio::select! {
            () = tokio::time::sleep(delay.duration()) => {}
            () = shared.closed.cancelled() => return,
        }
        delay = (delay + delay).min(RECONNECT_DELAY_MAX);
    }
}

async fn run_link(shared: &SharedLink, frames: &mut mpsc::UnboundedReceiver<ToAgent>, link: Link) {
    let agent = link.peer.incarnation;
    shared.set_agent(Some(agent));
    shared.lock_agent_state().leaving = false;
    shared.attempts.link_up(agent);
    shared.notify(Event::Link {
        upstream: shared.upstream,
        up: true,
    });
    log::info!(event = "link_up", peer = link.peer.name.as_str(); "link up");
    let liveness = Liveness::new(shared.clock.now());
    tokio::select! {
        () = read(shared, &liveness, link.reader) => {}
        () = write(shared, frames, &liveness, link.writer) => {}
        () = shared.closed.cancelled() => {}
    }
    shared.set_agent(None);
    shared.notify(Event::Link {
        upstream: shared.upstream,
        up: false,
    });
    shared.attempts.link_lost();
    log::info!(event = "link_down", peer = link.peer.name.as_str(); "link down");
}

async fn read(shared: &SharedLink, liveness: &Liveness, mut reader: FrameReader) {
    loop {
        match link::receive(&mut reader).await {
            Ok(Some(frame)) => {
                liveness.record_frame(shared.clock.now());
                shared.handle_frame(frame);
            }
            Ok(None) => return,
            Err(error) => {
                log::warn!(event = "link_broken", address:% = shared.address, error:% = error; "cannot read from a link; closing it");
                return;
            }
        }
    }
}

/// Writes queued frames and pings until a write fails or the agent does not reply to a ping.
async fn write(
    shared: &SharedLink,
    frames: &mut mpsc::UnboundedReceiver<ToAgent>,
    liveness: &Liveness,
    mut writer: FrameWriter,
) {
    let mut checks = tokio::time::interval(LIVENESS_POLL_INTERVAL.duration());
    loop {
        let frame = tokio::select! {
            frame = frames.recv() => frame,
            _ = checks.tick() => {
                match liveness.check(shared.clock.now(), shared.attempts.any_sent()) {
                    LivenessCheck::Ok => continue,
                    LivenessCheck::Ping => Some(ToAgent::Ping),
                    LivenessCheck::TimedOut => {
                        log::warn!(event = "link_silent", address:% = shared.address; "the agent did not reply to a ping in time");
                        link::reset_on_close(&writer);
                        return;
                    }
                }
            }
        };
        let Some(frame) = frame else {
            return shared.closed.cancelled().await;
        };
        if write_queued(shared, frames, &mut writer, frame)
            .await
            .is_err()
        {
            return;
        }
    }
}

async fn write_queued(
    shared: &SharedLink,
    frames: &mut mpsc::UnboundedReceiver<ToAgent>,
    writer: &mut FrameWriter,
    first: ToAgent,
) -> anyhow::Result<()> {
    shared.feed(writer, &first).await?;
    while let Ok(frame) = frames.try_recv() {
        shared.feed(writer, &frame).await?;
    }
    link::flush(writer).await
}

impl SharedLink {
    fn agent(&self) -> Option<Incarnation> {
        *self.agent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_agent(&self, agent: Option<Incarnation>) {
        *self.agent.lock().unwrap_or_else(PoisonError::into_inner) = agent;
    }

    /// Passes an event to the balancer while this is the link of its upstream.
    fn notify(&self, event: Event) {
        let detached = self.lock_detached();
        if !*detached {
            self.balancer.notify(event);
        }
    }

    /// Reports the link as down, and nothing after that: the events of an upstream that has moved come from its new link.
    fn detach(&self) {
        let mut detached = self.lock_detached();
        *detached = true;
        self.balancer.notify(Event::Link {
            upstream: self.upstream,
            up: false,
        });
    }

    fn lock_detached(&self) -> MutexGuard<'_, bool> {
        self.detached.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_agent_state(&self) -> MutexGuard<'_, AgentState> {
        self.agent_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    async fn feed(&self, writer: &mut FrameWriter, frame: &ToAgent) -> anyhow::Result<()> {
        if let ToAgent::Run(attempt) = frame
            && !self.attempts.mark_sent(attempt.id)
        {
            return Ok(());
        }
        link::feed(writer, frame).await
    }

    fn handle_frame(&self, frame: ToEntry) {
        let upstream = self.upstream;
        match frame {
            ToEntry::Refused { id, kind, retry_ms } => {
                let retry_after = Millis(u64::from(retry_ms));
                self.attempts
                    .deliver(id, LinkEvent::Refused { kind, retry_after });
            }
            ToEntry::Head {
                id,
                status,
                headers,
            } => {
                self.attempts
                    .deliver(id, LinkEvent::Head { status, headers });
            }
            ToEntry::Chunk { id, seq, data } => {
                self.attempts.deliver(id, LinkEvent::Chunk { seq, data })
            }
            ToEntry::End { id, chunks } => self.attempts.deliver(id, LinkEvent::End { chunks }),
            ToEntry::Broken { id, kind } => self.attempts.deliver(id, LinkEvent::Broken(kind)),
            ToEntry::Settled { id, state } => self.attempts.deliver(id, LinkEvent::Settled(state)),
            ToEntry::Leaving => {
                self.lock_agent_state().leaving = true;
                self.notify(Event::Leaving(upstream));
            }
            ToEntry::Load(load) => {
                self.lock_agent_state().load = Some((self.clock.now(), load));
                self.notify(Event::Load { upstream, load });
            }
            ToEntry::Hello(_) | ToEntry::Pong | ToEntry::Claim { .. } | ToEntry::Group { .. } => {}
        }
    }
}
