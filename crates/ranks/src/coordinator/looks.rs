//! Who belongs to the group, and how its engines are.

use std::net::SocketAddr;

use futures_util::future::join_all;
use sardinepin_common::Millis;

use super::{Coordinator, DIRECT_MAX, DIRECT_PAUSE, LOOK, MEMBERS, Seat};
use crate::engine::{EngineReport, Member};
use crate::messages::{Call, Reply, Scope, View};
use crate::peer::Peer;

/// How many times longer than a look with counts the pause until the next one is: the counts of a
/// large group fill the links of its instances.
const COUNT_PAUSES: u64 = 3;

/// The last look with counts.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Counted {
    at: Millis,
    took: Millis,
}

impl Counted {
    pub(super) fn new(at: Millis, took: Millis) -> Self {
        Self { at, took }
    }

    /// Returns whether the counts may be asked for again.
    pub(super) fn is_due(self, now: Millis) -> bool {
        let pause = LOOK.max(Millis(self.took.0 * COUNT_PAUSES));
        now.since(self.at) >= pause
    }
}

impl Coordinator {
    /// Finds out who belongs to the group; returns whether all of them are known.
    pub(super) async fn know_members(&mut self, own: &EngineReport) -> bool {
        let size = own.rank.size;
        let now = self.clock.now();
        if self.seats.len() == size && !self.members_doubted {
            return true;
        }
        if let Some(at) = self.members_at
            && now.since(at) < MEMBERS
        {
            return self.seats.len() == size;
        }
        self.members_at = Some(now);
        let members = match self.directory.members().await {
            Ok(members) => members,
            Err(error) => {
                log::debug!(event = "members_unknown", error:% = error; "the list of members cannot be read");
                return self.seats.len() == size;
            }
        };
        let mut members: Vec<Member> = members
            .into_iter()
            .filter(|member| member.group == own.group)
            .collect();
        members.sort_by_key(|member| member.rank);
        members.dedup_by_key(|member| member.rank);
        self.members_doubted = false;
        self.seat(members);
        self.seats.len() == size
    }

    fn seat(&mut self, members: Vec<Member>) {
        let same = members
            .iter()
            .eq(self.seats.iter().map(|seat| &seat.member));
        if same {
            return;
        }
        let port = self.settings.peer_port;
        let seats = members.into_iter().map(|member| Seat {
            peer: Peer::new(SocketAddr::new(member.engine.ip(), port)),
            member,
        });
        self.seats = seats.collect();
    }

    /// Looks at every member at once.
    pub(super) async fn look(&mut self) -> Vec<View> {
        let began = self.clock.now();
        let scope = Scope {
            counts: self.counted.is_due(began),
            experts: self.maps.is_none(),
        };
        let looks = self.seats.iter().map(|seat| self.look_at(seat, scope));
        let mut views: Vec<Option<View>> = join_all(looks).await;
        if views.iter().any(Option::is_none) {
            self.look_directly(&mut views).await;
        }
        let complete = views.iter().all(Option::is_some);
        let views: Vec<View> = views.into_iter().flatten().collect();
        if complete {
            if scope.counts {
                self.count(began, &views);
            }
            self.learn_maps(&views);
        }
        views
    }

    /// Takes in the counts of all ranks.
    fn count(&mut self, began: Millis, views: &[View]) {
        let now = self.clock.now();
        self.counted = Counted::new(now, now.since(began));
        let epoch = views.first().map_or(0, |view| view.report.rank.epoch);
        let counts = views.iter().map(|view| {
            let counts = view.counts.as_ref()?;
            Some(counts.counts.clone())
        });
        let counts: Vec<_> = counts.collect();
        let experts = self.settings.shape.experts;
        self.popularity.observe(now, epoch, &counts, experts);
    }

    async fn look_at(&self, seat: &Seat, scope: Scope) -> Option<View> {
        if seat.member.engine == self.settings.engine {
            return self.agent.view(scope).await;
        }
        let call = Call::Look {
            term: self.term,
            scope,
        };
        match seat.peer.call(&call).await {
            Some(Reply::View(view)) => Some(*view),
            _ => None,
        }
    }

    /// Looks at the engines whose agents are silent, since a held step must not wait for them.
    async fn look_directly(&mut self, views: &mut [Option<View>]) {
        let now = self.clock.now();
        let is_held = |view: &View| view.report.rank.held.is_some();
        let held = views.iter().flatten().any(is_held);
        if !held && now.since(self.direct_at) < DIRECT_PAUSE {
            return;
        }
        self.direct_at = now;
        let looks = self
            .seats
            .iter()
            .zip(views.iter())
            .map(async |(seat, view)| {
                if view.is_some() {
                    return None;
                }
                let call = self.engines.report(seat.member.engine);
                let report = tokio::time::timeout(DIRECT_MAX.duration(), call).await;
                Some(View {
                    report: report.ok()?.ok()?,
                    counts: None,
                    experts: None,
                })
            });
        let found: Vec<Option<View>> = join_all(looks).await;
        for (view, found) in views.iter_mut().zip(found) {
            if view.is_none() {
                *view = found;
            }
        }
    }

    /// Puts the maps in use together from what every rank holds.
    fn learn_maps(&mut self, views: &[View]) {
        let Some(first) = views.first().map(|view| view.report.rank) else {
            return;
        };
        let current = (first.epoch, first.active);
        if self
            .maps
            .as_ref()
            .is_some_and(|(epoch, version, _)| (*epoch, *version) != current)
        {
            self.maps = None;
        }
        if self.maps.is_some() {
            return;
        }
        if let Some(switch) = self
            .released
            .take_if(|switch| (switch.0, switch.1) == current)
        {
            self.maps = Some(switch);
            return;
        }
        let held: Option<Vec<_>> = views.iter().map(|view| view.experts.as_ref()).collect();
        let Some(held) = held else {
            return;
        };
        if held.iter().any(|experts| experts.version != first.active) {
            return;
        }
        let layers = (0..self.settings.shape.layers)
            .map(|layer| {
                let ranks = held
                    .iter()
                    .map(|experts| experts.layers.get(layer).cloned());
                ranks.map(Option::unwrap_or_default).collect()
            })
            .collect();
        self.maps = Some((current.0, current.1, layers));
    }
}
