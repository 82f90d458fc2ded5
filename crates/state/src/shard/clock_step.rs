//! A step of a shard's clock, as the group's leader appends it to the log.
//!
//! A leader may advance the clock by time that no store has measured: after a restart of all stores,
//! or by a wall clock that is ahead. Such a step tells how much of it is measured. The rest is added
//! to all retention times, so it shortens none of them, whatever the wall clock says.
//!
//! Commands are applied at the time of the step before them, so a record may end later than the clock
//! says. Each step tells by how much at most, and deletes nothing before that time has passed too.

use hooklug_types::UnixMillis;
use serde::{Deserialize, Serialize};

use super::command::ShardCommand;
use crate::{MachineError, decode, decode_prefix, encode};

/// The time that a leader has measured with its monotonic clock since it applied the newest step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MeasuredTime {
    /// Value of the group's clock that the newest applied step has set.
    pub from: UnixMillis,
    /// Time since that step was applied, in milliseconds.
    pub elapsed_ms: u64,
}

/// A step of a shard's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockStep {
    /// The new time. The clock never goes back.
    pub now: UnixMillis,
    /// What is known of the step beside the time; `None` if members of the group do not know details.
    pub details: Option<StepDetails>,
}

/// What a step tells beside the time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepDetails {
    /// Longest time in milliseconds by which the clock is behind when a command is appended. Records
    /// are deleted so much later.
    pub staleness_ms: u64,
    /// What is measured of the step; `None` if all of it is.
    pub measured: Option<MeasuredTime>,
}

impl ClockStep {
    /// Encodes the step as [`ShardCommand::AdvanceClock`], followed by the details if there are any.
    /// Stores that do not know details pass over them.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = encode(&ShardCommand::AdvanceClock { now: self.now });
        if let Some(details) = &self.details {
            bytes.extend(encode(details));
        }
        bytes
    }

    fn measured(&self) -> Option<MeasuredTime> {
        self.details.and_then(|details| details.measured)
    }

    /// Returns the time up to which records have expired once the clock has this value.
    pub(super) fn expired_until(&self, clock: UnixMillis) -> UnixMillis {
        let staleness_ms = self.details.map_or(0, |details| details.staleness_ms);
        UnixMillis(clock.0.saturating_sub(staleness_ms))
    }

    /// Returns the time to which the step advances a clock, or `None` if it leaves it as it is.
    ///
    /// A step with a measured time always advances it. So each value that the clock takes belongs to
    /// one step, and a leader that has not applied the newest step cannot take an older one for it.
    pub(super) fn target(&self, clock: UnixMillis) -> Option<UnixMillis> {
        let lowest = match self.measured() {
            None => clock,
            Some(_) => clock.plus_millis(1),
        };
        Some(self.now.max(lowest)).filter(|target| *target > clock)
    }

    /// Returns how many milliseconds of an advance no store has measured. A time that was measured
    /// from another value than the current one proves nothing: the leader had not applied a step that
    /// precedes this one in the log.
    pub(super) fn unmeasured(&self, clock: UnixMillis, target: UnixMillis) -> u64 {
        let advance = target.0 - clock.0;
        match self.measured() {
            None => 0,
            Some(measured) if measured.from == clock => advance.saturating_sub(measured.elapsed_ms),
            Some(_) => advance,
        }
    }
}

/// A decoded command of a shard's log.
pub(super) enum LoggedCommand {
    /// A step of the clock.
    Step(ClockStep),
    /// Any other command.
    Other(ShardCommand),
}

impl LoggedCommand {
    pub(super) fn decode(bytes: &[u8]) -> Result<Self, MachineError> {
        let (command, rest) = decode_prefix("shard command", bytes)?;
        let ShardCommand::AdvanceClock { now } = command else { return Ok(Self::Other(command)) };
        let details = match rest {
            [] => None,
            rest => Some(decode("details of a clock step", rest)?),
        };
        Ok(Self::Step(ClockStep { now, details }))
    }
}
