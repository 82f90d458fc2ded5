//! Baseline latency of a route: the latency of its calls without load. Pure.

use std::time::Duration;

use tokio::time::Instant;

/// Window of the minimum: a lower latency that is no longer seen expires after at most two windows.
const WINDOW: Duration = Duration::from_secs(10);

/// Minimum baseline; below it, timer and network noise dominate.
const MIN_BASELINE: Duration = Duration::from_millis(5);

/// Weight of one response in the moving average.
const AVERAGE_WEIGHT: f64 = 0.1;

/// Minimum and average latency of a route.
#[derive(Debug, Clone)]
pub struct Baseline {
    minimum: Duration,
    previous_minimum: Duration,
    window_start: Instant,
    average: Duration,
}

impl Baseline {
    /// Creates a baseline from a first response.
    #[must_use]
    pub fn new(latency: Duration, now: Instant) -> Self {
        Self { minimum: latency, previous_minimum: latency, window_start: now, average: latency }
    }

    /// Records a response and returns its latency as a multiple of the baseline.
    pub fn observe(&mut self, latency: Duration, now: Instant) -> f64 {
        if now.saturating_duration_since(self.window_start) >= WINDOW {
            self.previous_minimum = self.minimum;
            self.minimum = latency;
            self.window_start = now;
        }
        self.minimum = self.minimum.min(latency);
        self.average = self.average.mul_f64(1.0 - AVERAGE_WEIGHT) + latency.mul_f64(AVERAGE_WEIGHT);
        let baseline = self.minimum.min(self.previous_minimum).max(MIN_BASELINE);
        latency.as_secs_f64() / baseline.as_secs_f64()
    }

    /// Returns the moving average of the latency.
    #[must_use]
    pub fn average(&self) -> Duration {
        self.average
    }

    /// Returns the minimum latency of the last two windows.
    #[must_use]
    pub fn minimum(&self) -> Duration {
        self.minimum.min(self.previous_minimum)
    }
}
