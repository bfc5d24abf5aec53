//! The choice of the peers that a round speaks to.

use rand::Rng as _;
use sardinepin_common::Rng;
use serde::{Deserialize, Serialize};

use crate::ring::{Ring, digest_of};

/// How many long-distance links a node keeps.
const LONG_LINKS: usize = 4;

/// How many draws may meet a peer that is chosen already, for each peer that is wanted.
const DRAWS: usize = 4;

/// How the peers of a round are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerChoice {
    /// Uniformly at random, afresh in each round.
    Uniform,
    /// In turn: the two neighbours on a ring and a few fixed long-distance links.
    ///
    /// The lengths of the links are drawn from the harmonic distribution, p(x) = 1 / (x ln n) for x
    /// from 1/n to 1, after "Symphony: Distributed Hashing In A Small World" by Gurmeet Singh Manku,
    /// Mayank Bawa and Prabhakar Raghavan.
    #[default]
    LongLinks,
}

/// Chooses peers from a ring on which the chooser itself need not be.
pub(crate) trait Chooser: std::fmt::Debug + Send {
    /// Returns up to `count` different names.
    fn choose(&mut self, ring: &Ring, count: usize, rng: &mut Rng) -> Vec<String>;
}

/// Makes the chooser of a kind for the node of that name.
pub(crate) fn chooser(kind: PeerChoice, name: &str, rng: &mut Rng) -> Box<dyn Chooser> {
    match kind {
        PeerChoice::Uniform => Box::new(Uniform),
        PeerChoice::LongLinks => Box::new(LongLinks::new(name, rng)),
    }
}

#[derive(Debug)]
struct Uniform;

impl Chooser for Uniform {
    fn choose(&mut self, ring: &Ring, count: usize, rng: &mut Rng) -> Vec<String> {
        rand::seq::index::sample(rng, ring.len(), count.min(ring.len()))
            .into_iter()
            .map(|at| ring.at(at).to_owned())
            .collect()
    }
}

#[derive(Debug)]
struct LongLinks {
    /// The node's own position.
    position: u64,
    /// The exponents from which the links' lengths follow, whatever the number of nodes.
    draws: [f64; LONG_LINKS],
    /// The link whose turn it is.
    turn: usize,
}

impl LongLinks {
    fn new(name: &str, rng: &mut Rng) -> Self {
        Self {
            position: digest_of(name),
            draws: std::array::from_fn(|_| rng.random_range(0.0..1.0)),
            turn: 0,
        }
    }

    /// Returns the index on the ring of the link whose turn it is.
    fn next(&mut self, ring: &Ring) -> usize {
        let after = ring.manager(self.position);
        let turn = self.turn % (LONG_LINKS + 2);
        self.turn += 1;
        match turn {
            0 => after,
            1 => after + ring.len() - 1,
            long => {
                let length = length_of(self.draws[long - 2], ring.len());
                ring.manager(self.position.wrapping_add(length))
            }
        }
    }
}

impl Chooser for LongLinks {
    fn choose(&mut self, ring: &Ring, count: usize, _: &mut Rng) -> Vec<String> {
        let mut chosen: Vec<String> = Vec::with_capacity(count);
        if ring.is_empty() {
            return chosen;
        }
        for _ in 0..count * DRAWS {
            if chosen.len() == count.min(ring.len()) {
                break;
            }
            let at = self.next(ring);
            let name = ring.at(at);
            if !chosen.iter().any(|held| held == name) {
                chosen.push(name.to_owned());
            }
        }
        chosen
    }
}

/// Returns the length of a link: n to the power of `draw` - 1, as a part of the circumference.
fn length_of(draw: f64, nodes: usize) -> u64 {
    let part = (nodes as f64).powf(draw - 1.0);
    (part * u64::MAX as f64) as u64
}
