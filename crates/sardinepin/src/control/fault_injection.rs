//! Network fault injection for tests and trials: datagram loss and cut links.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Mutex, PoisonError};

use rand::Rng as _;
use sardinepin_common::{Incarnation, Rng, Set, seeded_rng};

use crate::options::FaultInjectionSettings;

/// Decides which traffic passes; without configured faults, all of it does.
#[derive(Debug)]
pub(super) struct FaultInjector {
    loss_milli: u32,
    cut_file: Option<PathBuf>,
    state: Mutex<InjectorState>,
}

#[derive(Debug)]
struct InjectorState {
    rng: Rng,
    /// Pairs of addresses; nothing passes from the first to the second.
    cut_links: Set<(SocketAddr, SocketAddr)>,
}

impl FaultInjector {
    pub(super) fn new(settings: &FaultInjectionSettings, incarnation: Incarnation) -> Self {
        Self {
            loss_milli: settings.loss_milli,
            cut_file: settings.cut_file.clone(),
            state: Mutex::new(InjectorState {
                rng: seeded_rng(incarnation.0),
                cut_links: Set::default(),
            }),
        }
    }

    /// Returns whether the link in this direction is not cut.
    pub(super) fn allows_link(&self, from: SocketAddr, to: SocketAddr) -> bool {
        self.cut_file.is_none() || !self.lock().cut_links.contains(&(from, to))
    }

    /// Returns whether a datagram passes: its link is not cut, and it is not lost at random.
    pub(super) fn allows_datagram(&self, from: SocketAddr, to: SocketAddr) -> bool {
        if !self.allows_link(from, to) {
            return false;
        }
        let lossless = self.loss_milli == 0;
        lossless || self.lock().rng.random_range(0..1_000) >= self.loss_milli
    }

    /// Reads the file of cut links again; without a file, no link is cut.
    ///
    /// Each line holds the two addresses of a link, separated by a space.
    pub(super) async fn reload_cut_links(&self) {
        let Some(path) = &self.cut_file else { return };
        let text = tokio::fs::read_to_string(path).await.unwrap_or_default();
        self.lock().cut_links = text.lines().filter_map(parse_link).collect();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, InjectorState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn parse_link(line: &str) -> Option<(SocketAddr, SocketAddr)> {
    let (from, to) = line.split_once(' ')?;
    Some((from.parse().ok()?, to.parse().ok()?))
}
