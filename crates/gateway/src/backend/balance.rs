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
const LARGEST_EJECTED_SHARE: f64 = 0.5;

/// An engine that is eligible for a call, with its statistics.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The engine.
    pub target: Arc<Target>,
    /// Statistics of its calls.
    pub stats: EngineStats,
    /// Maximum number of outstanding calls.
    pub limit: u32,
}

impl Choice {
    fn has_room(&self) -> bool {
        self.stats.outstanding() < self.limit
    }
}

/// Chooses an engine with a free slot, preferring the local zone; `None` when all are full.
pub fn choose<'a>(
    among: &'a [Choice],
    own_zone: &ZoneName,
    now: Instant,
    random: &mut impl Rng,
) -> Option<&'a Choice> {
    let open = without_ejected(among, now);
    let roomy: Vec<&Choice> = open.into_iter().filter(|c| c.has_room()).collect();
    let own: Vec<&Choice> = roomy.iter().copied().filter(|c| c.target.zone == *own_zone).collect();
    better_of_two(if own.is_empty() { &roomy } else { &own }, now, random)
}

/// Filters out ejected engines up to the cap; those whose ejection ends first stay eligible.
fn without_ejected(among: &[Choice], now: Instant) -> Vec<&Choice> {
    let cap = (among.len() as f64 * LARGEST_EJECTED_SHARE).floor() as usize;
    let mut ejected: Vec<&Choice> =
        among.iter().filter(|c| c.stats.ejected_until(now).is_some()).collect();
    ejected.sort_by_key(|c| std::cmp::Reverse(c.stats.ejected_until(now)));
    ejected.truncate(cap);
    let is_out = |c: &Choice| ejected.iter().any(|out| out.target.run == c.target.run);
    among.iter().filter(|c| !is_out(c)).collect()
}

fn better_of_two<'a>(
    among: &[&'a Choice],
    now: Instant,
    random: &mut impl Rng,
) -> Option<&'a Choice> {
    if among.len() <= 1 {
        return among.first().copied();
    }
    let first = random.random_range(0..among.len());
    let second = (first + random.random_range(1..among.len())) % among.len();
    let (a, b) = (among[first], among[second]);
    Some(if b.stats.cost(now) < a.stats.cost(now) { b } else { a })
}
