//! How many calls one application engine gets at once from this gateway: additive increase,
//! multiplicative decrease on latency and on the engine's own word. Pure.

use std::time::Duration;

use tokio::time::Instant;

/// Calls at once that an engine starts with (ours); doubles with each round until the first sign of load.
const FIRST_LIMIT: f64 = 8.0;

/// Latency over the route's baseline that counts as load (ours).
const LATENCY_FACTOR: f64 = 2.5;

/// Share of the limit that must be in use before it grows: an idle limit proves nothing (ours).
const USED_SHARE: f64 = 0.8;

/// Decrease on late answers, and on refusals and lost answers (ours).
const DECREASE_LATE: f64 = 0.9;
const DECREASE_REFUSED: f64 = 0.7;

/// Time between probes (ours): half of the baseline's window, so that each window holds calls that ran
/// without load. Without them the baseline would creep up with the load that it is to show.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// Share of the limit that a probe leaves (ours): below the engine's capacity even when the limit is
/// as far above it as [`LATENCY_FACTOR`] lets it grow.
const PROBE_SHARE: f64 = 0.25;

/// What one call showed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Sign {
    /// Answered, after this multiple of the route's baseline latency.
    Answered {
        /// Latency over baseline.
        ratio: f64,
    },
    /// The engine refused because of load, or its answer was lost or late.
    Overloaded,
}

/// The limit of one engine run.
#[derive(Debug, Clone)]
pub struct AdaptiveLimit {
    limit: f64,
    /// While below this, the limit grows with each answer; above it, with each round of answers.
    slow_above: f64,
    /// Last decrease or probe: calls that began before it show the former limit.
    reduced: Option<Instant>,
    probed: Option<Instant>,
}

impl Default for AdaptiveLimit {
    fn default() -> Self {
        Self { limit: FIRST_LIMIT, slow_above: f64::INFINITY, reduced: None, probed: None }
    }
}

impl AdaptiveLimit {
    /// The limit now, at least 1 and at most what operators allow.
    #[must_use]
    pub fn get(&self, most: u32) -> u32 {
        // Both bounds are small positive numbers: the cast cannot lose more than the fraction.
        (self.limit as u32).clamp(1, most.max(1))
    }

    /// The limit that a probe under way will come back to, for estimates of waiting times.
    #[must_use]
    pub fn steady(&self, most: u32) -> u32 {
        let probing = self.slow_above.is_finite() && self.slow_above > self.limit;
        let steady = if probing { self.slow_above } else { self.limit };
        (steady as u32).clamp(1, most.max(1))
    }

    /// Learns from a call that began and ended at these instants, while so many were outstanding at its
    /// end, itself included.
    pub fn learn(&mut self, sign: Sign, outstanding: u32, most: u32, began: Instant, now: Instant) {
        if self.reduced.is_some_and(|reduced| began < reduced) {
            return;
        }
        match sign {
            Sign::Overloaded => self.decrease(DECREASE_REFUSED, now),
            Sign::Answered { ratio } if ratio > LATENCY_FACTOR => {
                // Latency without a full limit has another cause than this gateway's calls.
                if self.is_used(outstanding) {
                    self.decrease(DECREASE_LATE, now);
                }
            }
            Sign::Answered { .. } if self.is_used(outstanding) => self.increase(most, now),
            Sign::Answered { .. } => {}
        }
    }

    fn is_used(&self, outstanding: u32) -> bool {
        f64::from(outstanding) >= self.limit * USED_SHARE
    }

    fn increase(&mut self, most: u32, now: Instant) {
        let probed = *self.probed.get_or_insert(now);
        if now.saturating_duration_since(probed) >= PROBE_INTERVAL {
            self.probed = Some(now);
            self.slow_above = self.limit;
            self.limit = (self.limit * PROBE_SHARE).max(1.0);
            self.reduced = Some(now);
            return;
        }
        let step = if self.limit < self.slow_above { 1.0 } else { 1.0 / self.limit };
        self.limit = (self.limit + step).min(f64::from(most.max(1)));
    }

    fn decrease(&mut self, factor: f64, now: Instant) {
        self.limit = (self.limit * factor).max(1.0);
        self.slow_above = self.limit;
        self.reduced = Some(now);
    }
}
