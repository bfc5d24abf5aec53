//! The shared state of an agent: its attempts, their responses and its links to entries.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sardinepin_common::{AttemptId, Clock, Incarnation, Map, Millis};
use sardinepin_decisions::{
    AttemptAdmission, AttemptEvent, AttemptSettings, AttemptState, AttemptTable, CachedResponse,
    LimitBucket, LimitNotice, Withdrawal,
};
use sardinepin_protocol::{Attempt, ErrorKind, Load, RequestRate, SettledState, ToEntry};
use sardinepin_runtime::PauseWatch;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::admin::Health;
use crate::agent::group::GroupEvent;
use crate::agent::idempotency_keys::IdempotencyKeys;
use crate::agent::load::LoadGauge;
use crate::agent::response::{BufferedResponse, FrameSender, ResponseEnd};
use crate::agent::slots::Slots;
use crate::agent::upstream::UpstreamClient;
use crate::link::Identity;
use crate::node::Node;
use crate::options::Settings;

/// The shared state of one agent.
#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) settings: Settings,
    pub(crate) identity: Identity,
    pub(crate) clock: Clock,
    pub(crate) pauses: Arc<PauseWatch>,
    pub(crate) slots: Slots,
    pub(crate) gauge: LoadGauge,
    pub(crate) upstream: UpstreamClient,
    pub(crate) keys: IdempotencyKeys,
    limit: Mutex<LimitBucket>,
    /// For how long the upstream wants no requests.
    withdrawal: Mutex<Withdrawal>,
    pub(crate) group_events: mpsc::UnboundedSender<GroupEvent>,
    table: Mutex<AgentTable>,
}

#[derive(Debug)]
struct AgentTable {
    attempts: AttemptTable,
    responses: Map<AttemptId, BufferedResponse>,
    links: Map<Incarnation, EntryLink>,
    last_serial: u64,
    leaving: bool,
}

/// The newest link of one entry.
#[derive(Debug)]
struct EntryLink {
    serial: u64,
    sender: FrameSender,
    /// Cancelled when a newer link replaces this one.
    replaced: CancellationToken,
}

/// The identifier of a link: the peer's incarnation and a serial number unique within this agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LinkId {
    pub(crate) peer: Incarnation,
    pub(crate) serial: u64,
}

impl LinkId {
    /// Returns the identifier of a link from another agent; no attempt is admitted over it.
    pub(crate) fn of_agent(peer: Incarnation) -> Self {
        Self { peer, serial: 0 }
    }

    /// Returns whether the peer is an entry.
    pub(crate) fn is_entry(self) -> bool {
        self.serial > 0
    }
}

impl Agent {
    /// Creates an agent without attempts.
    pub(crate) fn new(
        settings: Settings,
        node: &Node,
        address: SocketAddr,
        group_events: mpsc::UnboundedSender<GroupEvent>,
    ) -> Self {
        let attempts = AttemptTable::new(AttemptSettings {
            keep_ms: settings.agent.keep_ms,
            ..AttemptSettings::default()
        });
        Self {
            slots: Slots::new(settings.agent.slots),
            gauge: LoadGauge::default(),
            upstream: UpstreamClient::new(settings.agent.upstream),
            group_events,
            keys: IdempotencyKeys::new(&settings, node, address),
            limit: Mutex::default(),
            withdrawal: Mutex::default(),
            settings,
            identity: node.identity.clone(),
            clock: node.clock,
            pauses: Arc::clone(&node.pauses),
            table: Mutex::new(AgentTable {
                attempts,
                responses: Map::default(),
                links: Map::default(),
                last_serial: 0,
                leaving: false,
            }),
        }
    }

    /// Registers this as the newest link of its peer and closes the previous one.
    ///
    /// The returned token is cancelled when a newer link replaces this one. From here on, attempts
    /// and settle requests from an older link are ignored, so that an attempt that is settled over
    /// the new link cannot arrive late over the old one.
    pub(crate) fn open_link(
        &self,
        peer: Incarnation,
        sender: FrameSender,
    ) -> (LinkId, CancellationToken) {
        let mut table = self.table();
        table.last_serial += 1;
        let serial = table.last_serial;
        let replaced = CancellationToken::new();
        if table.leaving {
            let _ = sender.send(ToEntry::Leaving);
        }
        let link = EntryLink {
            serial,
            sender,
            replaced: replaced.clone(),
        };
        if let Some(older) = table.links.insert(peer, link) {
            older.replaced.cancel();
        }
        (LinkId { peer, serial }, replaced)
    }

    /// Admits an attempt; returns whether the caller must start a task for it.
    pub(crate) fn admit(&self, link: LinkId, attempt: &Attempt) -> bool {
        let mut table = self.table();
        let Some(sender) = table.sender(link) else {
            return false;
        };
        let id = attempt.id;
        let leaving = table.leaving;
        match table.attempts.admit(id) {
            AttemptAdmission::New if leaving => {
                let refuse = AttemptEvent::Refuse(ErrorKind::Leaving);
                table.attempts.handle(self.clock.now(), id, refuse);
                send_refused(&sender, id, ErrorKind::Leaving);
                false
            }
            AttemptAdmission::New => {
                table
                    .responses
                    .insert(id, BufferedResponse::new(id, sender));
                true
            }
            AttemptAdmission::Duplicate => false,
            AttemptAdmission::Refused(kind) => {
                send_refused(&sender, id, kind);
                false
            }
            AttemptAdmission::Unknown => {
                let state = SettledState::Unknown;
                let _ = sender.send(ToEntry::Settled { id, state });
                false
            }
        }
    }

    /// Reports the state of an attempt to the entry that asks for it, and withdraws the attempt if
    /// it has not begun.
    pub(crate) fn settle(
        &self,
        link: LinkId,
        id: AttemptId,
        target_agent: Incarnation,
        chunks: u64,
    ) {
        let now = self.clock.now();
        let mut table = self.table();
        let Some(sender) = table.sender(link) else {
            return;
        };
        let mut state = table
            .attempts
            .settle(now, id, target_agent, self.identity.incarnation);
        if state == SettledState::Attached && !table.responses.contains_key(&id) {
            state = SettledState::Unknown;
        }
        let _ = sender.send(ToEntry::Settled { id, state });
        match (state, table.responses.get_mut(&id)) {
            (SettledState::Attached, Some(response)) => response.attach(sender, chunks),
            (SettledState::NotRun, Some(response)) => response.stop_token().cancel(),
            _ => {}
        }
    }

    /// Handles an acknowledgement of `chunks` chunks and, if `ended`, of the end of the response.
    pub(crate) fn acknowledge(&self, id: AttemptId, chunks: u64, ended: bool) {
        let mut table = self.table();
        if let Some(response) = table.responses.get_mut(&id) {
            response.acknowledge(chunks);
            if ended {
                response.discard();
            }
        }
        table.remove_if_discardable(id);
    }

    /// Cancels an attempt, whether or not it has begun, and discards its response.
    pub(crate) fn cancel(&self, id: AttemptId) {
        let now = self.clock.now();
        let mut table = self.table();
        table.attempts.handle(now, id, AttemptEvent::Withdraw);
        if let Some(response) = table.responses.get_mut(&id) {
            response.discard();
            response.stop_token().cancel();
        }
        table.remove_if_discardable(id);
    }

    /// Marks an attempt as begun just before its call is sent; returns whether it may be sent.
    pub(crate) fn begin(&self, id: AttemptId) -> bool {
        self.table().attempts.begin(id)
    }

    /// Refuses an attempt; returns `false` if it has already begun.
    pub(crate) fn refuse(&self, id: AttemptId, kind: ErrorKind) -> bool {
        self.refuse_until(id, kind, Millis::ZERO)
    }

    /// Refuses an attempt whose retry may succeed after `retry`; returns `false` if it has already begun.
    pub(crate) fn refuse_until(&self, id: AttemptId, kind: ErrorKind, retry: Millis) -> bool {
        let now = self.clock.now();
        let mut table = self.table();
        let state = table.attempts.handle(now, id, AttemptEvent::Refuse(kind));
        let Some(AttemptState::Refused { kind }) = state else {
            return false;
        };
        if let Some(response) = table.responses.get_mut(&id) {
            response.finish(now, ResponseEnd::Refused { kind, retry });
        }
        table.remove_if_discardable(id);
        true
    }

    /// Returns the current load report.
    pub(crate) fn load(&self) -> Load {
        self.gauge
            .report(self.clock.now(), self.settings.agent.slots)
    }

    /// Ends an attempt with the cached response of an earlier run of the same key.
    pub(crate) fn replay(&self, id: AttemptId, cached: &CachedResponse) {
        self.with_response(id, |response| {
            response.set_head(cached.status, cached.headers.clone());
            response.push_chunk(cached.body.clone());
        });
        self.end(id, AttemptEvent::Finish, ResponseEnd::Complete);
    }

    /// Applies the final event to an attempt and ends its response.
    pub(crate) fn end(&self, id: AttemptId, event: AttemptEvent, end: ResponseEnd) {
        let now = self.clock.now();
        let mut table = self.table();
        table.attempts.handle(now, id, event);
        if let Some(response) = table.responses.get_mut(&id) {
            response.finish(now, end);
        }
        table.remove_if_discardable(id);
    }

    /// Calls `change` with the response of an attempt; returns `None` if the response is no longer
    /// kept.
    pub(crate) fn with_response<T>(
        &self,
        id: AttemptId,
        change: impl FnOnce(&mut BufferedResponse) -> T,
    ) -> Option<T> {
        self.table().responses.get_mut(&id).map(change)
    }

    /// Takes a request out of the limit that the upstream has named, unless the upstream rests.
    ///
    /// # Errors
    ///
    /// Returns the time until the next request is allowed.
    pub(crate) fn take_from_limit(&self) -> Result<(), Millis> {
        let now = self.clock.now();
        match self.withdrawal().rests_until().since(now) {
            Millis::ZERO => self.limit().try_take(now),
            rest => Err(rest),
        }
    }

    /// Records that the upstream has turned a call away and wants none for `time`.
    pub(crate) fn record_rest(&self, time: Millis) {
        self.withdrawal().record_rest(self.clock.now(), time);
        log::info!(
            event = "upstream_resting", time_ms = time.0;
            "the upstream wants no requests for some time"
        );
    }

    /// Records what an answer to a call made at `sent_at` says about the upstream's limit.
    pub(crate) fn record_limit(&self, sent_at: Millis, notice: LimitNotice) {
        let mut limit = self.limit();
        if !limit.heard.record_answer(self.clock.now(), sent_at, notice) {
            return;
        }
        let rate = limit.heard.rate().map(RequestRate::per_second);
        let change = if rate.is_some() { "named" } else { "lifted" };
        log::info!(
            event = "upstream_limit", change = change, per_second = rate;
            "the limit of the upstream has changed"
        );
    }

    fn limit(&self) -> MutexGuard<'_, LimitBucket> {
        self.limit.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn withdrawal(&self) -> MutexGuard<'_, Withdrawal> {
        self.withdrawal
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Refuses new attempts from now on and announces this on every link.
    pub(crate) fn leave(&self) {
        let mut table = self.table();
        table.leaving = true;
        for link in table.links.values() {
            let _ = link.sender.send(ToEntry::Leaving);
        }
    }

    /// Returns whether every attempt has ended and every response has been delivered or abandoned.
    pub(crate) fn is_idle(&self) -> bool {
        let now = self.clock.now();
        let table = self.table();
        let is_awaited = |response: &BufferedResponse| !response.is_abandoned(now);
        let running = self.gauge.running() > 0;
        !running && table.attempts.open_count() == 0 && !table.responses.values().any(is_awaited)
    }

    /// Returns the number of open attempts or of kept responses, whichever is higher.
    pub(crate) fn open_count(&self) -> usize {
        let table = self.table();
        table.attempts.open_count().max(table.responses.len())
    }

    /// Removes closed links and the attempts, responses and keys whose retention time is over.
    pub(crate) fn sweep(&self) {
        let now = self.clock.now();
        let keep = Millis(self.settings.agent.keep_ms);
        let mut table = self.table();
        table.attempts.sweep(now);
        self.keys.sweep(now);
        table
            .responses
            .retain(|_, response| response.ended_at().is_none_or(|at| now.since(at) < keep));
        table.links.retain(|_, link| !link.sender.is_closed());
    }

    /// Ignores lock poisoning: no operation leaves the table partly changed.
    fn table(&self) -> MutexGuard<'_, AgentTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Health for Agent {
    fn not_ready_reason(&self) -> Option<String> {
        self.table()
            .leaving
            .then(|| "this upstream is leaving".to_owned())
    }
}

impl AgentTable {
    fn remove_if_discardable(&mut self, id: AttemptId) {
        if self
            .responses
            .get(&id)
            .is_some_and(BufferedResponse::is_discardable)
        {
            self.responses.remove(&id);
        }
    }

    /// Returns the sender of `link`, or `None` if a newer link of its peer has replaced it.
    fn sender(&self, link: LinkId) -> Option<FrameSender> {
        self.links
            .get(&link.peer)
            .filter(|newest| newest.serial == link.serial)
            .map(|newest| newest.sender.clone())
    }
}

fn send_refused(sender: &FrameSender, id: AttemptId, kind: ErrorKind) {
    let _ = sender.send(ToEntry::Refused {
        id,
        kind,
        retry_ms: 0,
    });
}

/// An agent shared by the tasks of its links and attempts.
pub(crate) type SharedAgent = Arc<Agent>;
