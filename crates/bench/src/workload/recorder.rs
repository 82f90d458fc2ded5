//! Shared storage for the evidence of a run.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hooklug_types::UnixMillis;

use crate::oracle::evidence::{Evidence, Millis};

/// Returns the wall-clock time in milliseconds since 1970. Ledgers use the same clock.
#[must_use]
pub fn now() -> Millis {
    UnixMillis::now().0
}

/// Evidence that several tasks add to. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct Recorder {
    evidence: Arc<Mutex<Evidence>>,
}

impl Recorder {
    /// Locks the evidence for reading or adding records.
    pub fn lock(&self) -> MutexGuard<'_, Evidence> {
        self.evidence.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a copy of the evidence recorded so far.
    #[must_use]
    pub fn snapshot(&self) -> Evidence {
        self.lock().clone()
    }
}
