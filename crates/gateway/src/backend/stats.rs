//! Call statistics of an application engine: outstanding calls, latency and failures. Pure.

use std::time::Duration;

use tokio::time::Instant;

use super::answer::Refusal;

/// Half-life of the latency average.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(2);

/// Latency assumed for an engine before its first response.
const INITIAL_LATENCY: Duration = Duration::from_millis(10);

/// Consecutive failures after which an engine is ejected.
const FAILURES_TO_EJECT: u32 = 3;

/// Initial ejection time; doubles with each further ejection up to the maximum.
const INITIAL_EJECTION: Duration = Duration::from_secs(2);
const MAX_EJECTION: Duration = Duration::from_secs(30);

/// Time over which a new engine's share of calls grows to the full share.
const SLOW_START_TIME: Duration = Duration::from_secs(5);

/// Initial share of calls of a new engine.
const SLOW_START_SHARE: f64 = 0.1;

/// How a call to an engine ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// A complete response, after this time.
    Answered(Duration),
    /// The engine refused the call; not a failure.
    Refused(Refusal),
    /// No valid response.
    Failed,
    /// The caller cancelled the call.
    Cancelled,
}

/// Statistics of one engine run.
#[derive(Debug, Clone)]
pub struct EngineStats {
    outstanding: u32,
    latency: Duration,
    latency_at: Option<Instant>,
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    first_seen: Option<Instant>,
}

impl EngineStats {
    /// Creates statistics for an engine first seen at an instant; `None` when it was listed at
    /// startup.
    #[must_use]
    pub fn new(first_seen: Option<Instant>) -> Self {
        Self {
            outstanding: 0,
            latency: INITIAL_LATENCY,
            latency_at: None,
            consecutive_failures: 0,
            ejections: 0,
            ejected_until: None,
            first_seen,
        }
    }

    /// Returns the number of outstanding calls.
    #[must_use]
    pub fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Returns the end of the engine's ejection, if it is ejected.
    #[must_use]
    pub fn ejected_until(&self, now: Instant) -> Option<Instant> {
        self.ejected_until.filter(|until| now < *until)
    }

    /// Records the start of a call.
    pub fn call_started(&mut self) {
        self.outstanding += 1;
    }

    /// Records the end of a call.
    pub fn record_call_end(&mut self, end: CallEnd, now: Instant) {
        self.outstanding = self.outstanding.saturating_sub(1);
        match end {
            CallEnd::Answered(latency) => {
                self.update_latency(latency, now);
                self.consecutive_failures = 0;
                self.ejections = 0;
                self.ejected_until = None;
            }
            CallEnd::Failed => self.record_failure(now),
            CallEnd::Refused(_) | CallEnd::Cancelled => {}
        }
    }

    fn update_latency(&mut self, latency: Duration, now: Instant) {
        let old_weight = match self.latency_at {
            None => 0.0,
            Some(at) => {
                let age = now.saturating_duration_since(at).as_secs_f64();
                0.5_f64.powf(age / LATENCY_HALF_LIFE.as_secs_f64()).min(0.9)
            }
        };
        // A slower response counts at once (peak EWMA), so that a queue shows in the first late
        // response.
        self.latency = if latency > self.latency {
            latency
        } else {
            self.latency.mul_f64(old_weight) + latency.mul_f64(1.0 - old_weight)
        };
        self.latency_at = Some(now);
    }

    fn record_failure(&mut self, now: Instant) {
        self.consecutive_failures += 1;
        if self.consecutive_failures < FAILURES_TO_EJECT || self.ejected_until(now).is_some() {
            return;
        }
        let time = INITIAL_EJECTION.saturating_mul(1 << self.ejections.min(4)).min(MAX_EJECTION);
        self.ejections += 1;
        self.ejected_until = Some(now + time);
    }

    /// Returns the share of its full traffic that the engine should get; below 1 during slow start.
    #[must_use]
    pub fn slow_start_share(&self, now: Instant) -> f64 {
        let Some(first_seen) = self.first_seen else { return 1.0 };
        let age = now.saturating_duration_since(first_seen).as_secs_f64();
        (age / SLOW_START_TIME.as_secs_f64()).clamp(SLOW_START_SHARE, 1.0)
    }

    /// Returns the cost of one more call: the queue length times the latency, scaled up during slow
    /// start.
    #[must_use]
    pub fn cost(&self, now: Instant) -> f64 {
        f64::from(self.outstanding + 1) * self.latency.as_secs_f64().max(1e-4)
            / self.slow_start_share(now)
    }
}
