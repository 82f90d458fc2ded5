//! Commands of a shard and their replies (design section 3).

use bytes::Bytes;
use hooklug_types::{
    CallAttempt, CallId, CallOutcome, Digest, EndReason, EngineId, EngineIncarnation, EventSeq,
    Incarnation, NodeId, PrefixId, ProgramId, Renewal, RouteName, ServiceName, ServiceVersion,
    SessionEpoch, SessionKey, TenantId, TokenCount, TurnId, UnixMillis, WindowGroup,
};
use serde::{Deserialize, Serialize};

use super::event::EventBody;
use super::query::{CallRecord, LeaseRecord, ProgramRecord, SessionRecord, TurnRecord};

/// A program, as its caller declares it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutProgram {
    /// Its id.
    pub program: ProgramId,
    /// Whose it is.
    pub tenant: TenantId,
    /// Group for windows, from the tenant's entry.
    pub group: Option<WindowGroup>,
    /// Tokens that it may stream in all.
    pub token_budget: TokenCount,
    /// When it has to be over.
    pub end_time: UnixMillis,
}

/// Opens a session at an owner, unless it is open already.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenSession {
    /// Which session.
    pub key: SessionKey,
    /// The engine that asks for it.
    pub owner: EngineIncarnation,
    /// Service that it runs on.
    pub service: ServiceName,
    /// Version of the owner.
    pub version: ServiceVersion,
    /// Shared prefix of its prompt.
    pub prefix: Option<PrefixId>,
}

/// Takes a session over from an expired, or no, owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeSession {
    /// Which session.
    pub key: SessionKey,
    /// Epoch that the taker has seen; refused when it has moved.
    pub expected_epoch: SessionEpoch,
    /// The taker.
    pub new_owner: EngineIncarnation,
    /// Version of the taker.
    pub version: ServiceVersion,
}

/// Begins a turn and reserves budget for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeginTurn {
    /// Which session.
    pub key: SessionKey,
    /// Epoch of the asking owner.
    pub epoch: SessionEpoch,
    /// The turn.
    pub turn: TurnId,
    /// The turn that it follows; must be the head.
    pub after: Option<TurnId>,
    /// Digest of the turn's content (input and limits), to tell a resend from another turn.
    pub digest: Digest,
    /// The new input.
    pub input: String,
    /// Tokens that it may stream.
    pub max_tokens: TokenCount,
}

/// Ends the open turn.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishTurn {
    /// Which session.
    pub key: SessionKey,
    /// Epoch of the asking owner.
    pub epoch: SessionEpoch,
    /// The turn.
    pub turn: TurnId,
    /// Why it is over.
    pub reason: EndReason,
}

/// Claims the one dispatch of a call that may not be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeginCall {
    /// The program.
    pub program: ProgramId,
    /// The call.
    pub call: CallId,
    /// The claim; the same attempt asked again is granted again.
    pub attempt: CallAttempt,
    /// Digest of the call's content.
    pub digest: Digest,
    /// Route that it goes by.
    pub route: RouteName,
}

/// Begins a turn of a chained session. The program and the session are opened by their first turn, the asking host
/// becomes the session's owner, and the budget is reserved: one command, so one sync.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTurn {
    /// Which session.
    pub key: SessionKey,
    /// The turn; each attempt of a caller has an id of its own.
    pub turn: TurnId,
    /// The session host that asks, and owns the session from here on.
    pub host: NodeId,
    /// The kept turn that it goes on from.
    pub after: Option<TurnId>,
    /// Tokens that all turns of the program may generate; `None` without a limit.
    pub token_budget: Option<TokenCount>,
    /// The most that this turn generates; reserved until it ends.
    pub max_tokens: TokenCount,
    /// The new input, on routes that keep turns.
    pub input: Option<Bytes>,
    /// Whether the reply should carry the history up to `after`.
    pub wants_history: bool,
    /// The history up to `after`, when another program keeps that turn.
    pub imported: Option<Bytes>,
    /// Time after which the turn cannot run any more, in milliseconds from the commit.
    pub time_limit_ms: u64,
    /// How long the program and its turns are kept after its last use, in milliseconds.
    pub keep_ms: u64,
}

/// Ends a turn that [`StartTurn`] began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndTurn {
    /// Which session.
    pub key: SessionKey,
    /// The turn.
    pub turn: TurnId,
    /// Epoch that the turn was begun under.
    pub epoch: SessionEpoch,
    /// Tokens that were given to the caller.
    pub tokens: TokenCount,
    /// The whole output, for a turn to be kept; `None` for one that was cut or whose route keeps nothing.
    pub output: Option<Bytes>,
}

/// A command of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardCommand {
    /// Declares a program. Reply: `Program`.
    PutProgram(PutProgram),
    /// Opens a session; replies with it as it stands when another owner holds it. Reply: `Session`.
    OpenSession(OpenSession),
    /// Takes a session over. Refused while the recorded owner's lease is not known to be expired:
    /// the taker proves it with `ExpireLease` in the lease's shard first (leases live in another shard).
    /// Reply: `Session`.
    TakeSession(TakeSession),
    /// Begins a turn. Reply: `Turn`.
    BeginTurn(BeginTurn),
    /// Appends events of the open turn, or tool results between turns. Reply: `Appended`.
    AppendEvents {
        /// Which session.
        key: SessionKey,
        /// Epoch of the asking owner.
        epoch: SessionEpoch,
        /// The open turn; `None` only for tool results between turns.
        turn: Option<TurnId>,
        /// Place of the first; must be the session's next one (or wholly repeat what is there).
        first_seq: EventSeq,
        /// The events' bodies.
        bodies: Vec<EventBody>,
    },
    /// Ends the open turn and settles its reservation. Reply: `Turn`, with the ended turn as `existing`.
    FinishTurn(FinishTurn),
    /// Gives a session up between turns; the next message takes it elsewhere. Reply: `Session`.
    HandOver {
        /// Which session.
        key: SessionKey,
        /// Epoch of the asking owner.
        epoch: SessionEpoch,
    },
    /// Closes a session between turns; its link is removed, its history kept. Reply: `Session`.
    CloseSession {
        /// Which session.
        key: SessionKey,
        /// Epoch of the asking owner.
        epoch: SessionEpoch,
    },
    /// Claims a call's dispatch. Reply: `CallGranted`, or `Call` when it has an outcome already.
    BeginCall(BeginCall),
    /// Records a call's outcome. Reply: `Call`.
    FinishCall {
        /// The program.
        program: ProgramId,
        /// The call.
        call: CallId,
        /// The claim that dispatched it.
        attempt: CallAttempt,
        /// How it ended; `Unknown` may later be replaced by `Answered` by the same attempt.
        outcome: CallOutcome,
    },
    /// Seals a call as never to run; the only source of "not run". Refused as held once it was begun,
    /// also when it has an outcome. Reply: `Call`.
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
        /// Whose.
        holder: EngineIncarnation,
    },
    /// Ends a lease, if no renewal came after the one named. Proposed only by the group's leader. Reply: `Lease`.
    ExpireLease {
        /// Whose.
        holder: EngineIncarnation,
        /// The renewal that was judged.
        renewal: Renewal,
    },
    /// Moves the group's clock on; expires what is past its keep time. Proposed only by the group's leader.
    AdvanceClock {
        /// The new time; an earlier one than the present changes nothing.
        now: UnixMillis,
    },
    /// Several commands in one log entry; replied to one by one.
    Batch(Vec<ShardCommand>),
    /// Begins a turn of a chained session. Reply: `Started`.
    StartTurn(StartTurn),
    /// Ends a turn of a chained session and settles its reservation. Reply: `Done`.
    EndTurn(EndTurn),
}

/// A turn of a chained session that may run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartedTurn {
    /// Epoch of the session; its end must name it.
    pub epoch: SessionEpoch,
    /// The history up to the turn that it goes on from, when asked for.
    pub history: Option<Bytes>,
}

/// What a begun turn may do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnGrant {
    /// Tokens reserved: `min(max_tokens, left)`.
    pub reserved: TokenCount,
    /// Place of its `TurnStarted` event.
    pub started: EventSeq,
    /// Whether the turn existed already (a resend).
    pub existing: Option<TurnRecord>,
}

/// Reply to a [`ShardCommand`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardReply {
    /// The program, as recorded.
    Program(ProgramRecord),
    /// The session, as recorded: names the owner and epoch.
    Session(SessionRecord),
    /// The turn may run, or exists.
    Turn(TurnGrant),
    /// Events are committed; the next place in the stream.
    Appended {
        /// Place of the next event.
        next_seq: EventSeq,
    },
    /// The call is granted to this attempt: dispatch it once.
    CallGranted,
    /// The call, as recorded.
    Call(CallRecord),
    /// The lease, as recorded.
    Lease(LeaseRecord),
    /// Done; nothing to tell.
    Done,
    /// Refused; nothing changed but, where said so, the record of the refusal.
    Refused(ShardRefusal),
    /// Replies to a batch, in its order.
    Batch(Vec<ShardReply>),
    /// The turn of a chained session may run.
    Started(StartedTurn),
}

/// Why a command was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum ShardRefusal {
    /// No such program.
    #[error("no such program")]
    NoProgram,
    /// The program exists with other values.
    #[error("program exists with other values")]
    ProgramDiffers,
    /// No such session.
    #[error("no such session")]
    NoSession,
    /// The session is closed.
    #[error("session is closed")]
    SessionClosed,
    /// Another epoch is in force.
    #[error("another owner or epoch holds the session")]
    StaleEpoch {
        /// The session as it is.
        record: Box<SessionRecord>,
    },
    /// `after` does not name the head; `head` is what it should name.
    #[error("the turn does not follow the head")]
    NotHead {
        /// The head; `None` when there is no turn yet.
        head: Option<TurnId>,
        /// Whether the turn named as earlier exists at all (or its keep time is over).
        after_known: bool,
    },
    /// Another turn of the session is open.
    #[error("another turn is open")]
    TurnOpen {
        /// The open turn.
        turn: TurnId,
    },
    /// The turn id was used with other content.
    #[error("the turn exists with other content")]
    TurnDiffers,
    /// No such turn, or it is not the open one.
    #[error("no such open turn")]
    NoOpenTurn,
    /// The budget is spent. Final, and recorded under the turn id.
    #[error("token budget is spent")]
    BudgetSpent,
    /// Other turns hold what is left; try again. Not recorded.
    #[error("what is left of the token budget is reserved by other turns")]
    BudgetReserved,
    /// The program's end time has passed. Final, and recorded under the turn id.
    #[error("the program's end time has passed")]
    ProgramEnded,
    /// Events do not follow the last one.
    #[error("events leave a gap or differ from what is there")]
    Gap {
        /// The place expected next.
        next_seq: EventSeq,
    },
    /// The turn's reservation does not cover these tokens.
    #[error("the turn's reservation is used up")]
    ReservationExceeded {
        /// Tokens that are left of it.
        left: TokenCount,
    },
    /// Another attempt holds the call.
    #[error("another attempt holds the call")]
    CallHeld {
        /// The call as it is.
        record: Box<CallRecord>,
    },
    /// The call id was used with other content.
    #[error("the call exists with other content")]
    CallDiffers,
    /// No such call.
    #[error("no such call")]
    NoCall,
    /// The lease has expired, for ever.
    #[error("the lease has expired")]
    LeaseExpired,
    /// A renewal came after the one that was judged.
    #[error("the lease was renewed since")]
    LeaseRenewed,
    /// The turn to go on from is not kept in this shard.
    #[error("no such turn is kept")]
    UnknownTurn,
    /// A later turn of the session was begun; this one can no longer be kept.
    #[error("a later turn of the session has begun")]
    Superseded,
}

/// Keys used by the leader's lease timers.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseKey {
    /// The engine.
    pub engine: EngineId,
    /// The run of its process.
    pub incarnation: Incarnation,
}
