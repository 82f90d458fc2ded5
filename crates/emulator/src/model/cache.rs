//! Simulated KV cache of a model server: shared prefixes and session histories, evicted in
//! least-recently-used order.

use std::collections::BTreeMap;

/// Result of a cache lookup.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CacheLookup {
    pub prefix_hit: bool,
    /// Number of tokens to compute before the first token is sent.
    pub uncached_tokens: u64,
}

/// Bounded LRU cache from a key to the time of its last use and its number of cached tokens.
#[derive(Debug)]
struct Lru {
    capacity: usize,
    clock: u64,
    entries: BTreeMap<String, (u64, u64)>,
}

impl Lru {
    fn new(capacity: usize) -> Self {
        Self { capacity, clock: 0, entries: BTreeMap::new() }
    }

    /// Sets the number of cached tokens of a key and returns the previous one.
    fn insert(&mut self, key: &str, tokens: u64) -> Option<u64> {
        self.clock += 1;
        let previous = self.entries.insert(key.to_owned(), (self.clock, tokens));
        if self.entries.len() > self.capacity {
            let oldest = self.entries.iter().min_by_key(|(_, (used, _))| *used);
            if let Some(key) = oldest.map(|(key, _)| key.clone()) {
                self.entries.remove(&key);
            }
        }
        previous.map(|(_, tokens)| tokens)
    }
}

/// Caches of prefixes and histories.
#[derive(Debug)]
pub(super) struct KvCache {
    prefix_tokens: u64,
    prefixes: Lru,
    histories: Lru,
}

impl KvCache {
    pub(super) fn new(prefix_tokens: u64, prefixes: usize, histories: usize) -> Self {
        Self { prefix_tokens, prefixes: Lru::new(prefixes), histories: Lru::new(histories) }
    }

    /// Looks up the prefix and history of a request, and caches them for the following requests.
    pub(super) fn lookup_and_insert(
        &mut self,
        prefix: Option<&str>,
        session: &str,
        context_tokens: u64,
    ) -> CacheLookup {
        let prefix_hit =
            prefix.is_none_or(|p| self.prefixes.insert(p, self.prefix_tokens).is_some());
        let previous = self.histories.insert(session, context_tokens);
        let history = context_tokens.saturating_sub(previous.unwrap_or(0));
        // A cached history includes its prefix.
        let missed_prefix = if prefix_hit || previous.is_some() { 0 } else { self.prefix_tokens };
        CacheLookup { prefix_hit, uncached_tokens: history + missed_prefix }
    }
}
