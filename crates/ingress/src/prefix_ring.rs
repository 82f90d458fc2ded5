//! Assigns the engines of a service to prompt prefixes by request frequency. No I/O.
//!
//! All engines are placed on a ring, and each prefix has a segment whose length is the prefix's
//! share of the requests. Gateways see similar shares, so they send a prefix to the same few
//! engines without coordination, and the load is spread evenly over the engines.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use hooklug_types::EngineId;

/// Number of requests after which all counts are halved.
const HALVING_INTERVAL: u32 = 512;

/// Maximum number of tracked prefixes; rarer ones have no segment.
const MAX_PREFIXES: usize = 128;

/// Request counts of prefixes.
#[derive(Debug, Clone, Default)]
pub struct PrefixRing {
    /// Decaying request counts by the prefix's position on the ring.
    counts: BTreeMap<u64, f64>,
    requests_since_halving: u32,
}

/// A prefix's segment of the ring, within 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RingSegment {
    start: f64,
    end: f64,
}

impl RingSegment {
    /// Whether the segment overlaps an engine's slice, given the engine's index and the number of
    /// engines.
    #[must_use]
    pub fn overlaps(&self, index: usize, engines: usize) -> bool {
        let (low, high) = (index as f64 / engines as f64, (index + 1) as f64 / engines as f64);
        low < self.end && self.start < high
    }
}

/// Position of a prefix or an engine on the ring.
fn position_of(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

impl PrefixRing {
    /// Counts a request of a prefix.
    pub fn record(&mut self, prefix: &str) {
        *self.counts.entry(position_of(prefix)).or_default() += 1.0;
        self.requests_since_halving += 1;
        if self.requests_since_halving >= HALVING_INTERVAL || self.counts.len() > MAX_PREFIXES {
            self.requests_since_halving = 0;
            self.counts.values_mut().for_each(|count| *count /= 2.0);
            self.counts.retain(|_, count| *count >= 1.0);
        }
    }

    /// A prefix's segment of the ring; `None` while the prefix is rare.
    #[must_use]
    pub fn segment(&self, prefix: &str) -> Option<RingSegment> {
        let position = position_of(prefix);
        let own = self.counts.get(&position)?;
        let total: f64 = self.counts.values().sum();
        let before: f64 = self.counts.range(..position).map(|(_, count)| count).sum();
        Some(RingSegment { start: before / total, end: (before + own) / total })
    }
}

/// Engines in ring order.
pub fn in_ring_order<'a>(engines: impl Iterator<Item = &'a EngineId>) -> Vec<&'a EngineId> {
    let mut ordered: Vec<&EngineId> = engines.collect();
    ordered.sort_by_cached_key(|engine| position_of(engine.as_str()));
    ordered
}
