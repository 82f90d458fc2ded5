//! Adaptive concurrency limit of one application engine at this gateway: additive increase,
//! multiplicative decrease on latency and on overload responses of the engine. Pure.

use std::time::Duration;

use tokio::time::Instant;

/// Initial concurrency limit; doubles with each round until the first sign of load.
const INITIAL_LIMIT: f64 = 8.0;

/// Ratio of latency to the route's baseline above which the engine counts as loaded.
const LATENCY_FACTOR: f64 = 2.5;

/// Share of the limit that must be in use before it grows; an unused limit is no evidence of
/// capacity.
const USED_SHARE: f64 = 0.8;

/// Factors applied to the limit on late responses, and on refusals and lost responses.
const LATENCY_DECREASE: f64 = 0.9;
const OVERLOAD_DECREASE: f64 = 0.7;

/// Time between probes: half of the baseline's window, so that each window holds calls that ran
/// without load. Otherwise the baseline would rise with the load that it should reveal.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// Share of the limit that a probe keeps. It must stay below the engine's capacity even when the
/// limit has grown as far above it as [`LATENCY_FACTOR`] allows.
const PROBE_SHARE: f64 = 0.25;

/// What one call indicates about the engine's load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LoadSignal {
    /// The engine responded.
    Answered {
        /// Latency divided by the route's baseline latency.
        ratio: f64,
    },
    /// The engine refused the call because of load, or its response was lost or late.
    Overloaded,
}

/// The concurrency limit of one engine run.
#[derive(Debug, Clone)]
pub struct AdaptiveLimit {
    limit: f64,
    /// Below this, the limit grows with each response; above it, with each round of responses.
    slow_growth_above: f64,
    /// Last decrease or probe; calls started before it reflect the former limit.
    reduced_at: Option<Instant>,
    probed_at: Option<Instant>,
}

impl Default for AdaptiveLimit {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT,
            slow_growth_above: f64::INFINITY,
            reduced_at: None,
            probed_at: None,
        }
    }
}

impl AdaptiveLimit {
    /// Returns the current limit, at least 1 and at most the operators' limit.
    #[must_use]
    pub fn get(&self, max: u32) -> u32 {
        // Both bounds are small positive numbers, so the cast loses only the fraction.
        (self.limit as u32).clamp(1, max.max(1))
    }

    /// Returns the limit without the effect of a running probe, for estimates of waiting times.
    #[must_use]
    pub fn steady(&self, max: u32) -> u32 {
        let probing = self.slow_growth_above.is_finite() && self.slow_growth_above > self.limit;
        let steady = if probing { self.slow_growth_above } else { self.limit };
        (steady as u32).clamp(1, max.max(1))
    }

    /// Updates the limit from a call that ran from `started` to `now`, with `outstanding` calls at
    /// its end, itself included.
    pub fn record(
        &mut self,
        signal: LoadSignal,
        outstanding: u32,
        max: u32,
        started: Instant,
        now: Instant,
    ) {
        if self.reduced_at.is_some_and(|reduced_at| started < reduced_at) {
            return;
        }
        match signal {
            LoadSignal::Overloaded => self.decrease(OVERLOAD_DECREASE, now),
            LoadSignal::Answered { ratio } if ratio > LATENCY_FACTOR => {
                // High latency below the limit is not caused by this gateway's calls.
                if self.is_utilized(outstanding) {
                    self.decrease(LATENCY_DECREASE, now);
                }
            }
            LoadSignal::Answered { .. } if self.is_utilized(outstanding) => self.increase(max, now),
            LoadSignal::Answered { .. } => {}
        }
    }

    fn is_utilized(&self, outstanding: u32) -> bool {
        f64::from(outstanding) >= self.limit * USED_SHARE
    }

    fn increase(&mut self, max: u32, now: Instant) {
        let probed_at = *self.probed_at.get_or_insert(now);
        if now.saturating_duration_since(probed_at) >= PROBE_INTERVAL {
            self.probed_at = Some(now);
            self.slow_growth_above = self.limit;
            self.limit = (self.limit * PROBE_SHARE).max(1.0);
            self.reduced_at = Some(now);
            return;
        }
        let step = if self.limit < self.slow_growth_above { 1.0 } else { 1.0 / self.limit };
        self.limit = (self.limit + step).min(f64::from(max.max(1)));
    }

    fn decrease(&mut self, factor: f64, now: Instant) {
        self.limit = (self.limit * factor).max(1.0);
        self.slow_growth_above = self.limit;
        self.reduced_at = Some(now);
    }
}
