//! Cache of the histories of turns that ended on this gateway, so that the next turn of a session
//! need not fetch its history from the shard.

use std::sync::{Mutex, PoisonError};

use bytes::Bytes;
use hooklug_types::TurnId;
use lru::LruCache;

/// Maximum size of the cache in bytes. A session's next turn usually follows within seconds; older
/// histories are read from the shard.
const MAX_BYTES: usize = 3 << 19;

/// LRU cache of histories by the turn that they end with.
#[derive(Debug)]
pub struct HistoryCache {
    state: Mutex<CacheState>,
}

#[derive(Debug)]
struct CacheState {
    histories: LruCache<TurnId, Bytes>,
    bytes: usize,
}

impl Default for HistoryCache {
    fn default() -> Self {
        Self { state: Mutex::new(CacheState { histories: LruCache::unbounded(), bytes: 0 }) }
    }
}

impl HistoryCache {
    /// The history up to and including a turn.
    #[must_use]
    pub fn get(&self, turn: &TurnId) -> Option<Bytes> {
        self.lock().histories.get(turn).cloned()
    }

    /// Adds a history and evicts the least recently used ones beyond the size limit.
    pub fn put(&self, turn: TurnId, history: Bytes) {
        let mut state = self.lock();
        state.bytes += history.len();
        if let Some(replaced) = state.histories.put(turn, history) {
            state.bytes -= replaced.len();
        }
        while state.bytes > MAX_BYTES {
            let Some((_, oldest)) = state.histories.pop_lru() else { break };
            state.bytes -= oldest.len();
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, CacheState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
