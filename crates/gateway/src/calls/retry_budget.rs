//! Retries as a share of live traffic, so that a failing service is not buried under them.

use std::sync::{Mutex, PoisonError};

/// Retries that may be saved up (ours): enough for one engine's loss at low traffic.
const MOST_SAVED: f64 = 20.0;

/// Each request adds a share of a retry; each retry costs a whole one.
#[derive(Debug)]
pub struct RetryBudget {
    share: f64,
    saved: Mutex<f64>,
}

impl RetryBudget {
    /// A budget for a share of live traffic, full at the start.
    #[must_use]
    pub fn new(share: f64) -> Self {
        Self { share: share.max(0.0), saved: Mutex::new(MOST_SAVED) }
    }

    /// A first try was sent.
    pub fn sent(&self) {
        let mut saved = self.lock();
        *saved = (*saved + self.share).min(MOST_SAVED);
    }

    /// Takes one retry, if there is one.
    #[must_use]
    pub fn take(&self) -> bool {
        let mut saved = self.lock();
        let enough = *saved >= 1.0;
        if enough {
            *saved -= 1.0;
        }
        enough
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, f64> {
        self.saved.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
