//! Shares the engines of a service out among the prefixes of its prompts, by how often each is asked for. Pure.
//!
//! All engines stand on a ring, and each prefix has a part of it as long as its share of the requests. Gateways see the
//! same shares, so they send a prefix to the same few engines without a word between them, and no engine gets more
//! than its part.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use hooklug_types::EngineId;

/// Requests after which the past counts half (ours).
const HALF_LIFE: u32 = 512;

/// Prefixes that are told apart (ours); rarer ones have no part of their own.
const MOST_PREFIXES: usize = 128;

/// How often each prefix is asked for.
#[derive(Debug, Clone, Default)]
pub struct PrefixRing {
    /// Requests by the prefix's place on the ring, fading.
    counts: BTreeMap<u64, f64>,
    since_halved: u32,
}

/// A prefix's part of the ring, from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RingPart {
    from: f64,
    to: f64,
}

impl RingPart {
    /// Whether an engine lies in it, by its place among all.
    #[must_use]
    pub fn holds(&self, place: usize, engines: usize) -> bool {
        let (low, high) = (place as f64 / engines as f64, (place + 1) as f64 / engines as f64);
        low < self.to && self.from < high
    }
}

/// Place on the ring.
fn place_of(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

impl PrefixRing {
    /// Counts a request.
    pub fn note(&mut self, prefix: &str) {
        *self.counts.entry(place_of(prefix)).or_default() += 1.0;
        self.since_halved += 1;
        if self.since_halved >= HALF_LIFE || self.counts.len() > MOST_PREFIXES {
            self.since_halved = 0;
            self.counts.values_mut().for_each(|count| *count /= 2.0);
            self.counts.retain(|_, count| *count >= 1.0);
        }
    }

    /// A prefix's part of the ring; `None` while it is rare.
    #[must_use]
    pub fn part(&self, prefix: &str) -> Option<RingPart> {
        let place = place_of(prefix);
        let own = self.counts.get(&place)?;
        let total: f64 = self.counts.values().sum();
        let before: f64 = self.counts.range(..place).map(|(_, count)| count).sum();
        Some(RingPart { from: before / total, to: (before + own) / total })
    }
}

/// Engines in their order on the ring.
pub fn in_ring_order<'a>(engines: impl Iterator<Item = &'a EngineId>) -> Vec<&'a EngineId> {
    let mut ordered: Vec<&EngineId> = engines.collect();
    ordered.sort_by_cached_key(|engine| place_of(engine.as_str()));
    ordered
}
