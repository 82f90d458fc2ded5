//! Estimate of the prompt parts that engines have cached, from the prompts that this gateway sent
//! them. No I/O.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::num::NonZeroUsize;

use hooklug_types::EngineId;
use lru::LruCache;

use crate::PromptPart;

/// Maximum number of tracked parts per engine: shared parts and those of sessions that ran there
/// recently.
const MAX_PARTS_PER_ENGINE: NonZeroUsize = NonZeroUsize::new(1_024).unwrap();

/// Cached parts by engine; the least recently used are evicted, as in the engines' own caches.
#[derive(Debug, Default)]
pub struct PromptCaches {
    engines: HashMap<EngineId, LruCache<u64, ()>>,
}

impl PromptCaches {
    /// Tokens of a prompt that an engine has to process: all from the first part that is not cached.
    /// With `in_segment`, the engine is in the ring segment of the first part, which counts as cached.
    #[must_use]
    pub fn missing_tokens(
        &self,
        engine: &EngineId,
        prompt: &[PromptPart],
        in_segment: bool,
    ) -> u32 {
        let cached = self.engines.get(engine);
        let is_cached = |(number, part): &(usize, &PromptPart)| {
            (in_segment && *number == 0) || cached.is_some_and(|cached| cached.contains(&key(part)))
        };
        let cached_parts = prompt.iter().enumerate().take_while(is_cached).count();
        prompt[cached_parts..].iter().fold(0, |sum, part| sum.saturating_add(part.tokens))
    }

    /// Records that an engine processes a prompt.
    pub fn record(&mut self, engine: &EngineId, prompt: &[PromptPart]) {
        let cached = self.engines.entry(engine.clone());
        let cached = cached.or_insert_with(|| LruCache::new(MAX_PARTS_PER_ENGINE));
        for part in prompt {
            cached.put(key(part), ());
        }
    }

    /// Removes engines that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(&EngineId) -> bool) {
        self.engines.retain(|engine, _| is_listed(engine));
    }
}

fn key(part: &PromptPart) -> u64 {
    let mut hasher = DefaultHasher::new();
    part.id.hash(&mut hasher);
    hasher.finish()
}
