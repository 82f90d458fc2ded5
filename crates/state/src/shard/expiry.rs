//! The group's clock and the deletion of expired items, at most a fixed number of them per step of
//! the clock.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hooklug_types::{CallId, ProgramId, SessionKey, TurnId, UnixMillis};
use serde::{Deserialize, Serialize};

use super::clock_step::ClockStep;
use super::machine::ShardMachine;

/// Time span of one slot of the expiry queue, in milliseconds. A write after a frozen copy was
/// taken may have to copy one slot.
const SLOT_MILLIS: u64 = 60_000;

/// Maximum number of items that are deleted in one step of the clock; the others wait for the next
/// step.
pub const ITEMS_PER_STEP: usize = 256;

/// An item that is deleted when its retention time is over.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) enum ExpiryItem {
    /// The record of an ended or refused turn. Its events remain in the session as the context of
    /// later turns.
    Turn(SessionKey, TurnId),
    /// A call with an outcome.
    Call(ProgramId, CallId),
    /// A closed session with its event stream.
    Session(SessionKey),
    /// A program past its end time, with its remaining sessions and calls.
    Program(ProgramId),
    /// A chained program that has not been used during its retention time.
    ChainedProgram(ProgramId),
}

/// What a step of the clock did to the records of a shard, for logs and metrics. Not a part of the
/// state.
#[derive(Debug, Clone, Default)]
pub struct AppliedStep {
    /// The time that the leader asked for.
    pub proposed: UnixMillis,
    /// The time before the step.
    pub from: UnixMillis,
    /// The time after the step.
    pub to: UnixMillis,
    /// Number of milliseconds by which all retention times were extended.
    pub extended_ms: u64,
    /// Chained programs that were deleted.
    pub expired: Vec<ExpiredProgram>,
}

/// A chained program that was deleted after its retention time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExpiredProgram {
    /// The program.
    pub program: ProgramId,
    /// Time at which its last turn ended at the latest, by the group's clock.
    pub last_used: UnixMillis,
    /// Time for which it was to be kept after that.
    pub keep: Duration,
}

/// Items to delete, ordered by the time at which they expire. Clones share the slots.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct ExpiryQueue {
    slots: BTreeMap<u64, Arc<BTreeSet<(UnixMillis, ExpiryItem)>>>,
}

impl ExpiryQueue {
    /// Adds an item that expires at `at`.
    pub(super) fn insert(&mut self, at: UnixMillis, item: ExpiryItem) {
        let slot = self.slots.entry(at.0 / SLOT_MILLIS).or_default();
        Arc::make_mut(slot).insert((at, item));
    }

    /// Removes an item before it expires.
    pub(super) fn remove(&mut self, at: UnixMillis, item: ExpiryItem) {
        let number = at.0 / SLOT_MILLIS;
        let Some(slot) = self.slots.get_mut(&number) else { return };
        Arc::make_mut(slot).remove(&(at, item));
        if slot.is_empty() {
            self.slots.remove(&number);
        }
    }

    /// Delays all items.
    fn extend(&mut self, millis: u64) {
        let slots = std::mem::take(&mut self.slots);
        for (at, item) in slots.into_values().flat_map(Arc::unwrap_or_clone) {
            self.insert(at.plus_millis(millis), item);
        }
    }

    /// Removes and returns the first item that has expired.
    fn pop_due(&mut self, now: UnixMillis) -> Option<ExpiryItem> {
        let mut slot = self.slots.first_entry()?;
        slot.get().first().filter(|(at, _)| *at <= now)?;
        let items = Arc::make_mut(slot.get_mut());
        let due = items.pop_first().map(|(_, item)| item);
        if items.is_empty() {
            slot.remove();
        }
        due
    }
}

impl ShardMachine {
    /// Advances the clock and deletes expired items. The clock never goes back. Time that no store has
    /// measured is added to all retention times.
    pub(super) fn step_clock(&mut self, step: ClockStep) {
        let from = self.state.clock;
        let target = step.target(from);
        let to = target.unwrap_or(from);
        self.last_step = AppliedStep { proposed: step.now, from, to, ..AppliedStep::default() };
        let Some(now) = target else { return };
        let unmeasured = step.unmeasured(self.state.clock, now);
        if unmeasured > 0 {
            self.extend_retention(unmeasured);
        }
        self.state.clock = now;
        let expired_until = step.expired_until(now);
        for _ in 0..ITEMS_PER_STEP {
            let Some(item) = self.state.expiry.pop_due(expired_until) else { break };
            self.expire_item(item);
        }
    }

    /// Returns what the last step of the clock did.
    #[must_use]
    pub fn last_step(&self) -> &AppliedStep {
        &self.last_step
    }

    /// Extends the retention times of all records. Takes time in proportion to their number, which
    /// leaders ask for only when the clock jumps.
    fn extend_retention(&mut self, millis: u64) {
        self.last_step.extended_ms = millis;
        self.state.expiry.extend(millis);
        self.state.chained.extend_retention(millis);
        for program in self.state.programs.values_mut() {
            let program = Arc::make_mut(program);
            program.last_ended = program.last_ended.plus_millis(millis);
            for call in program.calls.values_mut() {
                call.expires = call.expires.map(|at| at.plus_millis(millis));
            }
        }
    }

    fn expire_item(&mut self, item: ExpiryItem) {
        match item {
            ExpiryItem::Turn(key, turn) => {
                if let Ok(session) = self.session_mut(&key) {
                    session.turns.remove(&turn);
                }
            }
            ExpiryItem::Call(program, call) => {
                if let Ok(program) = self.program_mut(&program) {
                    program.calls.remove(&call);
                }
            }
            ExpiryItem::Session(key) => {
                let Ok(program) = self.program_mut(&key.program) else { return };
                if let Some(session) = program.sessions.remove(&key.session) {
                    self.state.epoch_floor = self.state.epoch_floor.max(session.record.epoch);
                }
            }
            ExpiryItem::Program(program) => self.expire_program(program),
            ExpiryItem::ChainedProgram(program) => self.expire_chained_program(program),
        }
    }

    /// Deletes a program once the retention time has passed since its end time and since anything
    /// last ended in it. Turns that are still open at that time no longer have an owner that could
    /// end them, so they are sealed first.
    fn expire_program(&mut self, program: ProgramId) {
        self.seal_open_turns_of(&program);
        let Some(entry) = self.state.programs.get(&program) else { return };
        let due = entry.last_ended.max(entry.record.end_time).plus(self.retention);
        if due > self.state.clock {
            self.schedule_expiry(due, ExpiryItem::Program(program));
            return;
        }
        let highest = entry.sessions.values().map(|s| s.record.epoch).max();
        self.state.epoch_floor = self.state.epoch_floor.max(highest.unwrap_or_default());
        self.state.programs.remove(&program);
    }

    fn seal_open_turns_of(&mut self, program: &ProgramId) {
        let Some(entry) = self.state.programs.get(program) else { return };
        let open: Vec<SessionKey> = entry
            .sessions
            .values()
            .filter(|s| s.record.open_turn.is_some())
            .map(|s| s.record.key.clone())
            .collect();
        for key in open {
            // The session exists and has an open turn, so sealing cannot be refused.
            let _ = self.seal_open_turn(&key);
        }
    }
}
