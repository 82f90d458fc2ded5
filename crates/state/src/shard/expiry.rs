//! The group's clock and what it makes forgotten, a bounded number of items a step.

use hooklug_types::{CallId, ProgramId, SessionKey, TurnId, UnixMillis};
use serde::{Deserialize, Serialize};

use super::command::ShardReply;
use super::machine::ShardMachine;

/// Items forgotten in one step of the clock at most (ours); the others wait for the next step.
pub const ITEMS_PER_STEP: usize = 256;

/// Something that is forgotten when its keep time is over.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) enum ExpiryItem {
    /// An ended or refused turn; its events stay with the session, as the next turns' context.
    Turn(SessionKey, TurnId),
    /// A call with an outcome.
    Call(ProgramId, CallId),
    /// A closed session with its stream.
    Session(SessionKey),
    /// A program past its end, with all that is left of it.
    Program(ProgramId),
}

impl ShardMachine {
    /// Moves the clock on, never back, and forgets what is due.
    pub(super) fn advance_clock(&mut self, now: UnixMillis) -> ShardReply {
        if now > self.state.clock {
            self.state.clock = now;
            for _ in 0..ITEMS_PER_STEP {
                let Some(item) = self.pop_due() else { break };
                self.forget(item);
            }
        }
        ShardReply::Done
    }

    fn pop_due(&mut self) -> Option<ExpiryItem> {
        let due = self.state.expiry.first().is_some_and(|(at, _)| *at <= self.state.clock);
        if due { self.state.expiry.pop_first().map(|(_, item)| item) } else { None }
    }

    fn forget(&mut self, item: ExpiryItem) {
        match item {
            ExpiryItem::Turn(key, turn) => {
                let program = self.state.programs.get_mut(&key.program);
                if let Some(session) = program.and_then(|p| p.sessions.get_mut(&key.session)) {
                    session.turns.remove(&turn);
                }
            }
            ExpiryItem::Call(program, call) => {
                if let Some(program) = self.state.programs.get_mut(&program) {
                    program.calls.remove(&call);
                }
            }
            ExpiryItem::Session(key) => {
                let program = self.state.programs.get_mut(&key.program);
                if let Some(session) = program.and_then(|p| p.sessions.remove(&key.session)) {
                    self.state.epoch_floor = self.state.epoch_floor.max(session.record.epoch);
                }
            }
            ExpiryItem::Program(program) => self.forget_program(program),
        }
    }

    /// Forgets a program once its end and everything that ended in it lie the keep time back. Turns
    /// that are still open then have no owner left that could end them in time: they are sealed first.
    fn forget_program(&mut self, program: ProgramId) {
        self.seal_turns_of(&program);
        let Some(entry) = self.state.programs.get(&program) else { return };
        let due = entry.last_ended.max(entry.record.end_time).plus(self.keep);
        if due > self.state.clock {
            self.schedule(due, ExpiryItem::Program(program));
            return;
        }
        let highest = entry.sessions.values().map(|s| s.record.epoch).max();
        self.state.epoch_floor = self.state.epoch_floor.max(highest.unwrap_or_default());
        self.state.programs.remove(&program);
    }

    fn seal_turns_of(&mut self, program: &ProgramId) {
        let Some(entry) = self.state.programs.get(program) else { return };
        let open: Vec<SessionKey> = entry
            .sessions
            .values()
            .filter(|s| s.record.open_turn.is_some())
            .map(|s| s.record.key.clone())
            .collect();
        for key in open {
            // The session was just seen with an open turn, so sealing can't be refused.
            let _ = self.seal_open_turn(&key);
        }
    }
}
