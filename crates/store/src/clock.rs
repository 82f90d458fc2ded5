//! Steps of the groups' clocks (design section 3, time in the state). Pure: times come in.

use std::time::{Duration, Instant};

use hooklug_types::UnixMillis;

/// Longest first step after a change of leader: a wall clock that is wrong ends the keep time early by
/// this at most.
const MAX_FIRST_STEP: Duration = Duration::from_secs(60);
/// Time between steps while commands flow.
const BUSY_INTERVAL: Duration = Duration::from_secs(1);
/// Time between steps of an idle group, so that what it keeps still expires.
const IDLE_INTERVAL: Duration = Duration::from_secs(30);

/// One group's clock under one leadership.
#[derive(Debug, Clone, Copy)]
pub struct ClockSteps {
    base: UnixMillis,
    started: Instant,
    last_step: Instant,
    last_commands: u64,
}

impl ClockSteps {
    /// A leadership begins: the first step follows the wall clock, clamped. A clock that was never set
    /// takes the wall clock as it is.
    #[must_use]
    pub fn begin(group_clock: UnixMillis, wall: UnixMillis, commands: u64, now: Instant) -> Self {
        let base = if group_clock == UnixMillis::default() {
            wall
        } else {
            group_clock.plus(group_clock.until(wall).min(MAX_FIRST_STEP))
        };
        Self { base, started: now, last_step: now, last_commands: commands }
    }

    /// The clock's value now, by the leader's monotonic clock.
    #[must_use]
    pub fn now(&self, now: Instant) -> UnixMillis {
        self.base.plus(now.saturating_duration_since(self.started))
    }

    /// The next step, if one is due.
    pub fn step(&mut self, commands: u64, now: Instant) -> Option<UnixMillis> {
        let waited = now.saturating_duration_since(self.last_step);
        let is_busy = commands != self.last_commands;
        let due = if is_busy { BUSY_INTERVAL } else { IDLE_INTERVAL };
        if waited < due {
            return None;
        }
        (self.last_step, self.last_commands) = (now, commands);
        Some(self.now(now))
    }
}
