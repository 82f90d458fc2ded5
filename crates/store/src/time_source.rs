//! The clocks of this machine, which tests replace by clocks that they set.

use std::fmt;
use std::time::Instant;

use hooklug_types::UnixMillis;

/// A machine's monotonic clock and wall clock.
pub trait TimeSource: fmt::Debug + Send + Sync {
    /// Reads the monotonic clock.
    fn monotonic(&self) -> Instant;

    /// Reads the wall clock.
    fn wall(&self) -> UnixMillis;
}

/// The clocks of the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClocks;

impl TimeSource for SystemClocks {
    fn monotonic(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> UnixMillis {
        UnixMillis::now()
    }
}
