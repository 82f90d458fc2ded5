//! The state machine of a shard: state, dispatch of commands and queries, and snapshots.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hooklug_types::{
    CallId, Digest, EngineIncarnation, ProgramId, SessionEpoch, SessionId, SessionKey, TurnId,
    UnixMillis,
};
use serde::{Deserialize, Serialize};

use super::chains::ChainedPrograms;
use super::clock_step::{ClockStep, LoggedCommand};
use super::command::{ShardCommand, ShardRefusal, ShardReply};
use super::event_log::EventLog;
use super::expiry::{AppliedStep, ExpiryItem, ExpiryQueue};
use super::query::{
    CallRecord, LeaseRecord, ProgramRecord, SessionRecord, ShardAnswer, ShardQuery, TurnRecord,
};
use crate::{FrozenState, MachineError, StateMachine, decode, encode};

/// The result of a command.
pub(super) type CommandResult = Result<ShardReply, ShardRefusal>;

/// A program with its sessions and calls.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct ProgramEntry {
    pub record: ProgramRecord,
    pub sessions: BTreeMap<SessionId, Arc<SessionEntry>>,
    pub calls: BTreeMap<CallId, CallEntry>,
    /// Time at which a turn, call or session of the program last ended, by the group's clock. The
    /// program is retained for at least the retention time after it.
    pub last_ended: UnixMillis,
}

/// A session with its turns and its event stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct SessionEntry {
    pub record: SessionRecord,
    pub turns: BTreeMap<TurnId, TurnRecord>,
    pub log: EventLog,
    /// Ids of calls whose results are in the stream.
    pub tool_results: BTreeSet<String>,
}

/// A call and the time at which it is deleted.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct CallEntry {
    pub record: CallRecord,
    pub expires: Option<UnixMillis>,
}

/// The full state of a shard, which is also the content of a snapshot. Clones share programs,
/// sessions, full chunks of events and slots of the expiry queue; the machine copies such a part
/// when it first writes to it after a clone.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct ShardState {
    pub clock: UnixMillis,
    pub programs: BTreeMap<ProgramId, Arc<ProgramEntry>>,
    /// Engine leases, including expired ones, since expiry is permanent.
    pub leases: BTreeMap<EngineIncarnation, LeaseRecord>,
    pub expiry: ExpiryQueue,
    /// Highest epoch of any deleted session, so that a session that is opened again never reuses an
    /// epoch.
    pub epoch_floor: SessionEpoch,
    /// Programs with chained sessions.
    pub chained: ChainedPrograms,
}

/// The state machine of one shard (design document, section 3).
///
/// The retention time must be the same on all replicas of a cluster, since it determines what
/// expires.
#[derive(Debug, Clone)]
pub struct ShardMachine {
    pub(super) retention: Duration,
    pub(super) state: ShardState,
    /// What the last step of the clock did; not a part of the state.
    pub(super) last_step: AppliedStep,
}

impl ShardMachine {
    /// Creates an empty shard that retains finished turns, finished calls, closed sessions and
    /// ended programs for at least `retention`.
    #[must_use]
    pub fn new(retention: Duration) -> Self {
        Self { retention, state: ShardState::default(), last_step: AppliedStep::default() }
    }

    /// Applies an encoded command of the log.
    ///
    /// # Errors
    /// Only if the command does not decode; a refusal is a reply.
    pub fn apply_logged(&mut self, command: &[u8]) -> Result<ShardReply, MachineError> {
        match LoggedCommand::decode(command)? {
            LoggedCommand::Step(step) => {
                self.step_clock(step);
                Ok(ShardReply::Done)
            }
            LoggedCommand::Other(command) => Ok(self.apply_command(command)),
        }
    }

    /// Applies a command. Each command is idempotent by its key.
    pub fn apply_command(&mut self, command: ShardCommand) -> ShardReply {
        if let ShardCommand::Batch(commands) = command {
            return ShardReply::Batch(
                commands.into_iter().map(|c| self.apply_command(c)).collect(),
            );
        }
        self.apply_single(command).unwrap_or_else(ShardReply::Refused)
    }

    fn apply_single(&mut self, command: ShardCommand) -> CommandResult {
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
            ShardCommand::AdvanceClock { now } => {
                self.step_clock(ClockStep { now, details: None });
                Ok(ShardReply::Done)
            }
            ShardCommand::Batch(commands) => Ok(self.apply_command(ShardCommand::Batch(commands))),
            ShardCommand::StartChainedTurn(start) => self.start_turn(start),
            ShardCommand::EndChainedTurn(end) => self.state.chained.end_turn(end, self.state.clock),
        }
    }

    /// Answers a query from the current state.
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
            ShardQuery::ChainedTurn { program, turn } => {
                ShardAnswer::ChainedTurn(self.state.chained.status(program, turn))
            }
        }
    }

    /// Returns the group's clock.
    #[must_use]
    pub fn clock(&self) -> UnixMillis {
        self.state.clock
    }

    pub(super) fn find_session(&self, key: &SessionKey) -> Option<&SessionEntry> {
        self.state.programs.get(&key.program)?.sessions.get(&key.session).map(AsRef::as_ref)
    }

    /// Returns the program, or the refusal if it does not exist.
    pub(super) fn program_mut(
        &mut self,
        program: &ProgramId,
    ) -> Result<&mut ProgramEntry, ShardRefusal> {
        self.state.programs.get_mut(program).map(Arc::make_mut).ok_or(ShardRefusal::NoProgram)
    }

    /// Returns the session, or the refusal if it does not exist.
    pub(super) fn session_mut(
        &mut self,
        key: &SessionKey,
    ) -> Result<&mut SessionEntry, ShardRefusal> {
        self.program_mut(&key.program)?.session_mut(&key.session)
    }

    /// Schedules the deletion of an item at `at`.
    pub(super) fn schedule_expiry(&mut self, at: UnixMillis, item: ExpiryItem) {
        self.state.expiry.insert(at, item);
    }

    /// Returns the end of the retention time of an item that ends now.
    pub(super) fn retention_end(&self) -> UnixMillis {
        self.state.clock.plus(self.retention)
    }
}

impl ProgramEntry {
    /// Returns the session, or the refusal if it does not exist.
    pub(super) fn session_mut(
        &mut self,
        session: &SessionId,
    ) -> Result<&mut SessionEntry, ShardRefusal> {
        self.sessions.get_mut(session).map(Arc::make_mut).ok_or(ShardRefusal::NoSession)
    }
}

impl StateMachine for ShardMachine {
    fn apply(&mut self, command: &[u8]) -> Result<Vec<u8>, MachineError> {
        Ok(encode(&self.apply_logged(command)?))
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
