//! Adaptive concurrency limit of one application engine at this gateway: additive increase,
//! multiplicative decrease on latency and on overload responses of the engine. Pure.

use std::time::Duration;

use tokio::time::Instant;

/// Initial concurrency limit; doubles with each round until the first sign of load.
const FIRST_LIMIT: f64 = 8.0;

/// Ratio of latency to the route's baseline above which the engine counts as loaded.
const LATENCY_FACTOR: f64 = 2.5;

/// Share of the limit that must be in use before it grows; an unused limit is no evidence of
/// capacity.
const USED_SHARE: f64 = 0.8;

/// Factors applied to the limit on late responses, and on refusals and lost responses.
const DECREASE_LATE: f64 = 0.9;
const DECREASE_REFUSED: f64 = 0.7;

/// Time between probes: half of the baseline's window, so that each window holds calls that ran
/// without load. Otherwise the baseline would rise with the load that it should reveal.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// Share of the limit that a probe keeps. It must stay below the engine's capacity even when the
/// limit has grown as far above it as [`LATENCY_FACTOR`] allows.
const PROBE_SHARE: f64 = 0.25;

/// What one call indicates about the engine's load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Sign {
    /// The engine answered.
    Answered {
        /// Latency divided by the route's baseline latency.
        ratio: f64,
    },
    /// The engine refused because of load, or its response was lost or late.
    Overloaded,
}

/// The concurrency limit of one engine run.
#[derive(Debug, Clone)]
pub struct AdaptiveLimit {
    limit: f64,
    /// Below this, the limit grows with each response; above it, with each round of responses.
    slow_above: f64,
    /// Last decrease or probe; calls started before it reflect the former limit.
    reduced: Option<Instant>,
    probed: Option<Instant>,
}

impl Default for AdaptiveLimit {
    fn default() -> Self {
        Self { limit: FIRST_LIMIT, slow_above: f64::INFINITY, reduced: None, probed: None }
    }
}

impl AdaptiveLimit {
    /// Returns the current limit, at least 1 and at most the operators' limit.
    #[must_use]
    pub fn get(&self, most: u32) -> u32 {
        // Both bounds are small positive numbers, so the cast loses only the fraction.
        (self.limit as u32).clamp(1, most.max(1))
    }

    /// Returns the limit without the effect of a running probe, for estimates of waiting times.
    #[must_use]
    pub fn steady(&self, most: u32) -> u32 {
        let probing = self.slow_above.is_finite() && self.slow_above > self.limit;
        let steady = if probing { self.slow_above } else { self.limit };
        (steady as u32).clamp(1, most.max(1))
    }

    /// Updates the limit from a call that ran from `began` to `now`, with `outstanding` calls at
    /// its end, itself included.
    pub fn learn(&mut self, sign: Sign, outstanding: u32, most: u32, began: Instant, now: Instant) {
        if self.reduced.is_some_and(|reduced| began < reduced) {
            return;
        }
        match sign {
            Sign::Overloaded => self.decrease(DECREASE_REFUSED, now),
            Sign::Answered { ratio } if ratio > LATENCY_FACTOR => {
                // High latency below the limit is not caused by this gateway's calls.
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
