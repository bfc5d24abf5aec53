//! What a node does with what it hears.

use sardinepin_common::{Millis, Revision};

use super::{DropReason, ListedNode, Membership, Output};
use crate::message::{MemberState, MemberUpdate, Message, MessageKind};
use crate::table::Merged;

/// How many times rarer a whole table is fetched for a difference that does not last.
const QUIET: u64 = 3;

impl Membership {
    pub(super) fn heard(&mut self, now: Millis, message: Message, out: &mut Vec<Output>) {
        if let Some(why) = self.refuse(now, &message, out) {
            out.push(Output::MessageDropped(why));
            return;
        }
        for update in &message.updates {
            self.merge(now, update, out);
        }
        self.refresh(out);
        self.answer(now, &message, out);
        self.compare(&message, out);
    }

    /// Takes the sender's statement about itself, or says why the message is to be dropped.
    fn refuse(
        &mut self,
        now: Millis,
        message: &Message,
        out: &mut Vec<Output>,
    ) -> Option<DropReason> {
        let me = &message.sender;
        if me.name == self.table.me.name {
            if me.incarnation == self.table.me.incarnation {
                return Some(DropReason::OwnMessage);
            }
            self.merge(now, me, out);
            return Some(DropReason::SameName);
        }
        if self.merge(now, me, out) == Merged::Full {
            return Some(DropReason::TableFull);
        }
        let record = self.table.others.get_mut(&me.name)?;
        if record.update.incarnation != me.incarnation {
            return Some(DropReason::OldProcess);
        }
        if !record.take_counter(message.counter) {
            return Some(DropReason::Replay);
        }
        record.heard = Some(now);
        // Datagrams may overtake each other; the revision of one process never goes down.
        let held = record.held.map_or(Revision::default(), |(held, _)| held);
        record.held = Some((held.max(message.revision), now));
        None
    }

    fn answer(&mut self, now: Millis, message: &Message, out: &mut Vec<Output>) {
        let sender = message.sender.name.as_str();
        match &message.kind {
            MessageKind::Ping => {
                let of = message.counter;
                self.send(sender, MessageKind::Ack { ping: of }, out);
            }
            MessageKind::Ack { ping: of } => self.acked(now, &message.sender, *of, out),
            MessageKind::PingRequest { target } => {
                if let Some(counter) = self.send(target, MessageKind::Ping, out) {
                    self.probes.add_errand(counter, message.sender.address, now);
                }
            }
            MessageKind::IndirectAck {
                target,
                incarnation,
            } => {
                let same = self
                    .table
                    .update(target)
                    .is_some_and(|held| held.incarnation == *incarnation);
                if same {
                    self.probes.vouched(target);
                }
            }
        }
    }

    fn acked(&mut self, now: Millis, sender: &MemberUpdate, of: u64, out: &mut Vec<Output>) {
        if let Some(to) = self.probes.errand(of) {
            let kind = MessageKind::IndirectAck {
                target: sender.name.clone(),
                incarnation: sender.incarnation,
            };
            let message = self.message(kind, None);
            out.push(Output::Send { to, message });
        }
        if self.probes.answered(&sender.name, of)
            && let Some(record) = self.table.others.get_mut(&sender.name)
        {
            record.note_ack(now);
        }
    }

    /// Fetches from a sender that holds more than this node, or has long seen other nodes.
    fn compare(&mut self, message: &Message, out: &mut Vec<Output>) {
        if message.view_digest == self.table.seen {
            self.differs = None;
        } else {
            self.differs.get_or_insert(self.round);
        }
        let table = self.wants_table();
        if self.fetching || !(table || message.revision > self.revision) {
            return;
        }
        self.fetching = true;
        if table {
            self.synced = Some(self.round);
        }
        out.push(Output::Fetch {
            from: message.sender.address,
            full_table: table,
        });
    }

    /// Returns whether news should have made the tables equal by now; a new node asks at once.
    ///
    /// Others that are as ignorant do not hide a difference for good: where no news comes any more,
    /// it counts too, though less often.
    fn wants_table(&self) -> bool {
        let wait = self.settings.sync_rounds;
        let Some(differs) = self.differs else {
            return false;
        };
        let Some(synced) = self.synced else {
            return true;
        };
        let long = self.round >= synced.max(differs) + wait;
        let quiet = self.round >= (synced + wait * QUIET).max(self.changed + wait);
        long || quiet
    }

    pub(super) fn fetched(&mut self, whole: bool) {
        self.fetching = false;
        if !whole {
            self.synced = None;
        }
    }

    pub(super) fn take_table(
        &mut self,
        now: Millis,
        updates: &[MemberUpdate],
        out: &mut Vec<Output>,
    ) {
        // The others know all this, or will find their tables different too: it is no news.
        for update in updates {
            self.take_update(now, update, out);
        }
    }

    pub(super) fn take_list(&mut self, listed: Vec<ListedNode>) {
        self.listed = listed
            .into_iter()
            .filter(|listed| listed.name != self.table.me.name)
            .map(|listed| (listed.name.clone(), listed))
            .collect();
    }

    /// Takes a higher revision, and tells peers at once.
    pub(super) fn holds(&mut self, now: Millis, revision: Revision, out: &mut Vec<Output>) {
        if revision <= self.revision {
            return;
        }
        self.revision = revision;
        self.ping_peers(now, self.settings.fanout, out);
    }

    /// Takes a statement, and sends it on if it is news.
    fn merge(&mut self, now: Millis, update: &MemberUpdate, out: &mut Vec<Output>) -> Merged {
        let merged = self.take_update(now, update, out);
        if matches!(merged, Merged::Newer { .. }) {
            self.spread(&update.name);
        }
        merged
    }

    fn take_update(&mut self, now: Millis, update: &MemberUpdate, out: &mut Vec<Output>) -> Merged {
        let merged = self.table.merge(now, update);
        match merged {
            Merged::Newer { before } => self.report(update, before, out),
            // Every message bears this node's own statement, so nothing more is to be sent.
            Merged::Refuted if update.incarnation == self.table.me.incarnation => {
                out.push(Output::SelfRefuted);
            }
            Merged::Refuted | Merged::Nothing | Merged::Full => {}
        }
        merged
    }

    fn report(&self, update: &MemberUpdate, before: Option<MemberState>, out: &mut Vec<Output>) {
        if before == Some(update.state) {
            return;
        }
        let doubted = matches!(before, Some(MemberState::Suspected | MemberState::Gone));
        if doubted && update.state == MemberState::Alive {
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
