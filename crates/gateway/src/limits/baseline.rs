//! Baseline latency of a route: the latency of its calls without load. Pure.

use std::time::Duration;

use tokio::time::Instant;

/// Window of the minimum: a lower latency that is no longer seen expires after at most two windows.
const WINDOW: Duration = Duration::from_secs(10);

/// Minimum baseline; below it, timer and network noise dominate.
const LEAST: Duration = Duration::from_millis(5);

/// Weight of one response in the moving average.
const WEIGHT: f64 = 0.1;

/// Minimum and average latency of a route.
#[derive(Debug, Clone)]
pub struct Baseline {
    lowest: Duration,
    lowest_before: Duration,
    window_began: Instant,
    average: Duration,
}

impl Baseline {
    /// Creates a baseline from a first response.
    #[must_use]
    pub fn new(latency: Duration, now: Instant) -> Self {
        Self { lowest: latency, lowest_before: latency, window_began: now, average: latency }
    }

    /// Records a response and returns its latency as a multiple of the baseline.
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

    /// Returns the moving average of the latency.
    #[must_use]
    pub fn average(&self) -> Duration {
        self.average
    }

    /// Returns the minimum latency of the last two windows.
    #[must_use]
    pub fn lowest(&self) -> Duration {
        self.lowest.min(self.lowest_before)
    }
}
