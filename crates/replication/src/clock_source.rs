//! The source of a group's clock: decides when the leader appends a command that advances it.

use std::fmt;
use std::sync::Arc;
use std::time::Instant;

use hooklug_raft::ConfState;
use hooklug_types::GroupId;

/// Creates the clock source of a replica.
pub type ClockFactory = Arc<dyn Fn(GroupId) -> Box<dyn ClockSource> + Send + Sync>;

/// Why a leader asks its clock source for a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepOccasion {
    /// Commands are about to be appended; the step precedes them.
    CommandsWait,
    /// No commands wait.
    Idle,
}

/// Advances the clock of a group while its replica on this store leads.
///
/// A state machine reads the time only from the log. So the leader appends a step of the clock
/// before the first commands after a pause; otherwise they would be applied at the time at which the
/// pause began, and everything that they retain would end too early.
pub trait ClockSource: fmt::Debug + Send {
    /// The replica has received a message of the group's leader.
    fn leader_heard(&mut self, now: Instant);

    /// The replica has become the leader of a group with these members. The first step is due at
    /// once.
    fn leadership_gained(&mut self, now: Instant, members: &ConfState);

    /// Returns the encoded command of the next step if it is due. Commands that wait are appended
    /// right after it, or after the last step if none is due.
    fn due_step(&mut self, occasion: StepOccasion, now: Instant) -> Option<Vec<u8>>;

    /// The last step that was due is appended to the log.
    fn step_appended(&mut self, now: Instant);
}

/// The source of a clock that never advances.
#[derive(Debug)]
pub(crate) struct NoClock;

impl ClockSource for NoClock {
    fn leader_heard(&mut self, _: Instant) {}

    fn leadership_gained(&mut self, _: Instant, _: &ConfState) {}

    fn due_step(&mut self, _: StepOccasion, _: Instant) -> Option<Vec<u8>> {
        None
    }

    fn step_appended(&mut self, _: Instant) {}
}
