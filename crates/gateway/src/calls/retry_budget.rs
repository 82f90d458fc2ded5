//! Limits retries to a share of live traffic, so that they do not overload a failing service.

use std::sync::{Mutex, PoisonError};

/// Maximum balance; enough to cover the loss of one engine at low traffic.
const MAX_BALANCE: f64 = 20.0;

/// A retry budget: each request deposits a share of a retry; each retry withdraws one.
#[derive(Debug)]
pub struct RetryBudget {
    share: f64,
    balance: Mutex<f64>,
}

impl RetryBudget {
    /// Creates a budget for a share of live traffic, full at the start.
    #[must_use]
    pub fn new(share: f64) -> Self {
        Self { share: share.max(0.0), balance: Mutex::new(MAX_BALANCE) }
    }

    /// Deposits for a first attempt.
    pub fn deposit(&self) {
        let mut balance = self.lock();
        *balance = (*balance + self.share).min(MAX_BALANCE);
    }

    /// Withdraws one retry if the balance allows it.
    #[must_use]
    pub fn withdraw(&self) -> bool {
        let mut balance = self.lock();
        let enough = *balance >= 1.0;
        if enough {
            *balance -= 1.0;
        }
        enough
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, f64> {
        self.balance.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
