//! How the tokens of a step are split among the replicas of their experts.
//!
//! Every rank knows the step's dispatch (how many tokens each expert gets) before tokens are
//! sent, so each works out the same least-loaded split. An even split would leave the sampling
//! noise of a step and the drift since the last switch on the slowest rank.

/// How often each replicated expert is spread anew.
const SWEEPS: usize = 8;

/// Returns the load of each rank after the least-loaded split of `loads` (one per expert).
///
/// Experts without replicas stay where they are. The others are filled in turn where their ranks
/// are lowest; repeated, this comes near the split whose slowest rank is fastest.
#[must_use]
pub fn split(hosts: &[Vec<u16>], loads: &[f64], ranks: usize) -> Vec<f64> {
    let mut split = Split::new(hosts, loads, ranks);
    for _ in 0..SWEEPS {
        split.sweep(hosts, loads);
    }
    split.totals
}

struct Split {
    totals: Vec<f64>,
    /// The replicated experts, heaviest first, with their share at each host.
    shares: Vec<(usize, Vec<f64>)>,
    order: Vec<(f64, usize)>,
}

impl Split {
    fn new(hosts: &[Vec<u16>], loads: &[f64], ranks: usize) -> Self {
        let mut totals = vec![0.0; ranks];
        let mut shares = Vec::new();
        for (expert, (at, load)) in hosts.iter().zip(loads).enumerate() {
            match at.as_slice() {
                [] => {}
                [only] => totals[usize::from(*only)] += load,
                more => shares.push((expert, vec![0.0; more.len()])),
            }
        }
        shares.sort_by(|a, b| loads[b.0].total_cmp(&loads[a.0]).then(a.0.cmp(&b.0)));
        Self {
            totals,
            shares,
            order: Vec::new(),
        }
    }

    fn sweep(&mut self, hosts: &[Vec<u16>], loads: &[f64]) {
        for (expert, shares) in &mut self.shares {
            let at = &hosts[*expert];
            for (rank, share) in at.iter().zip(shares.iter()) {
                self.totals[usize::from(*rank)] -= share;
            }
            fill(
                &mut self.totals,
                at,
                shares,
                loads[*expert],
                &mut self.order,
            );
        }
    }
}

/// Pours `load` over the ranks in `at`, the lowest first, and notes each share.
fn fill(
    totals: &mut [f64],
    at: &[u16],
    shares: &mut [f64],
    load: f64,
    order: &mut Vec<(f64, usize)>,
) {
    order.clear();
    order.extend(
        at.iter()
            .enumerate()
            .map(|(place, rank)| (totals[usize::from(*rank)], place)),
    );
    order.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut sum = 0.0;
    let mut level = 0.0;
    for (count, (total, _)) in order.iter().enumerate() {
        sum += total;
        level = (load + sum) / (count + 1) as f64;
        if order.get(count + 1).is_none_or(|next| next.0 >= level) {
            break;
        }
    }
    for (total, place) in order.iter() {
        shares[*place] = (level - total).max(0.0);
        totals[usize::from(at[*place])] += shares[*place];
    }
}
