//! Times of a stream, as seen by the gateway that forwards it. No I/O.

use std::time::Duration;

/// When the events of a stream arrived, counted from the time at which the request was sent.
#[derive(Debug, Clone, Copy, Default)]
pub struct StreamTimes {
    first: Option<Duration>,
    last: Duration,
    events: u32,
}

impl StreamTimes {
    /// Records that events have arrived together.
    pub fn record(&mut self, events: usize, at: Duration) {
        self.first.get_or_insert(at);
        self.last = at;
        self.events = self.events.saturating_add(u32::try_from(events).unwrap_or(u32::MAX));
    }

    /// Returns the time until the first data arrived; `None` if none did.
    #[must_use]
    pub fn first(&self) -> Option<Duration> {
        self.first
    }

    /// Returns the time by which versions are compared: the mean time between events. Unlike the time
    /// until the first one, it does not depend on whether the engine has the prompt cached, which a new
    /// version's engines do not. `None` for fewer than two events.
    #[must_use]
    pub fn between_events(&self) -> Option<Duration> {
        let gaps = self.events.checked_sub(1).filter(|gaps| *gaps > 0)?;
        Some((self.last - self.first?) / gaps)
    }
}
