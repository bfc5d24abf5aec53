//! Tells the balancer how many entries there are, among which retry budgets are divided.

use std::sync::Arc;

use sardinepin_common::Millis;
use sardinepin_decisions::Event;
use sardinepin_membership::{MemberStatus, MemberView};
use sardinepin_protocol::Role;

use crate::control::Control;
use crate::entry::balancer::BalancerHandle;

/// The interval between two counts. A fresh entry has heard of the others by the end of the first.
const COUNT_INTERVAL: Millis = Millis(500);

/// Counts the entries until the process ends.
pub(super) async fn count_entries(control: Arc<Control>, balancer: BalancerHandle) {
    loop {
        tokio::time::sleep(COUNT_INTERVAL.duration()).await;
        let members = control.members();
        let entries = members.iter().filter(|member| may_send(member));
        balancer.notify(Event::Entries(entries.count()));
    }
}

/// Returns whether a node is an entry that may be sending requests, as far as is known.
fn may_send(member: &MemberView) -> bool {
    member.role == Role::Entry && (member.status != MemberStatus::Gone || member.listed)
}
