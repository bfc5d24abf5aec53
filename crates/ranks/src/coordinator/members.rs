//! Finds the members of the group: who is listed for each rank, and whose engine reports to be that rank.
//!
//! The list is no proof: an entry may come from another writer, or name an engine that is gone or has become another rank since. Orders go
//! only to engines that report to be the rank that they are listed for.

use std::net::SocketAddr;

use futures_util::future::join_all;

use super::{Coordinator, DIRECT_TIMEOUT, MEMBERS_INTERVAL};
use crate::engine::{EngineReport, Member};
use crate::messages::EngineView;

impl Member {
    /// Returns whether a report is that of this member's rank in a group of `size` ranks.
    fn is_described_by(&self, report: &EngineReport, size: usize) -> bool {
        report.group == self.group && report.rank.rank == self.rank && report.rank.size == size
    }
}

impl Coordinator {
    /// Reads the member list if it may be out of date; returns whether every member is known.
    pub(super) async fn refresh_members(&mut self, own: &EngineReport) -> bool {
        let size = own.rank.size;
        let now = self.clock.now();
        if self.members.len() == size && !self.members_stale {
            return true;
        }
        if let Some(at) = self.members_read
            && now.since(at) < MEMBERS_INTERVAL
        {
            return self.members.len() == size;
        }
        self.members_read = Some(now);
        let listed = match self.directory.members().await {
            Ok(members) => members,
            Err(error) => {
                log::debug!(event = "members_unknown", error:% = error; "cannot read the member list");
                return self.members.len() == size;
            }
        };
        let is_listed = |engine: &SocketAddr| listed.iter().any(|member| member.engine == *engine);
        self.foreign.retain(is_listed);
        let choices = candidates(listed, own).into_iter();
        let members = join_all(choices.map(|listed| self.choose_member(listed, own))).await;
        self.members_stale = false;
        self.set_members(members.into_iter().flatten().collect());
        self.members.len() == size
    }

    /// Returns the member of a rank, of those that are listed for it: the one whose engine reports to be that rank, or else one whose
    /// engine is silent.
    async fn choose_member(&self, listed: Vec<Member>, own: &EngineReport) -> Option<Member> {
        let is_own = |member: &&Member| member.engine == self.settings.engine;
        if listed.first()?.rank == own.rank.rank
            && let Some(member) = listed.iter().find(is_own)
        {
            return Some(member.clone());
        }
        if let [only] = listed.as_slice()
            && !self.foreign.contains(&only.engine)
        {
            return Some(only.clone());
        }
        let reports = join_all(listed.iter().map(|member| self.report_of(member))).await;
        let mut silent = None;
        for (member, report) in listed.iter().zip(reports) {
            match report {
                Some(report) if member.is_described_by(&report, own.rank.size) => {
                    return Some(member.clone());
                }
                None if !self.foreign.contains(&member.engine) => {
                    silent.get_or_insert(member);
                }
                _ => {}
            }
        }
        silent.cloned()
    }

    /// Asks the engine of a member itself, as the agent at a wrong address may be that of another group.
    async fn report_of(&self, member: &Member) -> Option<EngineReport> {
        let call = self.engines.report(member.engine);
        let report = tokio::time::timeout(DIRECT_TIMEOUT.duration(), call).await;
        report.ok()?.ok()
    }

    /// Drops the views of engines that do not report to be the ranks that they are listed for; returns whether there were any.
    pub(super) fn drop_foreign_views(&mut self, views: &mut [Option<EngineView>]) -> bool {
        let mut found = false;
        for (target, slot) in self.members.iter().zip(views) {
            let Some(view) = slot else {
                continue;
            };
            let (member, report) = (&target.member, &view.report);
            if member.is_described_by(report, self.size) {
                self.foreign.remove(&member.engine);
                continue;
            }
            found = true;
            if self.foreign.insert(member.engine) {
                log::warn!(
                    event = "foreign_engine", engine:% = member.engine, group = &*member.group, rank = member.rank,
                    reported_group = &*report.group, reported_rank = report.rank.rank, size = report.rank.size;
                    "an engine does not report to be the rank that it is listed for; it gets no orders"
                );
            }
            metrics::counter!("sardinepin_foreign_reports_total").increment(1);
            *slot = None;
        }
        found
    }

    /// Returns whether a view of a member is that of its rank.
    pub(super) fn is_of_member(&self, index: usize, view: &EngineView) -> bool {
        let target = self.members.get(index);
        target.is_some_and(|target| target.member.is_described_by(&view.report, self.size))
    }
}

/// Returns the members that are listed for each rank of the group, one for each engine.
fn candidates(listed: Vec<Member>, own: &EngineReport) -> Vec<Vec<Member>> {
    let mut ranks = vec![Vec::new(); own.rank.size];
    for member in listed {
        if member.group != own.group {
            continue;
        }
        // An entry of another writer may name any rank, and is no member then.
        let Some(rank) = ranks.get_mut(member.rank) else {
            continue;
        };
        if !rank
            .iter()
            .any(|known: &Member| known.engine == member.engine)
        {
            rank.push(member);
        }
    }
    ranks
}
