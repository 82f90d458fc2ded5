//! Selects an application engine for a call (design document, section 5): power of two choices on
//! outstanding calls and latency, local zone first, skipping ejected engines. Pure.

use std::sync::Arc;

use hooklug_types::ZoneName;
use rand::{Rng, RngExt};
use tokio::time::Instant;

use super::Target;
use super::stats::EngineStats;

/// Maximum share of a service's engines that may be ejected at once. When more fail, the fault is
/// more likely elsewhere.
const MAX_EJECTED_SHARE: f64 = 0.5;

/// An engine that is eligible for a call, with its statistics.
#[derive(Debug, Clone)]
pub struct EligibleEngine {
    /// The engine.
    pub target: Arc<Target>,
    /// Statistics of its calls.
    pub stats: EngineStats,
    /// Maximum number of outstanding calls.
    pub limit: u32,
}

impl EligibleEngine {
    fn has_capacity(&self) -> bool {
        self.stats.outstanding() < self.limit
    }
}

/// Chooses an engine with a free slot, preferring the local zone; `None` when all are full.
pub fn choose<'a>(
    candidates: &'a [EligibleEngine],
    own_zone: &ZoneName,
    now: Instant,
    random: &mut impl Rng,
) -> Option<&'a EligibleEngine> {
    let eligible = without_ejected(candidates, now);
    let available: Vec<&EligibleEngine> =
        eligible.into_iter().filter(|c| c.has_capacity()).collect();
    let own: Vec<&EligibleEngine> =
        available.iter().copied().filter(|c| c.target.zone == *own_zone).collect();
    better_of_two(if own.is_empty() { &available } else { &own }, now, random)
}

/// Filters out ejected engines up to the cap; those whose ejection ends first stay eligible.
fn without_ejected(candidates: &[EligibleEngine], now: Instant) -> Vec<&EligibleEngine> {
    let cap = (candidates.len() as f64 * MAX_EJECTED_SHARE).floor() as usize;
    let mut ejected: Vec<&EligibleEngine> =
        candidates.iter().filter(|c| c.stats.ejected_until(now).is_some()).collect();
    ejected.sort_by_key(|c| std::cmp::Reverse(c.stats.ejected_until(now)));
    ejected.truncate(cap);
    let is_ejected = |c: &EligibleEngine| ejected.iter().any(|out| out.target.run == c.target.run);
    candidates.iter().filter(|c| !is_ejected(c)).collect()
}

fn better_of_two<'a>(
    candidates: &[&'a EligibleEngine],
    now: Instant,
    random: &mut impl Rng,
) -> Option<&'a EligibleEngine> {
    if candidates.len() <= 1 {
        return candidates.first().copied();
    }
    let first = random.random_range(0..candidates.len());
    let second = (first + random.random_range(1..candidates.len())) % candidates.len();
    let (a, b) = (candidates[first], candidates[second]);
    Some(if b.stats.cost(now) < a.stats.cost(now) { b } else { a })
}
