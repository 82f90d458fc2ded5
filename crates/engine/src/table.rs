//! The sessions that this engine holds.

use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::sync::{Mutex, MutexGuard, PoisonError};

use hooklug_session::Message;
use hooklug_types::{SessionEpoch, SessionKey};
use tokio::sync::watch;

use crate::session_task::Mailbox;

/// Locks over which session keys are spread (ours).
const OPENING_LOCKS: usize = 1024;

/// A session that is held.
#[derive(Debug, Clone)]
pub struct HeldSession {
    /// Epoch that it is held under.
    pub epoch: SessionEpoch,
    /// Where its loop takes messages.
    pub mailbox: Mailbox,
}

/// Sessions by key, and a lock a key for opening one.
#[derive(Debug)]
pub struct SessionTable {
    held: Mutex<HashMap<SessionKey, HeldSession>>,
    count: watch::Sender<usize>,
    opening: Vec<tokio::sync::Mutex<()>>,
    hasher: RandomState,
}

impl Default for SessionTable {
    fn default() -> Self {
        Self {
            held: Mutex::default(),
            count: watch::Sender::new(0),
            opening: std::iter::repeat_with(Default::default).take(OPENING_LOCKS).collect(),
            hasher: RandomState::new(),
        }
    }
}

impl SessionTable {
    /// A session, if it is held here.
    #[must_use]
    pub fn get(&self, key: &SessionKey) -> Option<HeldSession> {
        self.lock().get(key).cloned()
    }

    /// Adds a session.
    pub fn insert(&self, key: SessionKey, epoch: SessionEpoch, mailbox: Mailbox) {
        let mut held = self.lock();
        held.insert(key, HeldSession { epoch, mailbox });
        self.count.send_replace(held.len());
    }

    /// Removes a session, unless another task holds it by now.
    pub fn remove(&self, key: &SessionKey, mailbox: &Mailbox) {
        let mut held = self.lock();
        if held.get(key).is_some_and(|h| h.mailbox.is_same(mailbox)) {
            held.remove(key);
            self.count.send_replace(held.len());
        }
    }

    /// Sessions held.
    #[must_use]
    pub fn len(&self) -> usize {
        *self.count.borrow()
    }

    /// Whether none is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Follows the number of sessions.
    #[must_use]
    pub fn watch_len(&self) -> watch::Receiver<usize> {
        self.count.subscribe()
    }

    /// Tells all sessions something.
    pub fn tell_all(&self, message: &Message) {
        for held in self.lock().values() {
            held.mailbox.tell(message.clone());
        }
    }

    /// Held while a session is opened, so that one is never opened twice here.
    pub async fn lock_opening(&self, key: &SessionKey) -> tokio::sync::MutexGuard<'_, ()> {
        let place = usize::try_from(self.hasher.hash_one(key) % OPENING_LOCKS as u64);
        self.opening[place.unwrap_or(0)].lock().await
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SessionKey, HeldSession>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
