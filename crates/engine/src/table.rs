//! The table of sessions held by this engine.

use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::sync::{Mutex, MutexGuard, PoisonError};

use hooklug_session::Message;
use hooklug_types::{SessionEpoch, SessionKey};
use tokio::sync::watch;

use crate::session_task::Mailbox;

/// Number of locks that session keys are hashed to.
const OPENING_LOCKS: usize = 1024;

/// A session held by this engine.
#[derive(Debug, Clone)]
pub struct HeldSession {
    /// Epoch under which the engine owns the session.
    pub epoch: SessionEpoch,
    /// Mailbox of the session's task.
    pub mailbox: Mailbox,
}

/// Held sessions by key, with locks that serialize the opening of a session.
#[derive(Debug)]
pub struct SessionTable {
    held: Mutex<HashMap<SessionKey, HeldSession>>,
    count: watch::Sender<usize>,
    opening_locks: Vec<tokio::sync::Mutex<()>>,
    hasher: RandomState,
}

impl Default for SessionTable {
    fn default() -> Self {
        Self {
            held: Mutex::default(),
            count: watch::Sender::new(0),
            opening_locks: std::iter::repeat_with(Default::default).take(OPENING_LOCKS).collect(),
            hasher: RandomState::new(),
        }
    }
}

impl SessionTable {
    /// Returns a session if this engine holds it.
    #[must_use]
    pub fn get(&self, key: &SessionKey) -> Option<HeldSession> {
        self.lock().get(key).cloned()
    }

    /// Adds a session under the epoch in which the engine owns it.
    pub fn insert(&self, key: SessionKey, epoch: SessionEpoch, mailbox: Mailbox) {
        let mut held = self.lock();
        held.insert(key, HeldSession { epoch, mailbox });
        self.count.send_replace(held.len());
    }

    /// Removes a session, unless another task has replaced its entry.
    pub fn remove(&self, key: &SessionKey, mailbox: &Mailbox) {
        let mut held = self.lock();
        if held.get(key).is_some_and(|h| h.mailbox.same_channel_as(mailbox)) {
            held.remove(key);
            self.count.send_replace(held.len());
        }
    }

    /// Number of held sessions.
    #[must_use]
    pub fn len(&self) -> usize {
        *self.count.borrow()
    }

    /// Whether no session is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Subscribes to the number of held sessions.
    #[must_use]
    pub fn watch_len(&self) -> watch::Receiver<usize> {
        self.count.subscribe()
    }

    /// Sends a message to all held sessions.
    pub fn broadcast(&self, message: &Message) {
        for held in self.lock().values() {
            held.mailbox.send(message.clone());
        }
    }

    /// Locks the opening of a session, so that the same session is never opened twice concurrently.
    pub async fn lock_opening(&self, key: &SessionKey) -> tokio::sync::MutexGuard<'_, ()> {
        let index = usize::try_from(self.hasher.hash_one(key) % OPENING_LOCKS as u64);
        self.opening_locks[index.unwrap_or(0)].lock().await
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SessionKey, HeldSession>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
