//! The steps that this replica has appended to its group's clock as leader, by which it notices
//! records that are deleted too early by its own monotonic clock.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use hooklug_state::shard::{AppliedStep, ExpiredProgram};
use hooklug_types::UnixMillis;

/// Maximum number of steps that are remembered. With a step a second they cover a few minutes; the
/// deletion of records that are kept for longer is not checked.
const MAX_STEPS: usize = 256;
/// What hosts add to a retention time, so a record that is deleted earlier than this before its end
/// is deleted early.
const HOST_MARGIN: Duration = Duration::from_secs(5);

/// A step of the clock, and the commands that were applied at its value.
#[derive(Debug, Clone, Copy)]
struct LedStep {
    value: UnixMillis,
    /// When commands were last appended after the step.
    last_used: Instant,
}

/// A program that was deleted early.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EarlyDeletion {
    pub(crate) program: ExpiredProgram,
    /// Time since commands were last appended at the clock's value at which the program was last used.
    pub(crate) age: Duration,
}

/// Steps that one replica has appended as leader.
#[derive(Debug, Default)]
pub(crate) struct LedSteps {
    /// Steps that are applied, with the values that they gave the clock.
    steps: VecDeque<LedStep>,
    /// Steps of the current leadership that are not applied yet, with the values asked for.
    appended: VecDeque<LedStep>,
    attached_at: Option<Instant>,
    leading_since: Option<Instant>,
}

impl LedSteps {
    /// Records that the replica follows a leader.
    pub(crate) fn attached(&mut self, now: Instant) {
        self.attached_at.get_or_insert(now);
    }

    /// Records that the replica leads.
    pub(crate) fn lead(&mut self, now: Instant) {
        self.leading_since = Some(now);
        self.appended.clear();
    }

    /// Records a step; commands may follow it at once.
    pub(crate) fn append(&mut self, value: UnixMillis, now: Instant) {
        push_bounded(&mut self.appended, LedStep { value, last_used: now });
    }

    /// Records that commands are appended after the last step.
    pub(crate) fn use_last(&mut self, now: Instant) {
        if let Some(step) = self.appended.back_mut().or(self.steps.back_mut()) {
            step.last_used = now;
        }
    }

    /// Forgets all steps, because the state was replaced by one to which they may not lead.
    pub(crate) fn clear(&mut self) {
        self.steps.clear();
        self.appended.clear();
    }

    /// When the replica first followed a leader, and when it last became the leader.
    pub(crate) fn times(&self) -> (Option<Instant>, Option<Instant>) {
        (self.attached_at, self.leading_since)
    }

    /// Follows a step that is applied; returns the programs that it deleted early.
    ///
    /// When a program was last used is known if this replica led then: its record carries the value of
    /// the step before it. Steps precede commands by `BUSY_INTERVAL` at most, so a program that is
    /// deleted in time is never taken for one that is deleted early.
    pub(crate) fn applied(&mut self, step: &AppliedStep, now: Instant) -> Vec<EarlyDeletion> {
        for earlier in &mut self.steps {
            earlier.value = earlier.value.plus_millis(step.extended_ms);
        }
        if let Some(own) = self.appended.iter().position(|own| own.value == step.proposed) {
            let own = self.appended.drain(..=own).next_back();
            let applied = own.map(|own| LedStep { value: step.to, ..own });
            applied.into_iter().for_each(|applied| push_bounded(&mut self.steps, applied));
        }
        let early = |program: &ExpiredProgram| {
            let age = now.saturating_duration_since(self.last_use(program.last_used)?);
            let is_early = age + HOST_MARGIN < program.keep;
            is_early.then(|| EarlyDeletion { program: program.clone(), age })
        };
        step.expired.iter().filter_map(early).collect()
    }

    /// When commands were last appended at this value of the clock, or at the next lower one.
    fn last_use(&self, value: UnixMillis) -> Option<Instant> {
        let step = self.steps.iter().rev().find(|step| step.value <= value)?;
        Some(step.last_used)
    }
}

fn push_bounded(steps: &mut VecDeque<LedStep>, step: LedStep) {
    if steps.len() == MAX_STEPS {
        steps.pop_front();
    }
    steps.push_back(step);
}
