//! Decides when and to which time a group's clock advances (design document, section 3, time in the
//! state). Free of I/O: callers pass the current time.

use std::time::{Duration, Instant};

use hooklug_state::shard::{ClockStep, MeasuredTime, StepDetails};
use hooklug_types::UnixMillis;

/// Longest first step of a leader beyond the time that it measured itself, if it did. It bounds how
/// much too early a wall clock that is ahead can end programs of ordinary sessions and orders.
pub const MAX_FIRST_STEP: Duration = Duration::from_secs(4);
/// Difference to the wall clock that a leader leaves as it is, if it has measured the time itself.
pub const WALL_TOLERANCE: Duration = Duration::from_secs(1);
/// Interval between steps while the group applies commands; the longest time by which the clock is
/// behind when a command is appended.
pub const BUSY_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between steps of an idle group, so that its retained records still expire.
pub const IDLE_INTERVAL: Duration = Duration::from_secs(30);
/// Time for which a replica must have followed or led its group before the steps that it applies
/// are recent. Earlier ones may stem from before a restart of all stores.
pub const CATCH_UP_TIME: Duration = Duration::from_secs(5);

/// The newest value of a group's clock that a replica has applied, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AppliedClock {
    /// Value of the clock.
    pub time: UnixMillis,
    /// Time at which the replica applied it.
    pub at: Instant,
}

impl AppliedClock {
    /// Returns the clock's value and the time since it was applied. The true value is not lower.
    fn lower_bound(&self, now: Instant) -> UnixMillis {
        self.time.plus(now.saturating_duration_since(self.at))
    }

    fn measured_until(&self, now: Instant) -> MeasuredTime {
        let elapsed = now.saturating_duration_since(self.at);
        MeasuredTime { from: self.time, elapsed_ms: duration_millis(elapsed) }
    }

    fn is_unset(&self) -> bool {
        self.time == UnixMillis::default()
    }
}

/// How a leader's first step may go beyond the time that it measured itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Correction {
    /// The group keeps nothing for a retention time, so its clock may simply jump.
    Jump,
    /// The step tells what is measured of it, so that the rest shortens no retention time.
    Split,
    /// Some member of the group does not know such steps, so the clock goes on from the measured time
    /// and may stay behind the wall clock.
    None,
}

/// Clock of one group, as kept by one replica.
#[derive(Debug, Clone, Default)]
pub struct GroupClock {
    /// When this replica first received a leader's message or became the leader.
    attached_at: Option<Instant>,
    leadership: Option<Leadership>,
}

/// The clock during one leadership of this replica.
#[derive(Debug, Clone)]
struct Leadership {
    base: UnixMillis,
    started: Instant,
    correction: Correction,
    /// Time of the first step.
    first_step: Option<UnixMillis>,
    /// When the last step was appended.
    last_step: Option<Instant>,
}

impl Leadership {
    fn has_applied_own_step(&self, applied: AppliedClock) -> bool {
        self.first_step.is_some_and(|first| first <= applied.time)
    }
}

fn duration_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

impl GroupClock {
    /// Records that the replica received a message of the group's leader.
    pub fn hear_leader(&mut self, now: Instant) {
        self.attached_at.get_or_insert(now);
    }

    /// Starts the clock of a new leadership, in which a step is due at once.
    ///
    /// The clock goes on from the time that the replica measured itself since it applied the newest
    /// step. It then follows the wall clock, but never goes back: by `MAX_FIRST_STEP` if the replica
    /// has followed the group before, and without limit otherwise, as after a restart of all stores,
    /// when only wall clocks know how much time has passed.
    pub fn lead(
        &mut self,
        applied: AppliedClock,
        wall: UnixMillis,
        now: Instant,
        correction: Correction,
    ) {
        let measured = applied.lower_bound(now);
        let lead = measured.until(wall);
        let step = match self.has_followed_until(applied.at) {
            _ if applied.is_unset() => lead,
            // Each leadership gives the clock a value of its own.
            _ if correction == Correction::None => Duration::from_millis(1),
            true if lead <= WALL_TOLERANCE => Duration::ZERO,
            true => lead.min(MAX_FIRST_STEP),
            false => lead,
        };
        let base = if applied.is_unset() { wall } else { measured.plus(step) };
        self.attached_at.get_or_insert(now);
        self.leadership =
            Some(Leadership { base, started: now, correction, first_step: None, last_step: None });
    }

    fn has_followed_until(&self, time: Instant) -> bool {
        self.attached_at.is_some_and(|since| since + CATCH_UP_TIME <= time)
    }

    /// Whether this replica leads and a step is due.
    #[must_use]
    pub fn is_step_due(&self, commands_wait: bool, now: Instant) -> bool {
        let Some(leadership) = &self.leadership else { return false };
        let interval = if commands_wait { BUSY_INTERVAL } else { IDLE_INTERVAL };
        let is_over = |last| now.saturating_duration_since(last) >= interval;
        leadership.last_step.is_none_or(is_over)
    }

    /// Returns the clock's current value, or `None` if this replica never led.
    #[must_use]
    pub fn time(&self, applied: AppliedClock, now: Instant) -> Option<UnixMillis> {
        let leadership = self.leadership.as_ref()?;
        let elapsed = now.saturating_duration_since(leadership.started);
        Some(leadership.base.plus(elapsed).max(applied.lower_bound(now)))
    }

    /// Returns the step that sets the clock to its current value, or `None` if this replica never
    /// led.
    ///
    /// The step tells what is measured of it until this replica has applied its own first step, and
    /// thereby all steps of earlier leaders. Later ones contain only measured time.
    #[must_use]
    pub fn step(&self, applied: AppliedClock, now: Instant) -> Option<ClockStep> {
        let leadership = self.leadership.as_ref()?;
        let details = match leadership.correction {
            Correction::Jump | Correction::None => None,
            Correction::Split => Some(StepDetails {
                staleness_ms: duration_millis(BUSY_INTERVAL),
                measured: (!leadership.has_applied_own_step(applied))
                    .then(|| applied.measured_until(now)),
            }),
        };
        Some(ClockStep { now: self.time(applied, now)?, details })
    }

    /// Records that a step to this time is appended to the log.
    pub fn step_appended(&mut self, step: UnixMillis, now: Instant) {
        if let Some(leadership) = &mut self.leadership {
            leadership.first_step.get_or_insert(step);
            leadership.last_step = Some(now);
        }
    }
}
