//! Logs and counts the zones that are evacuated according to the configuration in force.

use std::collections::BTreeSet;

use sardinepin_config::Snapshot;

/// The evacuated zones that were last logged.
#[derive(Debug, Default)]
pub(crate) struct EvacuationLog {
    zones: BTreeSet<String>,
}

impl EvacuationLog {
    /// Logs the evacuations that began or ended since the last call.
    pub(crate) fn record(&mut self, snapshot: &Snapshot) {
        let revision = snapshot.revision().0;
        let zones: BTreeSet<String> = snapshot.evacuated_zones().map(str::to_owned).collect();
        for zone in zones.difference(&self.zones) {
            log::info!(event = "zone_evacuated", zone = zone.as_str(), revision = revision; "zone is evacuated; no requests are sent to it");
        }
        for zone in self.zones.difference(&zones) {
            log::info!(event = "zone_restored", zone = zone.as_str(), revision = revision; "evacuation has ended; the zone gets requests again");
        }
        metrics::gauge!("sardinepin_evacuated_zones").set(zones.len() as f64);
        self.zones = zones;
    }
}
