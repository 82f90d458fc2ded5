//! The latency that a route's calls have without load. Pure.

use std::time::Duration;

use tokio::time::Instant;

/// Time after which a lower latency that is not seen any more is forgotten (ours).
const WINDOW: Duration = Duration::from_secs(10);

/// Least baseline (ours): below it, latency is noise of timers and of the network.
const LEAST: Duration = Duration::from_millis(5);

/// Weight of one answer in the average (ours).
const WEIGHT: f64 = 0.1;

/// Lowest and average latency of a route.
#[derive(Debug, Clone)]
pub struct Baseline {
    lowest: Duration,
    lowest_before: Duration,
    window_began: Instant,
    average: Duration,
}

impl Baseline {
    /// A baseline from a first answer.
    #[must_use]
    pub fn new(latency: Duration, now: Instant) -> Self {
        Self { lowest: latency, lowest_before: latency, window_began: now, average: latency }
    }

    /// Notes an answer and returns its latency as a multiple of the baseline.
    pub fn observe(&mut self, latency: Duration, now: Instant) -> f64 {
        if now.saturating_duration_since(self.window_began) >= WINDOW {
            self.lowest_before = self.lowest;
            self.lowest = latency;
            self.window_began = now;
        }
        self.lowest = self.lowest.min(latency);
        self.average = self.average.mul_f64(1.0 - WEIGHT) + latency.mul_f64(WEIGHT);
        let baseline = self.lowest.min(self.lowest_before).max(LEAST);
        latency.as_secs_f64() / baseline.as_secs_f64()
    }

    /// Average latency of late.
    #[must_use]
    pub fn average(&self) -> Duration {
        self.average
    }

    /// Lowest latency of late.
    #[must_use]
    pub fn lowest(&self) -> Duration {
        self.lowest.min(self.lowest_before)
    }
}
