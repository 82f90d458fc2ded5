//! Which parts of prompts the engines are likely to hold, by what this gateway sent them. Pure.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::num::NonZeroUsize;

use hooklug_types::EngineId;
use lru::LruCache;

use crate::PromptPart;

/// Parts remembered of one engine (ours): shared ones and those of the sessions that ran there lately.
const PARTS_OF_ENGINE: NonZeroUsize = NonZeroUsize::new(1_024).unwrap();

/// Parts by engine; the least recently used are forgotten, as in the engines' own caches.
#[derive(Debug, Default)]
pub struct PromptCaches {
    engines: HashMap<EngineId, LruCache<u64, ()>>,
}

impl PromptCaches {
    /// Tokens of a prompt that an engine has to read: all from the first part that it does not hold. An engine of the
    /// prefix's own counts as holding the first part.
    #[must_use]
    pub fn missing_tokens(&self, engine: &EngineId, prompt: &[PromptPart], is_own: bool) -> u32 {
        let held = self.engines.get(engine);
        let is_held = |(number, part): &(usize, &PromptPart)| {
            (is_own && *number == 0) || held.is_some_and(|held| held.contains(&key(part)))
        };
        let known = prompt.iter().enumerate().take_while(is_held).count();
        prompt[known..].iter().fold(0, |sum, part| sum.saturating_add(part.tokens))
    }

    /// Notes that an engine reads a prompt.
    pub fn note(&mut self, engine: &EngineId, prompt: &[PromptPart]) {
        let held = self.engines.entry(engine.clone());
        let held = held.or_insert_with(|| LruCache::new(PARTS_OF_ENGINE));
        for part in prompt {
            held.put(key(part), ());
        }
    }

    /// Forgets engines that are gone.
    pub fn retain(&mut self, is_listed: impl Fn(&EngineId) -> bool) {
        self.engines.retain(|engine, _| is_listed(engine));
    }
}

fn key(part: &PromptPart) -> u64 {
    let mut hasher = DefaultHasher::new();
    part.id.hash(&mut hasher);
    hasher.finish()
}
