//! Limits retries to a share of live traffic, so that they do not overload a failing service.

use std::sync::{Mutex, PoisonError};

/// Maximum balance; enough to cover the loss of one engine at low traffic.
const MOST_SAVED: f64 = 20.0;

/// A retry budget: each request deposits a share of a retry; each retry withdraws one.
#[derive(Debug)]
pub struct RetryBudget {
    share: f64,
    saved: Mutex<f64>,
}

impl RetryBudget {
    /// Creates a budget for a share of live traffic, full at the start.
    #[must_use]
    pub fn new(share: f64) -> Self {
        Self { share: share.max(0.0), saved: Mutex::new(MOST_SAVED) }
    }

    /// Deposits for a first attempt.
    pub fn sent(&self) {
        let mut saved = self.lock();
        *saved = (*saved + self.share).min(MOST_SAVED);
    }

    /// Withdraws one retry if the balance allows it.
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
