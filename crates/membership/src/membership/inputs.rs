//! Handling of datagrams, fetched tables and changes of the local configuration.

use sardinepin_common::{Millis, Revision};

use super::{DropReason, ListedNode, Membership, Output};
use crate::message::{MemberState, MemberUpdate, Message, MessageKind};
use crate::table::MergeResult;

/// Factor by which full table fetches are rarer while the difference between tables is
/// intermittent.
const INTERMITTENT_SYNC_FACTOR: u64 = 3;

impl Membership {
    pub(super) fn handle_message(&mut self, now: Millis, message: Message, out: &mut Vec<Output>) {
        if let Some(reason) = self.check_sender(now, &message, out) {
            out.push(Output::MessageDropped(reason));
            return;
        }
        for update in &message.updates {
            self.merge(now, update, out);
        }
        self.refresh(out);
        self.respond(now, &message, out);
        self.fetch_if_behind(&message, out);
    }

    /// Merges the sender's update about itself, or returns why the message must be dropped.
    fn check_sender(
        &mut self,
        now: Millis,
        message: &Message,
        out: &mut Vec<Output>,
    ) -> Option<DropReason> {
        let sender = &message.sender;
        if sender.name == self.table.local.name {
            if sender.incarnation == self.table.local.incarnation {
                return Some(DropReason::OwnMessage);
            }
            self.merge(now, sender, out);
            return Some(DropReason::SameName);
        }
        if self.merge(now, sender, out) == MergeResult::Full {
            return Some(DropReason::TableFull);
        }
        let record = self.table.others.get_mut(&sender.name)?;
        if record.update.incarnation != sender.incarnation {
            return Some(DropReason::OldProcess);
        }
        if !record.accept_counter(message.counter) {
            return Some(DropReason::Replay);
        }
        record.last_received = Some(now);
        // Datagrams may arrive out of order; the revision of one process never decreases.
        let reported = record
            .reported_revision
            .map_or(Revision::default(), |(revision, _)| revision);
        record.reported_revision = Some((reported.max(message.revision), now));
        None
    }

    fn respond(&mut self, now: Millis, message: &Message, out: &mut Vec<Output>) {
        let sender = message.sender.name.as_str();
        match &message.kind {
            MessageKind::Ping => {
                let ping = message.counter;
                self.send(sender, MessageKind::Ack { ping }, out);
            }
            MessageKind::Ack { ping } => self.handle_ack(now, &message.sender, *ping, out),
            MessageKind::PingRequest { target } => {
                if let Some(counter) = self.send(target, MessageKind::Ping, out) {
                    self.probes
                        .add_relayed(counter, message.sender.address, now);
                }
            }
            MessageKind::IndirectAck {
                target,
                incarnation,
            } => {
                let current = self
                    .table
                    .update(target)
                    .is_some_and(|update| update.incarnation == *incarnation);
                if current {
                    self.probes.handle_indirect_ack(target);
                }
            }
        }
    }

    fn handle_ack(&mut self, now: Millis, sender: &MemberUpdate, ping: u64, out: &mut Vec<Output>) {
        if let Some(to) = self.probes.take_requester(ping) {
            let kind = MessageKind::IndirectAck {
                target: sender.name.clone(),
                incarnation: sender.incarnation,
            };
            let message = self.build_message(kind, None);
            out.push(Output::Send { to, message });
        }
        if self.probes.handle_ack(&sender.name, ping)
            && let Some(record) = self.table.others.get_mut(&sender.name)
        {
            record.record_ack(now);
        }
    }

    /// Fetches from the sender if it has a higher revision, or if a full table is needed.
    fn fetch_if_behind(&mut self, message: &Message, out: &mut Vec<Output>) {
        if message.view_digest == self.table.digest {
            self.differs_since = None;
        } else {
            self.differs_since.get_or_insert(self.round);
        }
        let full_table = self.needs_full_table();
        if self.fetching || !(full_table || message.revision > self.revision) {
            return;
        }
        self.fetching = true;
        if full_table {
            self.last_sync = Some(self.round);
        }
        out.push(Output::Fetch {
            from: message.sender.address,
            full_table,
        });
    }

    /// Returns whether the tables still differ although gossip should have made them equal by now.
    ///
    /// A node that has not fetched a full table yet needs one at once. Nodes whose tables are
    /// incomplete in the same way as the local one keep resetting the difference, so a full table
    /// is also needed, though less often, once the local table has stopped changing.
    fn needs_full_table(&self) -> bool {
        let wait = self.settings.sync_rounds;
        let Some(differs_since) = self.differs_since else {
            return false;
        };
        let Some(last_sync) = self.last_sync else {
            return true;
        };
        let lasting = self.round >= last_sync.max(differs_since) + wait;
        let unchanged = self.round
            >= (last_sync + wait * INTERMITTENT_SYNC_FACTOR).max(self.last_change + wait);
        lasting || unchanged
    }

    pub(super) fn handle_fetch_end(&mut self, complete: bool) {
        self.fetching = false;
        if !complete {
            self.last_sync = None;
        }
    }

    pub(super) fn merge_table(
        &mut self,
        now: Millis,
        updates: &[MemberUpdate],
        out: &mut Vec<Output>,
    ) {
        // Not gossiped: other nodes have these updates already, or detect a difference themselves.
        for update in updates {
            self.apply_update(now, update, out);
        }
    }

    pub(super) fn set_instance_list(&mut self, nodes: Vec<ListedNode>) {
        self.instance_list = nodes
            .into_iter()
            .filter(|node| node.name != self.table.local.name)
            .map(|node| (node.name.clone(), node))
            .collect();
    }

    /// Stores a higher revision and pings peers at once to announce it.
    pub(super) fn advance_revision(
        &mut self,
        now: Millis,
        revision: Revision,
        out: &mut Vec<Output>,
    ) {
        if revision <= self.revision {
            return;
        }
        self.revision = revision;
        self.ping_peers(now, self.settings.fanout, out);
    }

    /// Merges an update, and gossips it if it is new.
    fn merge(&mut self, now: Millis, update: &MemberUpdate, out: &mut Vec<Output>) -> MergeResult {
        let result = self.apply_update(now, update, out);
        if matches!(result, MergeResult::Applied { .. }) {
            self.gossip(&update.name);
        }
        result
    }

    fn apply_update(
        &mut self,
        now: Millis,
        update: &MemberUpdate,
        out: &mut Vec<Output>,
    ) -> MergeResult {
        let result = self.table.merge(now, update);
        match result {
            MergeResult::Applied { previous } => self.report_change(update, previous, out),
            // Every message carries the local node's own update, so no extra message is needed.
            MergeResult::Refuted if update.incarnation == self.table.local.incarnation => {
                out.push(Output::SelfRefuted);
            }
            MergeResult::Refuted | MergeResult::Unchanged | MergeResult::Full => {}
        }
        result
    }

    fn report_change(
        &self,
        update: &MemberUpdate,
        previous: Option<MemberState>,
        out: &mut Vec<Output>,
    ) {
        if previous == Some(update.state) {
            return;
        }
        let was_unreachable = matches!(previous, Some(MemberState::Suspected | MemberState::Gone));
        if was_unreachable && update.state == MemberState::Alive {
            out.push(Output::PeerRefuted {
                name: update.name.clone(),
            });
        }
        out.push(Output::StateChanged {
            name: update.name.clone(),
            state: update.state,
        });
    }
}
