//! Decides on the admission level of the group from the views of a poll, and reports its changes.

use sardinepin_common::Millis;
use sardinepin_decisions::{AdmissionSettings, GroupAdmission, MemberState};
use sardinepin_protocol::AdmissionLevel;

use crate::messages::EngineView;

/// The change of the admitted part of the demand that is logged.
const LOGGED_CHANGE: f64 = 0.2;

/// The admission level of a group.
#[derive(Debug)]
pub(super) struct LoadAdmission {
    group: GroupAdmission,
    /// The level that was last logged.
    logged: Option<AdmissionLevel>,
}

impl LoadAdmission {
    pub(super) fn new(settings: AdmissionSettings) -> Self {
        Self {
            group: GroupAdmission::new(settings),
            logged: None,
        }
    }

    pub(super) fn reset(&mut self) {
        self.group.reset();
        self.logged = None;
    }

    /// Returns the level that follows from the views of a poll; `None` if the group takes all requests.
    pub(super) fn level(
        &mut self,
        now: Millis,
        gateways: u32,
        views: &[Option<EngineView>],
        slots: impl Iterator<Item = u32>,
    ) -> Option<AdmissionLevel> {
        let epoch = views.iter().flatten().map(|view| view.report.rank.epoch);
        let epoch = epoch.max().unwrap_or_default();
        let members = views.iter().zip(slots).map(|(view, slots)| {
            let view = view.as_ref()?;
            let load = view.report.load;
            Some(MemberState {
                load: u32::from(load.running) + u32::from(load.waiting),
                slots,
                demand: view.demand.as_ref(),
            })
        });
        let members: Vec<Option<MemberState<'_>>> = members.collect();
        let level = self.group.observe(now, epoch, gateways, &members).cloned();
        self.log_change(level.as_ref());
        level
    }

    fn log_change(&mut self, level: Option<&AdmissionLevel>) {
        let rate = |level: &AdmissionLevel| f64::from(level.admitted_per_s);
        match (&self.logged, level) {
            (Some(_), None) => {
                log::info!(event = "admission_ended"; "the group takes all requests again");
            }
            (None, Some(level)) => log_level("admission_began", level),
            (Some(logged), Some(level))
                if (rate(level) - rate(logged)).abs() > LOGGED_CHANGE * rate(logged) =>
            {
                log_level("admission_changed", level);
            }
            _ => return,
        }
        self.logged = level.cloned();
    }
}

fn log_level(event: &str, level: &AdmissionLevel) {
    let shares = level.shares.iter();
    let percent: Vec<u32> = shares.map(|share| u32::from(*share) * 100 / 255).collect();
    log::info!(
        event = event, admitted_per_s = level.admitted_per_s,
        completed_per_s = level.completed_per_s, shares_percent:? = percent;
        "the group takes a share of all requests"
    );
}
