//! The border to the network, where tests and trials lose and cut what passes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Mutex, PoisonError};

use rand::Rng as _;
use sardinepin_common::{Incarnation, Rng, Set, seeded_rng};

use crate::options::FaultInjectionSettings;

/// Decides what passes; without faults, everything does.
#[derive(Debug)]
pub(super) struct Border {
    loss_milli: u32,
    cut_file: Option<PathBuf>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    rng: Rng,
    /// Pairs of addresses; nothing passes from the first to the second.
    cut: Set<(SocketAddr, SocketAddr)>,
}

impl Border {
    pub(super) fn new(faults: &FaultInjectionSettings, incarnation: Incarnation) -> Self {
        Self {
            loss_milli: faults.loss_milli,
            cut_file: faults.cut_file.clone(),
            state: Mutex::new(State {
                rng: seeded_rng(incarnation.0),
                cut: Set::default(),
            }),
        }
    }

    /// Returns whether anything passes from one node to another.
    pub(super) fn passes(&self, from: SocketAddr, to: SocketAddr) -> bool {
        self.cut_file.is_none() || !self.state().cut.contains(&(from, to))
    }

    /// Returns whether a datagram from one node to another gets through.
    pub(super) fn sends(&self, from: SocketAddr, to: SocketAddr) -> bool {
        if !self.passes(from, to) {
            return false;
        }
        let lossless = self.loss_milli == 0;
        lossless || self.state().rng.random_range(0..1_000) >= self.loss_milli
    }

    /// Reads the file of cut links again; while there is none, nothing is cut.
    pub(super) async fn reload(&self) {
        let Some(path) = &self.cut_file else { return };
        let text = tokio::fs::read_to_string(path).await.unwrap_or_default();
        self.state().cut = text.lines().filter_map(pair).collect();
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn pair(line: &str) -> Option<(SocketAddr, SocketAddr)> {
    let (from, to) = line.split_once(' ')?;
    Some((from.parse().ok()?, to.parse().ok()?))
}
