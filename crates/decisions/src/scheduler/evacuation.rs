//! Upstreams in evacuated zones: why a service without usable upstreams refuses, and what is refused when an evacuation begins.
//!
//! This answers a zone that operators evacuate under load: its upstreams keep running, and their rank groups keep stepping, but no
//! request is sent there.

use sardinepin_common::Millis;
use sardinepin_protocol::ErrorKind;

use super::{RETRY_AFTER, Scheduler};
use crate::events::{Effect, RequestNumber};
use crate::pending::Stage;

impl Scheduler {
    /// Returns why requests for a service are refused while none of its upstreams takes work.
    pub(super) fn unavailable_kind(&self, pool: usize) -> ErrorKind {
        let members = self.pools.list[pool].members();
        let members = members.map(|index| &self.fleet.upstreams[index]);
        let mut wanted = members
            .filter(|upstream| upstream.is_wanted())
            .map(|upstream| (upstream.info.evacuated, upstream.is_serving()))
            .peekable();
        let any = wanted.peek().is_some();
        // Either one works but for the evacuation, or no zone is left whose outage could end.
        let (mut serving, mut all) = (false, true);
        for (evacuated, is_serving) in wanted {
            serving |= evacuated && is_serving;
            all &= evacuated;
        }
        match any && (serving || all) {
            true => ErrorKind::ZonesEvacuated,
            false => ErrorKind::NoUpstream,
        }
    }

    /// Releases upstreams that are reserved for suspects but take no more work.
    pub(super) fn release_unusable_reservations(&mut self) {
        for upstream in &mut self.fleet.upstreams {
            upstream.release_unusable_reservation();
        }
    }

    /// Gives up the waiting requests of services whose last upstreams have been evacuated.
    pub(super) fn give_up_evacuated(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        for pool in 0..self.pools.list.len() {
            let is_unavailable = self.pools.list[pool].unavailable_since.is_some();
            if is_unavailable && self.unavailable_kind(pool) == ErrorKind::ZonesEvacuated {
                self.give_up_waiting(now, pool, ErrorKind::ZonesEvacuated, effects);
            }
        }
    }

    /// Gives up the waiting requests of a service.
    pub(super) fn give_up_waiting(
        &mut self,
        now: Millis,
        pool: usize,
        kind: ErrorKind,
        effects: &mut Vec<Effect>,
    ) {
        let mut waiting: Vec<RequestNumber> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.pool == pool && pending.stage != Stage::InFlight)
            .map(|(request, _)| *request)
            .collect();
        waiting.sort_unstable();
        for request in waiting {
            self.remove_from_queue(request);
            let retry_after = self.add_jitter(RETRY_AFTER);
            self.give_up(now, request, kind, retry_after, effects);
        }
    }
}
