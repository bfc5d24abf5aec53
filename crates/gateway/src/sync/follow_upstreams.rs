//! Watches the list of upstreams and gives it to the balancer.

use std::pin::pin;
use std::sync::Arc;

use sardinepin_common::Millis;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::bounds::{WAIT_MIN, time_before};
use crate::gateway::Gateway;
use crate::route_table::RouteTable;
use crate::settings::SyncSettings;
use crate::store::{GatewayStore, ObjectBatch};
use crate::sync::backoff::Backoff;
use crate::sync::position::{BatchUse, Position};
use crate::sync::upstreams::UpstreamList;
use sardinepin_decisions::direct::UpstreamSpec;

/// The time that the store and the watch of the list may add before a lapsed entry is known to be gone.
const LAPSE_MARGIN: Millis = Millis(1_200);

/// The most upstreams that are asked at the same time whether they are there.
const QUESTIONS_MAX: usize = 8;

/// Watches the list of upstreams until the process ends.
pub(crate) async fn follow_upstreams(
    gateway: Arc<Gateway>,
    store: Arc<dyn GatewayStore>,
    settings: SyncSettings,
) {
    let mut tables = gateway.tables();
    // The one that is there already, if there is one, is as good as a new one.
    tables.mark_changed();
    let mut follower = Follower {
        gateway,
        tables,
        list: UpstreamList::new(settings.recovery.grace),
        position: Position::default(),
        lapse: settings.entry_lapse + LAPSE_MARGIN,
        questions: JoinSet::new(),
    };
    let mut backoff =
        Backoff::new(&settings, "upstreams").with_retry_max(settings.recovery.retry_max());
    loop {
        let call = match follower.position.revision() {
            None => store.upstreams(),
            Some(revision) => store.watch_upstreams(revision, follower.wait(&settings)),
        };
        let began = follower.gateway.clock.now();
        match follower.until_done(call).await {
            Ok(batch) => {
                let now = follower.gateway.clock.now();
                if let Some(failed_at) = backoff.handle_success() {
                    let grace_end = settings.recovery.grace_end(now, failed_at);
                    follower.list.keep_missing_until(grace_end);
                    follower.gateway.record_outage_end();
                }
                let has_changes = follower.handle_batch(batch);
                // A store that does not wait must not be called again at once.
                if has_changes || now.since(began) < settings.upstreams.pause {
                    let pause = follower.before_expiry(settings.upstreams.pause);
                    let pause = tokio::time::sleep(pause.duration());
                    follower.until_done(pause).await;
                }
            }
            Err(error) => {
                follower.position.reset();
                let delay = backoff.handle_failure(began, &error);
                follower.until_done(delay).await;
            }
        }
    }
}

/// The list of upstreams, and how far it has been read.
#[derive(Debug)]
struct Follower {
    gateway: Arc<Gateway>,
    /// The routing tables, which name the services.
    tables: watch::Receiver<Option<Arc<RouteTable>>>,
    list: UpstreamList,
    position: Position,
    /// How long the entry of an upstream that has left may still be listed.
    lapse: Millis,
    /// The upstreams that are being asked whether they are there: each entry, and whether its upstream is.
    questions: JoinSet<(UpstreamSpec, bool)>,
}

impl Follower {
    /// Returns the time since the list was last known to be complete.
    fn unread(&self) -> Millis {
        let now = self.gateway.clock.now();
        let complete_at = self.position.complete_at();
        complete_at.map_or(Millis::ZERO, |at| now.since(at))
    }

    /// Returns how long the next watch waits.
    fn wait(&self, settings: &SyncSettings) -> Millis {
        let wait = settings.upstreams.wait(self.unread());
        self.before_expiry(wait).max(WAIT_MIN)
    }

    /// Shortens a time, so that the list is read once more before upstreams are removed that have not returned.
    fn before_expiry(&self, time: Millis) -> Millis {
        let now = self.gateway.clock.now();
        let expiry = self.list.next_expiry();
        expiry.map_or(time, |at| time.min(time_before(now, at)))
    }

    /// Applies a batch; returns whether it holds objects, so that further changes may follow soon.
    fn handle_batch(&mut self, batch: ObjectBatch<UpstreamSpec>) -> bool {
        let now = self.gateway.clock.now();
        let unread = self.unread();
        let has_items = !batch.items.is_empty();
        match self.position.advance(now, &batch) {
            BatchUse::Discard => return false,
            BatchUse::ReplaceAfterRestore => self.list.replace_after_restore(now, batch),
            BatchUse::Replace => self.list.replace_all(now, batch.items),
            BatchUse::Apply => self.list.apply_changes(now, batch.items),
        }
        self.apply(unread);
        if self.position.may_lack_changes() {
            self.position.reset();
        }
        has_items
    }

    /// Waits for `work`, while upstreams whose grace period ends are removed in time, services that the configuration names are taken
    /// into account, and upstreams whose entries may be outdated are asked whether they are there.
    async fn until_done<T>(&mut self, work: impl Future<Output = T>) -> T {
        let mut work = pin!(work);
        loop {
            let expired = self.sleep_until(self.list.next_expiry());
            let question_due = self.sleep_until(self.list.next_question(self.lapse));
            tokio::select! {
                biased;
                () = expired => self.apply(Millis::ZERO),
                Ok(()) = self.tables.changed() => self.apply_services(),
                Some(Ok((asked, is_there))) = self.questions.join_next() => self.handle_reply(&asked, is_there),
                () = question_due, if self.questions.len() < QUESTIONS_MAX => self.ask_doubted(),
                done = &mut work => return done,
            }
        }
    }

    /// Sleeps until a time, or for ever if there is none.
    fn sleep_until(&self, at: Option<Millis>) -> impl Future<Output = ()> + use<> {
        let now = self.gateway.clock.now();
        async move {
            match at {
                Some(at) => tokio::time::sleep(at.since(now).duration()).await,
                None => std::future::pending().await,
            }
        }
    }

    /// Asks the upstreams whose entries may be outdated whether they are there.
    fn ask_doubted(&mut self) {
        let now = self.gateway.clock.now();
        let complete_at = self.position.complete_at().unwrap_or_default();
        let count = QUESTIONS_MAX - self.questions.len();
        let asked = self
            .list
            .take_questions(now, self.lapse, complete_at, count);
        for spec in asked {
            let gateway = Arc::clone(&self.gateway);
            self.questions.spawn(async move {
                let is_there = gateway.is_there(&spec).await;
                (spec, is_there)
            });
        }
    }

    fn handle_reply(&mut self, asked: &UpstreamSpec, is_there: bool) {
        if is_there {
            self.list.confirm(asked);
            self.apply(Millis::ZERO);
        }
    }

    /// Takes the services of the current routing table into account.
    fn apply_services(&mut self) {
        let Some(table) = self.tables.borrow_and_update().clone() else {
            return;
        };
        self.list.add_services(table.service_names());
        // Before the first full read, the list must not be taken for complete.
        if self.position.revision().is_some() {
            self.apply(Millis::ZERO);
        }
    }

    /// Gives the balancer the list if it has changed. `unread` is the time for which it had not been known to be complete.
    fn apply(&mut self, unread: Millis) {
        let now = self.gateway.clock.now();
        let dispatcher = &self.gateway.dispatcher;
        if let Some(specs) = self.list.take_changed(now) {
            log::info!(event = "upstreams", count = specs.len(), revision = self.position.revision(), unread_ms = unread.0; "list of upstreams applied");
            dispatcher.replace_upstreams(&specs);
            self.gateway.set_upstreams_known();
        }
        for spec in self.list.take_cold_changed(now) {
            dispatcher.record_cold(&spec);
        }
    }
}
