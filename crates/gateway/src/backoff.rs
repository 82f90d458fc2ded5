//! Exponential backoff with jitter.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Delays between attempts, doubling up to a maximum.
#[derive(Debug, Clone)]
pub struct Backoff {
    next: Duration,
    max: Duration,
}

impl Backoff {
    /// Creates a backoff that starts at `first` and doubles up to `max`.
    #[must_use]
    pub fn new(first: Duration, max: Duration) -> Self {
        Self { next: first, max }
    }

    /// Returns the next delay, with jitter from the thread-local generator.
    pub fn next_wait(&mut self) -> Duration {
        self.next_wait_with(&mut rand::rng())
    }

    /// Returns the next delay: between 50% and 100% of the current step.
    pub fn next_wait_with(&mut self, random: &mut impl Rng) -> Duration {
        let step = self.next;
        self.next = (step * 2).min(self.max);
        jittered(step, random)
    }
}

/// Returns between 50% and 100% of `span`, so that many callers do not retry at the same instant.
pub fn jittered(span: Duration, random: &mut impl Rng) -> Duration {
    span.mul_f64(random.random_range(0.5..=1.0))
}
