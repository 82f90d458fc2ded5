//! The shard's state machine: the state, the dispatch of commands and reads, and snapshots.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hooklug_types::{
    CallId, Digest, EngineIncarnation, ProgramId, SessionEpoch, SessionId, SessionKey, TurnId,
    UnixMillis,
};
use serde::{Deserialize, Serialize};

use super::chains::ChainedPrograms;
use super::command::{ShardCommand, ShardRefusal, ShardReply};
use super::event_log::EventLog;
use super::expiry::{ExpiryItem, ExpiryQueue};
use super::query::{
    CallRecord, LeaseRecord, ProgramRecord, SessionRecord, ShardAnswer, ShardQuery, TurnRecord,
};
use crate::{FrozenState, MachineError, StateMachine, decode, encode};

/// What a command comes to: a reply, or a refusal.
pub(super) type Outcome = Result<ShardReply, ShardRefusal>;

/// A program with all that lives under its key.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct ProgramEntry {
    pub record: ProgramRecord,
    pub sessions: BTreeMap<SessionId, Arc<SessionEntry>>,
    pub calls: BTreeMap<CallId, CallEntry>,
    /// When something of it last ended, by the group's clock; it is forgotten no sooner than the keep time later.
    pub last_ended: UnixMillis,
}

/// A session with its turns and stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct SessionEntry {
    pub record: SessionRecord,
    pub turns: BTreeMap<TurnId, TurnRecord>,
    pub log: EventLog,
    /// Calls whose results are in the stream.
    pub tool_results: BTreeSet<String>,
}

/// A call and when it is forgotten.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct CallEntry {
    pub record: CallRecord,
    pub expires: Option<UnixMillis>,
}

/// All of a shard's state; what a snapshot holds. A copy shares programs, sessions, full chunks of events and
/// parts of the expiry queue; the machine copies one of them when it first writes to it afterwards.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct ShardState {
    pub clock: UnixMillis,
    pub programs: BTreeMap<ProgramId, Arc<ProgramEntry>>,
    /// Expired leases stay: expiry is for ever.
    pub leases: BTreeMap<EngineIncarnation, LeaseRecord>,
    pub expiry: ExpiryQueue,
    /// Highest epoch of any forgotten session: one that is opened anew never repeats an epoch.
    pub epoch_floor: SessionEpoch,
    /// Programs whose sessions are chains of kept turns.
    pub chained: ChainedPrograms,
}

/// The state machine of one shard (design section 3).
///
/// The keep time must be the same on all replicas of a cluster, since it decides what expires.
#[derive(Debug, Clone)]
pub struct ShardMachine {
    pub(super) keep: Duration,
    pub(super) state: ShardState,
}

impl ShardMachine {
    /// An empty shard that keeps finished turns, finished calls, closed sessions and ended programs
    /// for at least `keep`.
    #[must_use]
    pub fn new(keep: Duration) -> Self {
        Self { keep, state: ShardState::default() }
    }

    /// Applies a command; each is idempotent by its key.
    pub fn apply_command(&mut self, command: ShardCommand) -> ShardReply {
        if let ShardCommand::Batch(commands) = command {
            return ShardReply::Batch(
                commands.into_iter().map(|c| self.apply_command(c)).collect(),
            );
        }
        self.apply_single(command).unwrap_or_else(ShardReply::Refused)
    }

    fn apply_single(&mut self, command: ShardCommand) -> Outcome {
        match command {
            ShardCommand::PutProgram(put) => Ok(self.put_program(put)),
            ShardCommand::OpenSession(open) => self.open_session(open),
            ShardCommand::TakeSession(take) => self.take_session(take),
            ShardCommand::BeginTurn(begin) => self.begin_turn(begin),
            ShardCommand::AppendEvents { key, epoch, turn, first_seq, bodies } => {
                self.append_events(&key, epoch, turn.as_ref(), first_seq, bodies)
            }
            ShardCommand::FinishTurn(finish) => self.finish_turn(&finish),
            ShardCommand::HandOver { key, epoch } => self.hand_over(&key, epoch),
            ShardCommand::CloseSession { key, epoch } => self.close_session(&key, epoch),
            ShardCommand::BeginCall(begin) => self.begin_call(begin),
            ShardCommand::FinishCall { program, call, attempt, outcome } => {
                self.finish_call(&program, &call, &attempt, outcome)
            }
            ShardCommand::SealCall { program, call, digest } => {
                self.seal_call(&program, &call, digest)
            }
            ShardCommand::RenewLease { holder } => self.renew_lease(holder),
            ShardCommand::ExpireLease { holder, renewal } => self.expire_lease(holder, renewal),
            ShardCommand::AdvanceClock { now } => Ok(self.advance_clock(now)),
            ShardCommand::Batch(commands) => Ok(self.apply_command(ShardCommand::Batch(commands))),
            ShardCommand::StartTurn(start) => self.start_turn(start),
            ShardCommand::EndTurn(end) => self.state.chained.end_turn(end, self.state.clock),
        }
    }

    /// Answers a read from the state as it is.
    #[must_use]
    pub fn answer(&self, query: &ShardQuery) -> ShardAnswer {
        match query {
            ShardQuery::Program(program) => {
                ShardAnswer::Program(self.state.programs.get(program).map(|p| p.record.clone()))
            }
            ShardQuery::Session(key) => {
                ShardAnswer::Session(self.find_session(key).map(|s| s.record.clone()))
            }
            ShardQuery::Turn { key, turn } => {
                ShardAnswer::Turn(self.find_session(key).and_then(|s| s.turns.get(turn)).cloned())
            }
            ShardQuery::Events { key, after, limit } => self.answer_events(key, *after, *limit),
            ShardQuery::Call { program, call } => ShardAnswer::Call(
                self.state
                    .programs
                    .get(program)
                    .and_then(|p| p.calls.get(call))
                    .map(|c| c.record.clone()),
            ),
            ShardQuery::Lease(holder) => ShardAnswer::Lease(self.state.leases.get(holder).cloned()),
            ShardQuery::OpenSessions { after, limit } => {
                ShardAnswer::OpenSessions(self.open_sessions(after.as_ref(), *limit))
            }
            ShardQuery::Clock => ShardAnswer::Clock(self.state.clock),
            ShardQuery::History(turn) => ShardAnswer::History(self.state.chained.history(turn)),
        }
    }

    /// The group's clock.
    #[must_use]
    pub fn clock(&self) -> UnixMillis {
        self.state.clock
    }

    pub(super) fn find_session(&self, key: &SessionKey) -> Option<&SessionEntry> {
        self.state.programs.get(&key.program)?.sessions.get(&key.session).map(AsRef::as_ref)
    }

    /// The program that a command names.
    pub(super) fn program_mut(
        &mut self,
        program: &ProgramId,
    ) -> Result<&mut ProgramEntry, ShardRefusal> {
        self.state.programs.get_mut(program).map(Arc::make_mut).ok_or(ShardRefusal::NoProgram)
    }

    /// The session that a command names.
    pub(super) fn session_mut(
        &mut self,
        key: &SessionKey,
    ) -> Result<&mut SessionEntry, ShardRefusal> {
        self.program_mut(&key.program)?.session_mut(&key.session)
    }

    /// Marks an item to be forgotten at `at`.
    pub(super) fn schedule(&mut self, at: UnixMillis, item: ExpiryItem) {
        self.state.expiry.insert(at, item);
    }

    /// When something that ends now is forgotten.
    pub(super) fn keep_until(&self) -> UnixMillis {
        self.state.clock.plus(self.keep)
    }
}

impl ProgramEntry {
    /// The session that a command names.
    pub(super) fn session_mut(
        &mut self,
        session: &SessionId,
    ) -> Result<&mut SessionEntry, ShardRefusal> {
        self.sessions.get_mut(session).map(Arc::make_mut).ok_or(ShardRefusal::NoSession)
    }
}

impl StateMachine for ShardMachine {
    fn apply(&mut self, command: &[u8]) -> Result<Vec<u8>, MachineError> {
        let command: ShardCommand = decode("shard command", command)?;
        Ok(encode(&self.apply_command(command)))
    }

    fn query(&self, query: &[u8]) -> Result<Vec<u8>, MachineError> {
        let query: ShardQuery = decode("shard query", query)?;
        Ok(encode(&self.answer(&query)))
    }

    fn snapshot(&self) -> Vec<u8> {
        encode(&self.state)
    }

    fn freeze(&self) -> FrozenState {
        let state = self.state.clone();
        Box::new(move || encode(&state))
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), MachineError> {
        self.state = decode("shard snapshot", snapshot)?;
        Ok(())
    }

    fn digest(&self) -> Digest {
        Digest::of(&self.snapshot())
    }
}
