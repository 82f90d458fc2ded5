//! Where everyone writes down what they were told.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hooklug_types::UnixMillis;

use crate::oracle::evidence::{Evidence, Millis};

/// The wall clock, in milliseconds since 1970; ledgers use the same one.
#[must_use]
pub fn now() -> Millis {
    UnixMillis::now().0
}

/// Shared evidence in the making. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct Recorder {
    evidence: Arc<Mutex<Evidence>>,
}

impl Recorder {
    /// The evidence, to be added to.
    pub fn lock(&self) -> MutexGuard<'_, Evidence> {
        self.evidence.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A copy of all evidence so far.
    #[must_use]
    pub fn snapshot(&self) -> Evidence {
        self.lock().clone()
    }
}
