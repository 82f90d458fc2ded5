//! Histories of turns that ended here, so that the next turn of a session need not fetch its history.

use std::sync::{Mutex, PoisonError};

use bytes::Bytes;
use hooklug_types::TurnId;
use lru::LruCache;

/// Bytes held at most (ours): a session's next turn comes within seconds, and the shard has the rest.
const MOST_BYTES: usize = 3 << 19;

/// Histories by the turn that they end with; the least recently used give way.
#[derive(Debug)]
pub struct HistoryCache {
    held: Mutex<Held>,
}

#[derive(Debug)]
struct Held {
    histories: LruCache<TurnId, Bytes>,
    bytes: usize,
}

impl Default for HistoryCache {
    fn default() -> Self {
        Self { held: Mutex::new(Held { histories: LruCache::unbounded(), bytes: 0 }) }
    }
}

impl HistoryCache {
    /// The history up to and with a turn.
    #[must_use]
    pub fn get(&self, turn: &TurnId) -> Option<Bytes> {
        self.lock().histories.get(turn).cloned()
    }

    /// Holds a history.
    pub fn put(&self, turn: TurnId, history: Bytes) {
        let mut held = self.lock();
        held.bytes += history.len();
        if let Some(replaced) = held.histories.put(turn, history) {
            held.bytes -= replaced.len();
        }
        while held.bytes > MOST_BYTES {
            let Some((_, oldest)) = held.histories.pop_lru() else { break };
            held.bytes -= oldest.len();
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
