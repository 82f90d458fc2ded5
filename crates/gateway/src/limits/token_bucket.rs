//! A token bucket. Pure: time is passed in.

use std::time::Duration;

use tokio::time::Instant;

/// Burst size, as a span of the sustained rate.
const BURST_TIME: Duration = Duration::from_secs(1);

/// Allows a sustained rate and a burst of `BURST_TIME` worth of requests.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(per_second: f64, now: Instant) -> Self {
        Self { tokens: burst(per_second), refilled_at: now }
    }

    /// Takes one token.
    ///
    /// # Errors
    /// The time until a token is available.
    pub fn take(&mut self, per_second: f64, now: Instant) -> Result<(), Duration> {
        let gained =
            now.saturating_duration_since(self.refilled_at).as_secs_f64() * per_second.max(0.0);
        self.tokens = (self.tokens + gained).min(burst(per_second));
        self.refilled_at = self.refilled_at.max(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(refill_time(1.0 - self.tokens, per_second))
    }

    /// Returns whether the bucket has refilled completely.
    #[must_use]
    pub fn is_full(&self, per_second: f64, now: Instant) -> bool {
        let gained =
            now.saturating_duration_since(self.refilled_at).as_secs_f64() * per_second.max(0.0);
        self.tokens + gained >= burst(per_second)
    }
}

fn burst(per_second: f64) -> f64 {
    (per_second.max(0.0) * BURST_TIME.as_secs_f64()).max(1.0)
}

/// Maximum wait in a refusal, also used for a rate of zero.
const MAX_WAIT: Duration = Duration::from_secs(60);

fn refill_time(tokens: f64, per_second: f64) -> Duration {
    if per_second <= 0.0 {
        return MAX_WAIT;
    }
    Duration::try_from_secs_f64(tokens / per_second).unwrap_or(MAX_WAIT).min(MAX_WAIT)
}
