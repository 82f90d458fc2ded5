//! Exponential backoff with jitter.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Delays between attempts, doubling up to a maximum.
#[derive(Debug, Clone)]
pub struct Backoff {
    next: Duration,
    longest: Duration,
}

impl Backoff {
    /// Creates a backoff that starts at `first` and doubles up to `longest`.
    #[must_use]
    pub fn new(first: Duration, longest: Duration) -> Self {
        Self { next: first, longest }
    }

    /// Returns the next delay, with jitter from the thread-local generator.
    pub fn next_wait(&mut self) -> Duration {
        self.wait(&mut rand::rng())
    }

    /// Returns the next delay: between 50% and 100% of the current step.
    pub fn wait(&mut self, random: &mut impl Rng) -> Duration {
        let step = self.next;
        self.next = (step * 2).min(self.longest);
        jittered(step, random)
    }
}

/// Returns between 50% and 100% of `span`, so that many callers do not retry at the same instant.
pub fn jittered(span: Duration, random: &mut impl Rng) -> Duration {
    span.mul_f64(random.random_range(0.5..=1.0))
}
