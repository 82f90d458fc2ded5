//! The model server's KV cache: shared prefixes and session histories, the least used dropped first.

use std::collections::BTreeMap;

/// What a request finds in the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Found {
    pub prefix_hit: bool,
    /// Tokens to compute before the first one goes out.
    pub uncached_tokens: u64,
}

/// Bounded cache of one kind of key; the value is the number of tokens held.
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

    /// The tokens held under a key until now; from now on it holds `tokens`.
    fn replace(&mut self, key: &str, tokens: u64) -> Option<u64> {
        self.clock += 1;
        let before = self.entries.insert(key.to_owned(), (self.clock, tokens));
        if self.entries.len() > self.capacity {
            let oldest = self.entries.iter().min_by_key(|(_, (used, _))| *used);
            if let Some(key) = oldest.map(|(key, _)| key.clone()) {
                self.entries.remove(&key);
            }
        }
        before.map(|(_, held)| held)
    }
}

/// Prefixes and histories held.
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

    /// Looks a request up and holds it from now on.
    pub(super) fn use_for(
        &mut self,
        prefix: Option<&str>,
        session: &str,
        context_tokens: u64,
    ) -> Found {
        let prefix_hit =
            prefix.is_none_or(|p| self.prefixes.replace(p, self.prefix_tokens).is_some());
        let held = self.histories.replace(session, context_tokens);
        let history = context_tokens.saturating_sub(held.unwrap_or(0));
        // A history that is held holds its prefix too.
        let missed_prefix = if prefix_hit || held.is_some() { 0 } else { self.prefix_tokens };
        Found { prefix_hit, uncached_tokens: history + missed_prefix }
    }
}
