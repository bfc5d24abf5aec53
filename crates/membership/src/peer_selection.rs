//! Selection of the peers that a node pings in a gossip round.
//!
//! A link in this module is an edge of the gossip overlay, from a node to a peer that it pings, not
//! a connection.

use rand::Rng as _;
use sardinepin_common::Rng;
use serde::{Deserialize, Serialize};

use crate::ring::{Ring, digest_of};

/// Number of fixed long-distance links of a node, besides its two ring neighbours.
const LONG_LINKS: usize = 4;

/// Upper bound on draws per wanted peer, since several links may lead to the same node.
const DRAWS_PER_PEER: usize = 4;

/// How the peers of a round are selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerChoice {
    /// Uniformly at random, independently in each round.
    Uniform,
    /// Round-robin over the two ring neighbours and a few fixed long-distance links.
    ///
    /// The lengths of the links are drawn from the harmonic distribution, p(x) = 1 / (x ln n) for x
    /// from 1/n to 1, after "Symphony: Distributed Hashing In A Small World" by Gurmeet Singh Manku,
    /// Mayank Bawa and Prabhakar Raghavan.
    #[default]
    LongLinks,
}

/// Selects peers from a ring; the selecting node itself need not be on the ring.
pub(crate) trait PeerSelector: std::fmt::Debug + Send {
    /// Returns up to `count` distinct node names.
    fn select(&mut self, ring: &Ring, count: usize, rng: &mut Rng) -> Vec<String>;
}

/// Creates the selector of the given kind for the node `name`.
pub(crate) fn peer_selector(kind: PeerChoice, name: &str, rng: &mut Rng) -> Box<dyn PeerSelector> {
    match kind {
        PeerChoice::Uniform => Box::new(UniformSelector),
        PeerChoice::LongLinks => Box::new(LongLinkSelector::new(name, rng)),
    }
}

#[derive(Debug)]
struct UniformSelector;

impl PeerSelector for UniformSelector {
    fn select(&mut self, ring: &Ring, count: usize, rng: &mut Rng) -> Vec<String> {
        rand::seq::index::sample(rng, ring.len(), count.min(ring.len()))
            .into_iter()
            .map(|index| ring.name_at(index).to_owned())
            .collect()
    }
}

#[derive(Debug)]
struct LongLinkSelector {
    /// The node's own position on the ring.
    position: u64,
    /// Random exponents from 0 to 1; with the current number of nodes they give the link lengths.
    exponents: [f64; LONG_LINKS],
    /// Counts the links used so far; modulo the number of links it is the next link.
    next_link: usize,
}

impl LongLinkSelector {
    fn new(name: &str, rng: &mut Rng) -> Self {
        Self {
            position: digest_of(name),
            exponents: std::array::from_fn(|_| rng.random_range(0.0..1.0)),
            next_link: 0,
        }
    }

    /// Returns the ring index that the next link leads to, and advances to the link after it.
    fn next_index(&mut self, ring: &Ring) -> usize {
        let successor = ring.successor(self.position);
        let link = self.next_link % (LONG_LINKS + 2);
        self.next_link += 1;
        match link {
            0 => successor,
            1 => successor + ring.len() - 1,
            long => {
                let length = link_length(self.exponents[long - 2], ring.len());
                ring.successor(self.position.wrapping_add(length))
            }
        }
    }
}

impl PeerSelector for LongLinkSelector {
    fn select(&mut self, ring: &Ring, count: usize, _: &mut Rng) -> Vec<String> {
        let mut selected: Vec<String> = Vec::with_capacity(count);
        if ring.is_empty() {
            return selected;
        }
        for _ in 0..count * DRAWS_PER_PEER {
            if selected.len() == count.min(ring.len()) {
                break;
            }
            let index = self.next_index(ring);
            let name = ring.name_at(index);
            if !selected.iter().any(|other| other == name) {
                selected.push(name.to_owned());
            }
        }
        selected
    }
}

/// Returns the length of a link: the fraction n^(`exponent` - 1) of the ring's circumference, for n
/// nodes.
fn link_length(exponent: f64, nodes: usize) -> u64 {
    let fraction = (nodes as f64).powf(exponent - 1.0);
    (fraction * u64::MAX as f64) as u64
}
