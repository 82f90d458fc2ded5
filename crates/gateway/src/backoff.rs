//! Exponential backoff with jitter.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Growing waits between tries.
#[derive(Debug, Clone)]
pub struct Backoff {
    next: Duration,
    longest: Duration,
}

impl Backoff {
    /// Waits from `first`, doubling up to `longest`.
    #[must_use]
    pub fn new(first: Duration, longest: Duration) -> Self {
        Self { next: first, longest }
    }

    /// The next wait, drawn by this thread's generator.
    pub fn next_wait(&mut self) -> Duration {
        self.wait(&mut rand::rng())
    }

    /// The next wait: between half of the present step and the whole of it.
    pub fn wait(&mut self, random: &mut impl Rng) -> Duration {
        let step = self.next;
        self.next = (step * 2).min(self.longest);
        jittered(step, random)
    }
}

/// A span between half of `span` and the whole of it, so that many callers do not come back at once.
pub fn jittered(span: Duration, random: &mut impl Rng) -> Duration {
    span.mul_f64(random.random_range(0.5..=1.0))
}
