//! Queries of a shard and the records that they return.

use bytes::Bytes;
use hooklug_types::{
    CallAttempt, CallId, CallOutcome, Digest, EndReason, EngineIncarnation, EventSeq, PrefixId,
    ProgramId, Renewal, RouteName, ServiceName, ServiceVersion, SessionEpoch, SessionKey, TenantId,
    TokenCount, TurnId, UnixMillis, WindowGroup,
};
use serde::{Deserialize, Serialize};

use super::command::ShardRefusal;
use super::event::Event;

/// A program and its token ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramRecord {
    /// Id of the program.
    pub program: ProgramId,
    /// Tenant that the program belongs to.
    pub tenant: TenantId,
    /// Window group of the program.
    pub group: Option<WindowGroup>,
    /// Total number of tokens that the program may stream.
    pub token_budget: TokenCount,
    /// Number of tokens streamed by ended turns.
    pub spent: TokenCount,
    /// Number of tokens reserved by open turns.
    pub reserved: TokenCount,
    /// Time by which the program must end.
    pub end_time: UnixMillis,
}

/// A session, without its events.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRecord {
    /// The session.
    pub key: SessionKey,
    /// The owner; `None` after a hand-over or once the session is closed.
    pub owner: Option<EngineIncarnation>,
    /// Epoch of the current or last ownership.
    pub epoch: SessionEpoch,
    /// Service that the session runs on.
    pub service: ServiceName,
    /// Service version that the current or last owner runs.
    pub version: ServiceVersion,
    /// Shared prompt prefix of the session.
    pub prefix: Option<PrefixId>,
    /// The last ended turn, which a new turn must follow.
    pub head: Option<TurnId>,
    /// The open turn.
    pub open_turn: Option<TurnId>,
    /// Sequence number of the next event.
    pub next_seq: EventSeq,
    /// Whether the session is closed.
    pub closed: bool,
}

/// State of a turn.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TurnState {
    /// The turn is running.
    Open,
    /// The turn has ended.
    Ended {
        /// The reason why the turn ended.
        reason: EndReason,
        /// Sequence number of the turn's `TurnEnded` event.
        last_seq: EventSeq,
    },
    /// The turn was refused; this is final.
    Refused(ShardRefusal),
}

/// A turn, as recorded in its shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRecord {
    /// Id of the turn.
    pub turn: TurnId,
    /// The preceding turn.
    pub after: Option<TurnId>,
    /// Digest of the turn's content.
    pub digest: Digest,
    /// Sequence number of the turn's `TurnStarted` event; 0 for a refused turn.
    pub started: EventSeq,
    /// Number of reserved tokens.
    pub reserved: TokenCount,
    /// Number of tokens in the turn's committed events.
    pub tokens: TokenCount,
    /// State of the turn.
    pub state: TurnState,
}

/// A non-repeatable call, as recorded in its shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Id of the call.
    pub call: CallId,
    /// Digest of the call's content.
    pub digest: Digest,
    /// Route of the call; `None` if it was sealed before any dispatch.
    pub route: Option<RouteName>,
    /// The attempt that holds the call; `None` if it was sealed.
    pub attempt: Option<CallAttempt>,
    /// CommandResult of the call; `None` while it may be running.
    pub outcome: Option<CallOutcome>,
}

/// An engine's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The holder of the lease.
    pub holder: EngineIncarnation,
    /// Number of renewals so far.
    pub renewal: Renewal,
    /// Whether the lease has expired, which is permanent.
    pub expired: bool,
}

/// A linearizable read of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardQuery {
    /// A program.
    Program(ProgramId),
    /// A session.
    Session(SessionKey),
    /// A turn of a session.
    Turn {
        /// The session.
        key: SessionKey,
        /// The turn.
        turn: TurnId,
    },
    /// Events of a session after a sequence number.
    Events {
        /// The session.
        key: SessionKey,
        /// Sequence number of the last event that the reader already has; 0 for none.
        after: EventSeq,
        /// Maximum number of events; the size of the reply is limited as well.
        limit: u32,
    },
    /// A call.
    Call {
        /// The program.
        program: ProgramId,
        /// The call.
        call: CallId,
    },
    /// A lease.
    Lease(EngineIncarnation),
    /// Open sessions of this shard in key order, for operators.
    OpenSessions {
        /// Key of the last session that the reader already has.
        after: Option<SessionKey>,
        /// Maximum number of sessions.
        limit: u32,
    },
    /// The group's clock.
    Clock,
    /// The history up to and including a retained turn of a chained session, whichever program
    /// retains it.
    History(TurnId),
    /// What a program's shard knows of a turn of a chained session.
    ChainedTurn {
        /// The program.
        program: ProgramId,
        /// The turn.
        turn: TurnId,
    },
}

/// What a program's shard knows of a turn of a chained session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChainedTurnStatus {
    /// The shard has no record of the program.
    UnknownProgram,
    /// The program has no such turn.
    UnknownTurn,
    /// The turn has not ended.
    Open,
    /// The turn ended without a complete output, was superseded or cancelled.
    NotRetained,
    /// The turn can be continued.
    Retained,
}

/// Answer to a [`ShardQuery`]; `None` means that the record does not exist.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardAnswer {
    /// A program.
    Program(Option<ProgramRecord>),
    /// A session.
    Session(Option<SessionRecord>),
    /// A turn.
    Turn(Option<TurnRecord>),
    /// Events of a session, in order.
    Events {
        /// The events.
        events: Vec<Event>,
        /// Whether there are more events than the reply contains.
        more: bool,
    },
    /// A call.
    Call(Option<CallRecord>),
    /// A lease.
    Lease(Option<LeaseRecord>),
    /// Open sessions.
    OpenSessions(Vec<SessionRecord>),
    /// The group's clock.
    Clock(UnixMillis),
    /// A history.
    History(Option<Bytes>),
    /// The status of a turn of a chained session.
    ChainedTurn(ChainedTurnStatus),
}
