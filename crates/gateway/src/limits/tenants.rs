//! Rate and concurrency limits of each tenant at this gateway.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hooklug_bundle::TenantLimits;
use hooklug_types::TenantId;
use tokio::time::Instant;

use super::token_bucket::TokenBucket;
use crate::api::admission::tenant_limited;
use crate::api::problem::Problem;

/// Retry delay after the concurrency limit is reached; about the duration of a call.
const CONCURRENCY_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Minimum retry delay in a refusal, so that its jitter spreads callers.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct TenantState {
    bucket: TokenBucket,
    running: u32,
}

/// Limiter state of all tenants. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct TenantLimiter {
    states: Arc<Mutex<HashMap<TenantId, TenantState>>>,
}

/// One admitted request; dropping it releases the tenant's concurrency slot.
#[derive(Debug)]
pub struct TenantPermit {
    limiter: TenantLimiter,
    tenant: TenantId,
}

impl TenantLimiter {
    /// Admits a request or rejects it at once.
    ///
    /// # Errors
    /// `429 tenant_limited` with the time after which to retry.
    pub fn admit(&self, tenant: &TenantId, limits: &TenantLimits) -> Result<TenantPermit, Problem> {
        let now = Instant::now();
        let mut states = self.lock();
        let state = states.entry(tenant.clone()).or_insert_with(|| TenantState {
            bucket: TokenBucket::new(limits.requests_per_second, now),
            running: 0,
        });
        if state.running >= limits.concurrency {
            return Err(tenant_limited(
                "the tenant's concurrency limit is reached",
                CONCURRENCY_RETRY_DELAY,
            ));
        }
        if let Err(wait) = state.bucket.take(limits.requests_per_second, now) {
            return Err(tenant_limited(
                "the tenant's request rate limit is reached",
                wait.max(MIN_RETRY_DELAY),
            ));
        }
        state.running += 1;
        Ok(TenantPermit { limiter: self.clone(), tenant: tenant.clone() })
    }

    /// Removes tenants without running requests whose buckets are full again.
    pub fn sweep(&self, rate_of: impl Fn(&TenantId) -> f64) {
        let now = Instant::now();
        self.lock().retain(|tenant, state| {
            state.running > 0 || !state.bucket.is_full(rate_of(tenant), now)
        });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<TenantId, TenantState>> {
        self.states.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for TenantPermit {
    fn drop(&mut self) {
        if let Some(state) = self.limiter.lock().get_mut(&self.tenant) {
            state.running = state.running.saturating_sub(1);
        }
    }
}
