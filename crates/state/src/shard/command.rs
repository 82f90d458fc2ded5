//! Commands of a shard and their replies (design document, section 3).

use bytes::Bytes;
use hooklug_types::{
    CallAttempt, CallId, CallOutcome, Digest, EndReason, EngineId, EngineIncarnation, EventSeq,
    Incarnation, NodeId, PrefixId, ProgramId, Renewal, RouteName, ServiceName, ServiceVersion,
    SessionEpoch, SessionKey, TenantId, TokenCount, TurnId, UnixMillis, WindowGroup,
};
use serde::{Deserialize, Serialize};

use super::event::EventBody;
use super::query::{CallRecord, LeaseRecord, ProgramRecord, SessionRecord, TurnRecord};

/// Declares a program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutProgram {
    /// Id of the program.
    pub program: ProgramId,
    /// Tenant that the program belongs to.
    pub tenant: TenantId,
    /// Window group, from the tenant's entry in the bundle.
    pub group: Option<WindowGroup>,
    /// Total number of tokens that the program may stream.
    pub token_budget: TokenCount,
    /// Time by which the program must end.
    pub end_time: UnixMillis,
}

/// Opens a session at an owner, unless it is already open.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenSession {
    /// The session.
    pub key: SessionKey,
    /// The engine that requests the session and becomes its owner.
    pub owner: EngineIncarnation,
    /// Service that the session runs on.
    pub service: ServiceName,
    /// Service version that the owner runs.
    pub version: ServiceVersion,
    /// Shared prompt prefix of the session.
    pub prefix: Option<PrefixId>,
}

/// Takes over a session whose owner's lease has expired, or that has no owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeSession {
    /// The session.
    pub key: SessionKey,
    /// The session's epoch as last seen by the new owner; the command is refused if it has changed.
    pub expected_epoch: SessionEpoch,
    /// The engine that takes over the session.
    pub new_owner: EngineIncarnation,
    /// Service version that the new owner runs.
    pub version: ServiceVersion,
}

/// Starts a turn and reserves tokens of the program's budget for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeginTurn {
    /// The session.
    pub key: SessionKey,
    /// Epoch under which the requesting owner holds the session.
    pub epoch: SessionEpoch,
    /// The turn.
    pub turn: TurnId,
    /// The preceding turn; must be the session's head.
    pub after: Option<TurnId>,
    /// Digest of the turn's content (input and limits), to distinguish a resend from a different
    /// turn.
    pub digest: Digest,
    /// Input of the turn.
    pub input: String,
    /// Maximum number of tokens that the turn may stream.
    pub max_tokens: TokenCount,
}

/// Ends the open turn.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishTurn {
    /// The session.
    pub key: SessionKey,
    /// Epoch under which the requesting owner holds the session.
    pub epoch: SessionEpoch,
    /// The turn.
    pub turn: TurnId,
    /// The reason why the turn ended.
    pub reason: EndReason,
}

/// Claims the single dispatch of a non-repeatable call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeginCall {
    /// The program.
    pub program: ProgramId,
    /// The call.
    pub call: CallId,
    /// The attempt that claims the call; a resend of the same attempt is granted again.
    pub attempt: CallAttempt,
    /// Digest of the call's content.
    pub digest: Digest,
    /// Route of the call.
    pub route: RouteName,
}

/// Starts a turn of a chained session. The first turn also creates the program and the session. The
/// requesting host becomes the session's owner and the budget is reserved, all in one command and
/// therefore one disk sync.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartChainedTurn {
    /// The session.
    pub key: SessionKey,
    /// The turn; each attempt of a caller has its own id.
    pub turn: TurnId,
    /// The requesting session host, which becomes the owner of the session.
    pub host: NodeId,
    /// The retained turn that this turn continues from.
    pub after: Option<TurnId>,
    /// Total number of tokens that all turns of the program may generate; `None` for no limit.
    pub token_budget: Option<TokenCount>,
    /// Maximum number of tokens that this turn generates; reserved until it ends.
    pub max_tokens: TokenCount,
    /// Input of the turn, on routes that retain turns.
    pub input: Option<Bytes>,
    /// Whether the reply should include the history up to `after`.
    pub include_history: bool,
    /// The history up to `after`, if another program retains that turn.
    pub imported: Option<Bytes>,
    /// Time limit of the turn, in milliseconds from the commit; the turn cannot be running after
    /// it.
    pub time_limit_ms: u64,
    /// Retention time of the program and its turns after the last use, in milliseconds.
    pub keep_ms: u64,
}

/// Ends a turn that was started with [`StartChainedTurn`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndChainedTurn {
    /// The session.
    pub key: SessionKey,
    /// The turn.
    pub turn: TurnId,
    /// Epoch under which the turn was started.
    pub epoch: SessionEpoch,
    /// Number of tokens that were streamed to the caller.
    pub tokens: TokenCount,
    /// The complete output, if the turn is to be retained; `None` if it was interrupted or its
    /// route retains no turns.
    pub output: Option<Bytes>,
}

/// A command of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardCommand {
    /// Declares a program. Reply: `Program`.
    PutProgram(PutProgram),
    /// Opens a session. If another owner holds it, replies with the unchanged session. Reply:
    /// `Session`.
    OpenSession(OpenSession),
    /// Takes over a session. The sender must first have had the owner's lease expired with
    /// `ExpireLease` in the lease's shard, which may be a different one. Reply: `Session`.
    TakeSession(TakeSession),
    /// Starts a turn. Reply: `Turn`.
    BeginTurn(BeginTurn),
    /// Appends events of the open turn, or tool results between turns. Reply: `Appended`.
    AppendEvents {
        /// The session.
        key: SessionKey,
        /// Epoch under which the requesting owner holds the session.
        epoch: SessionEpoch,
        /// The open turn; `None` only for tool results between turns.
        turn: Option<TurnId>,
        /// Sequence number of the first event. It must be the session's next one, unless all events
        /// are already committed with the same content.
        first_seq: EventSeq,
        /// Bodies of the events.
        bodies: Vec<EventBody>,
    },
    /// Ends the open turn and settles its reservation. Reply: `Turn`, with the ended turn in
    /// `existing`.
    FinishTurn(FinishTurn),
    /// Releases ownership of a session between turns, so that another engine can acquire it. Reply:
    /// `Session`.
    HandOver {
        /// The session.
        key: SessionKey,
        /// Epoch under which the requesting owner holds the session.
        epoch: SessionEpoch,
    },
    /// Closes a session between turns. Its owner is removed; its history is retained. Reply:
    /// `Session`.
    CloseSession {
        /// The session.
        key: SessionKey,
        /// Epoch under which the requesting owner holds the session.
        epoch: SessionEpoch,
    },
    /// Claims the dispatch of a call. Reply: `CallGranted`, or `Call` if it already has an outcome.
    BeginCall(BeginCall),
    /// Records the outcome of a call. Reply: `Call`.
    FinishCall {
        /// The program.
        program: ProgramId,
        /// The call.
        call: CallId,
        /// The attempt that dispatched the call.
        attempt: CallAttempt,
        /// The outcome. The same attempt may later replace `Unknown` with `Answered`.
        outcome: CallOutcome,
    },
    /// Seals a call so that it will never run; the only source of the outcome `NotRun`. Refused
    /// with `CallHeld` once the call was claimed, even if it has an outcome. Reply: `Call`.
    SealCall {
        /// The program.
        program: ProgramId,
        /// The call.
        call: CallId,
        /// Digest of the call's content.
        digest: Digest,
    },
    /// Renews an engine's lease, or starts it. Reply: `Lease`.
    RenewLease {
        /// The holder of the lease.
        holder: EngineIncarnation,
    },
    /// Expires a lease, unless it was renewed after the given renewal. Proposed only by the group's
    /// leader. Reply: `Lease`.
    ExpireLease {
        /// The holder of the lease.
        holder: EngineIncarnation,
        /// The last renewal that the decision is based on.
        renewal: Renewal,
    },
    /// Advances the group's clock and deletes items whose retention time is over. Proposed only by
    /// the group's leader.
    AdvanceClock {
        /// The new time; a time before the current one changes nothing.
        now: UnixMillis,
    },
    /// Several commands in one log entry, each with its own reply.
    Batch(Vec<ShardCommand>),
    /// Starts a turn of a chained session. Reply: `ChainedTurnStarted`.
    StartChainedTurn(StartChainedTurn),
    /// Ends a turn of a chained session and settles its reservation. Reply: `Done`.
    EndChainedTurn(EndChainedTurn),
}

/// Reply to [`StartChainedTurn`]: the turn may run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartedChainedTurn {
    /// Epoch of the session; the turn's [`EndChainedTurn`] must carry it.
    pub epoch: SessionEpoch,
    /// The history that the turn continues from, if requested.
    pub history: Option<Bytes>,
}

/// Reply to the start or the end of a turn, with the tokens that it may stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnGrant {
    /// Number of reserved tokens: the smaller of `max_tokens` and the unreserved rest of the
    /// budget.
    pub reserved: TokenCount,
    /// Sequence number of the turn's `TurnStarted` event.
    pub started: EventSeq,
    /// The turn's record, if the turn already existed (a resend) or has ended.
    pub existing: Option<TurnRecord>,
}

/// Reply to a [`ShardCommand`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardReply {
    /// The program, as recorded.
    Program(ProgramRecord),
    /// The session, as recorded, with its owner and epoch.
    Session(SessionRecord),
    /// The turn may run, or it already exists.
    Turn(TurnGrant),
    /// The events are committed.
    Appended {
        /// Sequence number of the next event.
        next_seq: EventSeq,
    },
    /// The call is granted to this attempt, which may dispatch it once.
    CallGranted,
    /// The call, as recorded.
    Call(CallRecord),
    /// The lease, as recorded.
    Lease(LeaseRecord),
    /// The command was applied; it returns no data.
    Done,
    /// The command was refused. Nothing changed, except that some refusals are recorded.
    Refused(ShardRefusal),
    /// The replies to the commands of a batch, in order.
    Batch(Vec<ShardReply>),
    /// The turn of a chained session may run.
    ChainedTurnStarted(StartedChainedTurn),
}

/// The reason why a shard command was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum ShardRefusal {
    /// The program does not exist.
    #[error("no such program")]
    NoProgram,
    /// The program was declared with different values.
    #[error("the program exists with different values")]
    ProgramDiffers,
    /// The session does not exist.
    #[error("no such session")]
    NoSession,
    /// The session is closed.
    #[error("the session is closed")]
    SessionClosed,
    /// The session is held under another epoch.
    #[error("the session is held by another owner or under another epoch")]
    StaleEpoch {
        /// The current record of the session.
        record: Box<SessionRecord>,
    },
    /// `after` is not the session's head.
    #[error("the turn does not follow the session's last turn")]
    NotHead {
        /// The session's head; `None` if it has no turn yet.
        head: Option<TurnId>,
        /// Whether the turn named by `after` is an ended turn within its retention time; true if
        /// `after` is `None`.
        after_known: bool,
    },
    /// Another turn of the session is open.
    #[error("another turn of the session is open: {turn}")]
    TurnOpen {
        /// The open turn.
        turn: TurnId,
    },
    /// The turn id was already used with different content.
    #[error("the turn exists with different content")]
    TurnDiffers,
    /// The turn does not exist, or it is not open.
    #[error("no such open turn")]
    NoOpenTurn,
    /// The token budget is used up. Final, and recorded under the turn id.
    #[error("the token budget is spent")]
    BudgetSpent,
    /// The rest of the token budget is reserved by other turns. Not recorded; the request may be
    /// retried.
    #[error("the rest of the token budget is reserved by other turns")]
    BudgetReserved,
    /// The program's end time has passed. Final, and recorded under the turn id.
    #[error("the program's end time has passed")]
    ProgramEnded,
    /// The events do not continue the stream.
    #[error("the events leave a gap in the stream or conflict with committed events")]
    Gap {
        /// The sequence number that the shard expects next.
        next_seq: EventSeq,
    },
    /// The events contain more tokens than the turn has reserved.
    #[error("the events exceed the turn's token reservation; {left} tokens are left")]
    ReservationExceeded {
        /// Remaining tokens of the reservation.
        left: TokenCount,
    },
    /// Another attempt holds the call.
    #[error("another attempt holds the call")]
    CallHeld {
        /// The current record of the call.
        record: Box<CallRecord>,
    },
    /// The call id was already used with different content.
    #[error("the call exists with different content")]
    CallDiffers,
    /// The call does not exist.
    #[error("no such call")]
    NoCall,
    /// The lease has expired, which is permanent.
    #[error("the lease has expired")]
    LeaseExpired,
    /// The lease was renewed after the renewal that the command names.
    #[error("the lease has been renewed in the meantime")]
    LeaseRenewed,
    /// The turn to continue from is not retained in this shard.
    #[error("the turn to continue from is not retained in this shard")]
    UnknownTurn,
    /// A later turn of the session has started, so this one can no longer be retained.
    #[error("a later turn of the session has started")]
    Superseded,
}

/// Key of an engine lease in the leader's lease timers.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseKey {
    /// The engine.
    pub engine: EngineId,
    /// The run of the engine's process.
    pub incarnation: Incarnation,
}
