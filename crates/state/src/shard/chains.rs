//! Chained sessions: a turn may continue from any retained turn of any session, so the turns of a
//! program form a tree.
//!
//! Ordinary sessions commit every event; chained sessions commit only complete turns. The maximum
//! number of tokens of a turn is reserved before the turn runs, and the turn is retained only if
//! its complete output is committed under the epoch under which it was started. The host that
//! starts a turn owns the session from then on. Each start increments the epoch, which fences all
//! earlier turns of the session.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hooklug_types::{NodeId, ProgramId, SessionEpoch, SessionId, TokenCount, TurnId, UnixMillis};
use litemap::LiteMap;
use serde::{Deserialize, Serialize};

use super::command::{
    EndChainedTurn, ShardRefusal, ShardReply, StartChainedTurn, StartedChainedTurn,
};
use super::expiry::{ExpiredProgram, ExpiryItem};
use super::machine::{CommandResult, ShardMachine};
use super::query::ChainedTurnStatus;

/// All chained programs of a shard. Clones share the programs.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct ChainedPrograms {
    programs: BTreeMap<ProgramId, Arc<ChainedProgram>>,
    /// The program that retains each turn, for turns that continue from a turn of another program.
    turn_programs: BTreeMap<TurnId, ProgramId>,
}

/// One program: its token ledger, the owners of its sessions, its open turns and its ended turns.
/// The maps are sorted vectors, because most have only a few entries, while a B-tree node allocates
/// space for eleven.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct ChainedProgram {
    /// Tokens that ended turns streamed to the caller.
    spent: TokenCount,
    sessions: LiteMap<SessionId, Ownership>,
    open: LiteMap<TurnId, OpenTurn>,
    ended: LiteMap<TurnId, EndedTurn>,
    /// Time at which the program is deleted, unless it is used again.
    expires_at: UnixMillis,
    keep_ms: u64,
}

/// Owner and epoch of a session.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Ownership {
    owner: NodeId,
    epoch: SessionEpoch,
}

/// A turn that may be running.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct OpenTurn {
    session: SessionId,
    epoch: SessionEpoch,
    reserved: TokenCount,
    /// Time limit; the turn cannot be running after it.
    deadline: UnixMillis,
    after: Option<TurnId>,
    input: Option<Bytes>,
}

/// A turn that has ended.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct EndedTurn {
    after: Option<TurnId>,
    /// Input and output of the turn; `None` if they are not retained.
    text: Option<Bytes>,
}

impl ChainedProgram {
    /// Checks whether another turn may start. It may only while the sum of spent and reserved
    /// tokens is below the budget, so that all turns together exceed the budget by less than the
    /// maximum of one turn.
    fn check_budget(&self, budget: TokenCount, now: UnixMillis) -> Result<(), ShardRefusal> {
        let (timed_out, running): (Vec<_>, Vec<_>) =
            self.open.values().partition(|t| t.deadline <= now);
        let sum = |turns: &[&OpenTurn]| turns.iter().map(|turn| turn.reserved.0).sum::<u64>();
        let spent = self.spent.0.saturating_add(sum(&timed_out));
        if spent >= budget.0 {
            return Err(ShardRefusal::BudgetSpent);
        }
        if spent.saturating_add(sum(&running)) >= budget.0 {
            return Err(ShardRefusal::BudgetReserved);
        }
        Ok(())
    }

    /// Returns the history up to and including a turn; `None` if it is not retained.
    fn history(&self, turn: &TurnId) -> Option<Bytes> {
        let mut texts = vec![self.retained_text(turn)?];
        let mut earlier = self.ended[turn].after.as_ref();
        while let Some(id) = earlier {
            texts.push(self.retained_text(id)?);
            earlier = self.ended[id].after.as_ref();
        }
        if let [only] = texts.as_slice() {
            return Some((*only).clone());
        }
        let mut buffer = BytesMut::with_capacity(texts.iter().map(|text| text.len()).sum());
        texts.iter().rev().for_each(|text| buffer.extend_from_slice(text));
        Some(buffer.freeze())
    }

    fn retained_text(&self, turn: &TurnId) -> Option<&Bytes> {
        self.ended.get(turn)?.text.as_ref()
    }

    fn is_current(&self, open: &OpenTurn) -> bool {
        self.sessions.get(&open.session).is_some_and(|s| s.epoch == open.epoch)
    }

    /// Makes the host that starts a turn the owner of the session, under a new epoch.
    fn change_owner(
        &mut self,
        session: &SessionId,
        host: NodeId,
        floor: SessionEpoch,
    ) -> SessionEpoch {
        let epoch = self.sessions.get(session).map_or(floor, |s| s.epoch).next();
        self.sessions.insert(session.clone(), Ownership { owner: host, epoch });
        epoch
    }
}

impl ChainedPrograms {
    /// Returns the history up to and including a retained turn of any program in this shard.
    pub(super) fn history(&self, turn: &TurnId) -> Option<Bytes> {
        self.programs.get(self.turn_programs.get(turn)?)?.history(turn)
    }

    /// Returns what is known of a turn of a program.
    pub(super) fn status(&self, program: &ProgramId, turn: &TurnId) -> ChainedTurnStatus {
        let Some(program) = self.programs.get(program) else {
            return ChainedTurnStatus::UnknownProgram;
        };
        if program.open.contains_key(turn) {
            return ChainedTurnStatus::Open;
        }
        match program.ended.get(turn) {
            None => ChainedTurnStatus::UnknownTurn,
            Some(ended) if ended.text.is_none() => ChainedTurnStatus::NotRetained,
            Some(_) => ChainedTurnStatus::Retained,
        }
    }

    /// Extends the retention times of all programs and the time limits of their open turns.
    pub(super) fn extend_retention(&mut self, millis: u64) {
        for program in self.programs.values_mut() {
            let program = Arc::make_mut(program);
            program.expires_at = program.expires_at.plus_millis(millis);
            for (_, open) in program.open.iter_mut() {
                open.deadline = open.deadline.plus_millis(millis);
            }
        }
    }

    /// Ends a turn. A repeated request changes nothing.
    pub(super) fn end_turn(&mut self, end: EndChainedTurn, now: UnixMillis) -> CommandResult {
        let program = self.programs.get_mut(&end.key.program).ok_or(ShardRefusal::NoProgram)?;
        let program = Arc::make_mut(program);
        let Some(open) = program.open.remove(&end.turn) else {
            return match program.ended.get(&end.turn) {
                Some(ended) if ended.text.is_some() || end.output.is_none() => Ok(ShardReply::Done),
                Some(_) => Err(ShardRefusal::Superseded),
                None => Err(ShardRefusal::NoOpenTurn),
            };
        };
        if program.open.is_empty() {
            program.open = LiteMap::new();
        }
        program.spent.0 = program.spent.0.saturating_add(end.tokens.0);
        program.expires_at = program.expires_at.max(now.plus_millis(program.keep_ms));
        let current = program.is_current(&open) && open.epoch == end.epoch;
        let complete = current && end.output.is_some();
        let text = match (open.input, &end.output) {
            (Some(input), Some(output)) if complete => Some(concat(&input, output)),
            _ => None,
        };
        if text.is_some() {
            self.turn_programs.insert(end.turn.clone(), end.key.program);
        }
        program.ended.insert(end.turn, EndedTurn { after: open.after, text });
        match complete || end.output.is_none() {
            true => Ok(ShardReply::Done),
            false => Err(ShardRefusal::Superseded),
        }
    }
}

fn concat(first: &[u8], second: &[u8]) -> Bytes {
    let mut buffer = BytesMut::with_capacity(first.len() + second.len());
    buffer.extend_from_slice(first);
    buffer.extend_from_slice(second);
    buffer.freeze()
}

impl ShardMachine {
    /// Starts a turn. A resend of the same turn returns the same epoch, unless a later turn has
    /// started.
    pub(super) fn start_turn(&mut self, start: StartChainedTurn) -> CommandResult {
        let (now, floor) = (self.state.clock, self.state.epoch_floor);
        let key = start.key.program.clone();
        let chained = &mut self.state.chained;
        let is_new = !chained.programs.contains_key(&key);
        // Insert a new program only after success, so that a refusal leaves no empty program
        // behind.
        let mut new_program = ChainedProgram::default();
        let program = match chained.programs.get_mut(&key) {
            Some(program) => Arc::make_mut(program),
            None => &mut new_program,
        };
        let started = start_in_program(program, start, now, floor)?;
        let expires_at = program.expires_at;
        if is_new {
            chained.programs.insert(key.clone(), new_program.into());
            self.schedule_expiry(expires_at, ExpiryItem::ChainedProgram(key));
        }
        Ok(ShardReply::ChainedTurnStarted(started))
    }

    /// Deletes a program that has not been used since its expiry was scheduled, and reschedules the
    /// expiry otherwise.
    pub(super) fn expire_chained_program(&mut self, id: ProgramId) {
        let Some(program) = self.state.chained.programs.get(&id) else { return };
        if program.expires_at > self.state.clock {
            self.schedule_expiry(program.expires_at, ExpiryItem::ChainedProgram(id));
            return;
        }
        let Some(program) = self.state.chained.programs.remove(&id) else { return };
        self.last_step.expired.push(ExpiredProgram {
            program: id.clone(),
            last_used: UnixMillis(program.expires_at.0.saturating_sub(program.keep_ms)),
            keep: Duration::from_millis(program.keep_ms),
        });
        let highest = program.sessions.values().map(|session| session.epoch).max();
        self.state.epoch_floor = self.state.epoch_floor.max(highest.unwrap_or_default());
        for turn in program.ended.keys() {
            if self.state.chained.turn_programs.get(turn) == Some(&id) {
                self.state.chained.turn_programs.remove(turn);
            }
        }
    }
}

fn start_in_program(
    program: &mut ChainedProgram,
    start: StartChainedTurn,
    now: UnixMillis,
    floor: SessionEpoch,
) -> Result<StartedChainedTurn, ShardRefusal> {
    if program.ended.contains_key(&start.turn) {
        return Err(ShardRefusal::TurnDiffers);
    }
    if let Some(open) = program.open.get(&start.turn) {
        let epoch = open.epoch;
        if !program.is_current(open) {
            return Err(ShardRefusal::Superseded);
        }
        return Ok(StartedChainedTurn { epoch, history: requested_history(program, &start)? });
    }
    if let (Some(after), Some(imported)) = (&start.after, &start.imported) {
        let import = || EndedTurn { after: None, text: Some(imported.clone()) };
        program.ended.entry(after.clone()).or_insert_with(import);
    }
    let history = requested_history(program, &start)?;
    if let Some(budget) = start.token_budget {
        program.check_budget(budget, now)?;
    }
    let epoch = program.change_owner(&start.key.session, start.host, floor);
    program.keep_ms = program.keep_ms.max(start.keep_ms);
    program.expires_at =
        program.expires_at.max(now.plus_millis(program.keep_ms + start.time_limit_ms));
    let open = OpenTurn {
        session: start.key.session,
        epoch,
        reserved: start.max_tokens,
        deadline: now.plus_millis(start.time_limit_ms),
        after: start.after,
        input: start.input,
    };
    program.open.insert(start.turn, open);
    Ok(StartedChainedTurn { epoch, history })
}

/// Returns the history that a turn continues from, if its host requests it. The turn named by
/// `after` must be retained in either case.
fn requested_history(
    program: &ChainedProgram,
    start: &StartChainedTurn,
) -> Result<Option<Bytes>, ShardRefusal> {
    let Some(after) = &start.after else { return Ok(None) };
    if !start.include_history {
        return program.retained_text(after).map(|_| None).ok_or(ShardRefusal::UnknownTurn);
    }
    program.history(after).map(Some).ok_or(ShardRefusal::UnknownTurn)
}
