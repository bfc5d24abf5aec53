//! The queue of member updates that are still to be sent on to other nodes.

use std::cmp::Reverse;

/// Names of members with the number of messages that must still carry their updates.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    pending: Vec<(u32, String)>,
}

impl GossipQueue {
    /// Queues the update about `name` for `transmits` messages, replacing an earlier count.
    pub(crate) fn add(&mut self, name: &str, transmits: u32) {
        self.pending.retain(|(_, queued)| queued != name);
        self.pending.push((transmits, name.to_owned()));
    }

    /// Takes up to `count` names for the next message, those with the most transmissions left
    /// first.
    pub(crate) fn take(&mut self, count: usize) -> Vec<String> {
        self.pending
            .sort_by_key(|(transmits, _)| Reverse(*transmits));
        let mut names = Vec::new();
        for (transmits, name) in self.pending.iter_mut().take(count) {
            *transmits -= 1;
            names.push(name.clone());
        }
        self.pending.retain(|(transmits, _)| *transmits > 0);
        names
    }
}
