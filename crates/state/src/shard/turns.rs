//! Turns of a session. Each follows the session's head, holds a token reservation while it is open,
//! and ends once.

use std::sync::Arc;

use hooklug_types::{EndReason, EventSeq, SessionKey, TokenCount, TurnId};

use super::command::{BeginTurn, FinishTurn, ShardRefusal, ShardReply, TurnGrant};
use super::event::EventBody;
use super::expiry::ExpiryItem;
use super::machine::{CommandResult, ProgramEntry, SessionEntry, ShardMachine};
use super::query::{TurnRecord, TurnState};

impl ShardMachine {
    /// Starts a turn and reserves tokens for it. A resend returns the existing turn or the recorded
    /// refusal.
    pub(super) fn begin_turn(&mut self, begin: BeginTurn) -> CommandResult {
        let clock = self.state.clock;
        let program = self.program_mut(&begin.key.program)?;
        let ProgramEntry { record: program_record, sessions, last_ended, .. } = program;
        let session = sessions.get_mut(&begin.key.session).ok_or(ShardRefusal::NoSession)?;
        let session = Arc::make_mut(session);
        session.check_epoch(begin.epoch)?;
        if let Some(existing) = session.turns.get(&begin.turn) {
            return existing.answer_resend(&begin);
        }
        session.check_may_begin(&begin)?;
        match program_record.reserve(begin.max_tokens, clock) {
            Ok(reserved) => Ok(ShardReply::Turn(session.start_turn(begin, reserved))),
            Err(refusal @ ShardRefusal::BudgetReserved) => Err(refusal),
            Err(refusal) => {
                session.record_refused(&begin, refusal.clone());
                *last_ended = clock;
                let item = ExpiryItem::Turn(begin.key, begin.turn);
                self.schedule_expiry(self.retention_end(), item);
                Err(refusal)
            }
        }
    }

    /// Ends the open turn. A repeated request returns the turn as it first ended.
    pub(super) fn finish_turn(&mut self, finish: &FinishTurn) -> CommandResult {
        let session = self.session_mut(&finish.key)?;
        session.check_epoch(finish.epoch)?;
        if session.record.open_turn.as_ref() == Some(&finish.turn) {
            let ended = self.end_turn(&finish.key, &finish.turn, finish.reason.clone())?;
            return Ok(ShardReply::Turn(ended.existing_grant()));
        }
        match session.turns.get(&finish.turn) {
            Some(turn) if matches!(turn.state, TurnState::Ended { .. }) => {
                Ok(ShardReply::Turn(turn.existing_grant()))
            }
            _ => Err(ShardRefusal::NoOpenTurn),
        }
    }

    /// Ends a session's open turn, settles its reservation and makes it the head.
    pub(super) fn end_turn(
        &mut self,
        key: &SessionKey,
        turn: &TurnId,
        reason: EndReason,
    ) -> Result<TurnRecord, ShardRefusal> {
        let clock = self.state.clock;
        let expires_at = self.retention_end();
        let program = self.program_mut(&key.program)?;
        let session = program.session_mut(&key.session)?;
        let ended = session.end_turn(turn, reason)?;
        program.record.settle(ended.reserved, ended.tokens);
        program.last_ended = clock;
        self.schedule_expiry(expires_at, ExpiryItem::Turn(key.clone(), turn.clone()));
        Ok(ended)
    }
}

impl SessionEntry {
    fn check_may_begin(&self, begin: &BeginTurn) -> Result<(), ShardRefusal> {
        let record = &self.record;
        if record.closed {
            return Err(ShardRefusal::SessionClosed);
        }
        if let Some(turn) = record.open_turn.clone() {
            return Err(ShardRefusal::TurnOpen { turn });
        }
        if begin.after != record.head {
            let after_known = begin.after.as_ref().is_none_or(|turn| self.has_ended_turn(turn));
            return Err(ShardRefusal::NotHead { head: record.head.clone(), after_known });
        }
        Ok(())
    }

    fn has_ended_turn(&self, turn: &TurnId) -> bool {
        self.turns.get(turn).is_some_and(|t| matches!(t.state, TurnState::Ended { .. }))
    }

    fn start_turn(&mut self, begin: BeginTurn, reserved: TokenCount) -> TurnGrant {
        let body = EventBody::TurnStarted { after: begin.after.clone(), input: begin.input };
        let started = self.push_event(Some(begin.turn.clone()), body);
        let record = TurnRecord {
            turn: begin.turn.clone(),
            after: begin.after,
            digest: begin.digest,
            started,
            reserved,
            tokens: TokenCount(0),
            state: TurnState::Open,
        };
        self.record.open_turn = Some(begin.turn.clone());
        self.turns.insert(begin.turn, record);
        TurnGrant { reserved, started, existing: None }
    }

    fn record_refused(&mut self, begin: &BeginTurn, refusal: ShardRefusal) {
        let record = TurnRecord {
            turn: begin.turn.clone(),
            after: begin.after.clone(),
            digest: begin.digest,
            started: EventSeq(0),
            reserved: TokenCount(0),
            tokens: TokenCount(0),
            state: TurnState::Refused(refusal),
        };
        self.turns.insert(begin.turn.clone(), record);
    }

    fn end_turn(&mut self, turn: &TurnId, reason: EndReason) -> Result<TurnRecord, ShardRefusal> {
        let tokens = self.turns.get(turn).ok_or(ShardRefusal::NoOpenTurn)?.tokens;
        let body = EventBody::TurnEnded { reason: reason.clone(), tokens };
        let last_seq = self.push_event(Some(turn.clone()), body);
        self.record.open_turn = None;
        self.record.head = Some(turn.clone());
        let record = self.turns.get_mut(turn).ok_or(ShardRefusal::NoOpenTurn)?;
        record.state = TurnState::Ended { reason, last_seq };
        Ok(record.clone())
    }
}

impl TurnRecord {
    fn answer_resend(&self, begin: &BeginTurn) -> CommandResult {
        if self.digest != begin.digest || self.after != begin.after {
            return Err(ShardRefusal::TurnDiffers);
        }
        match &self.state {
            TurnState::Refused(refusal) => Err(refusal.clone()),
            TurnState::Open | TurnState::Ended { .. } => {
                Ok(ShardReply::Turn(self.existing_grant()))
            }
        }
    }

    fn existing_grant(&self) -> TurnGrant {
        TurnGrant { reserved: self.reserved, started: self.started, existing: Some(self.clone()) }
    }
}
