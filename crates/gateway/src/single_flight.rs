//! Runs one task per key at a time; waiting tasks then reuse the result of the first.

use std::collections::HashMap;
use std::hash::Hash;
use std::sync::{Arc, Mutex, PoisonError, Weak};

use tokio::sync::{Mutex as AsyncMutex, OwnedMutexGuard};

/// Locks by key. Entries without holders or waiters are removed.
#[derive(Debug)]
pub struct SingleFlight<K> {
    locks: Mutex<HashMap<K, Weak<AsyncMutex<()>>>>,
}

impl<K> Default for SingleFlight<K> {
    fn default() -> Self {
        Self { locks: Mutex::default() }
    }
}

/// Number of entries at which unused ones are removed.
const SWEEP_AT: usize = 1024;

impl<K: Hash + Eq + Clone> SingleFlight<K> {
    /// Waits for the key's lock.
    pub async fn acquire(&self, key: &K) -> OwnedMutexGuard<()> {
        let lock = self.lock_of(key);
        lock.lock_owned().await
    }

    fn lock_of(&self, key: &K) -> Arc<AsyncMutex<()>> {
        let mut locks = self.locks.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(lock) = locks.get(key).and_then(Weak::upgrade) {
            return lock;
        }
        if locks.len() >= SWEEP_AT {
            locks.retain(|_, lock| lock.strong_count() > 0);
        }
        let lock = Arc::new(AsyncMutex::new(()));
        locks.insert(key.clone(), Arc::downgrade(&lock));
        lock
    }
}
