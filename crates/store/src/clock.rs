//! Decides when and to which time a group's clock advances (design document, section 3, time in the
//! state). Free of I/O: callers pass the current time.

use std::time::{Duration, Instant};

use hooklug_types::UnixMillis;

/// Longest first step after a change of leader. It bounds how much too early a wrong wall clock can
/// end a retention time.
const MAX_FIRST_STEP: Duration = Duration::from_secs(60);
/// Interval between steps while the group applies commands.
const BUSY_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between steps of an idle group, so that its retained records still expire.
const IDLE_INTERVAL: Duration = Duration::from_secs(30);

/// Clock of one group during one leadership term.
#[derive(Debug, Clone, Copy)]
pub struct GroupClock {
    base: UnixMillis,
    started: Instant,
    last_step: Instant,
    last_commands: u64,
}

impl GroupClock {
    /// Starts the clock of a new leadership. The first step follows the wall clock, but goes at
    /// most `MAX_FIRST_STEP` ahead and never back; a clock that was never set takes the wall-clock
    /// time as it is.
    #[must_use]
    pub fn start(group_clock: UnixMillis, wall: UnixMillis, commands: u64, now: Instant) -> Self {
        let base = if group_clock == UnixMillis::default() {
            wall
        } else {
            group_clock.plus(group_clock.until(wall).min(MAX_FIRST_STEP))
        };
        Self { base, started: now, last_step: now, last_commands: commands }
    }

    /// Returns the clock's current value, measured by the leader's monotonic clock.
    #[must_use]
    pub fn now(&self, now: Instant) -> UnixMillis {
        self.base.plus(now.saturating_duration_since(self.started))
    }

    /// Returns the new clock value if a step is due.
    pub fn step(&mut self, commands: u64, now: Instant) -> Option<UnixMillis> {
        let elapsed = now.saturating_duration_since(self.last_step);
        let is_busy = commands != self.last_commands;
        let interval = if is_busy { BUSY_INTERVAL } else { IDLE_INTERVAL };
        if elapsed < interval {
            return None;
        }
        (self.last_step, self.last_commands) = (now, commands);
        Some(self.now(now))
    }
}
