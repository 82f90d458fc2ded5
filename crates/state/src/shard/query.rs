//! Reads of a shard and the records that they return.

use bytes::Bytes;
use hooklug_types::{
    CallAttempt, CallId, CallOutcome, Digest, EndReason, EngineIncarnation, EventSeq, PrefixId,
    ProgramId, Renewal, RouteName, ServiceName, ServiceVersion, SessionEpoch, SessionKey, TenantId,
    TokenCount, TurnId, UnixMillis, WindowGroup,
};
use serde::{Deserialize, Serialize};

use super::command::ShardRefusal;
use super::event::Event;

/// A program and its ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramRecord {
    /// Its id.
    pub program: ProgramId,
    /// Whose it is.
    pub tenant: TenantId,
    /// Group for windows.
    pub group: Option<WindowGroup>,
    /// Tokens that it may stream in all.
    pub token_budget: TokenCount,
    /// Tokens streamed by ended turns.
    pub spent: TokenCount,
    /// Tokens held by open turns.
    pub reserved: TokenCount,
    /// When it has to be over.
    pub end_time: UnixMillis,
}

/// A session: its owner, head and stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRecord {
    /// Which session.
    pub key: SessionKey,
    /// Its owner; `None` after a hand-over or when closed.
    pub owner: Option<EngineIncarnation>,
    /// Epoch of the ownership, also after the owner has gone.
    pub epoch: SessionEpoch,
    /// Service that it runs on.
    pub service: ServiceName,
    /// Version of its (last) owner.
    pub version: ServiceVersion,
    /// Shared prefix of its prompt.
    pub prefix: Option<PrefixId>,
    /// The last ended turn; a new turn must follow it.
    pub head: Option<TurnId>,
    /// The open turn.
    pub open_turn: Option<TurnId>,
    /// Place of the next event.
    pub next_seq: EventSeq,
    /// Whether it is closed.
    pub closed: bool,
}

/// How far a turn is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TurnState {
    /// Running.
    Open,
    /// Over.
    Ended {
        /// Why.
        reason: EndReason,
        /// Place of its `TurnEnded` event.
        last_seq: EventSeq,
    },
    /// Refused, for ever.
    Refused(ShardRefusal),
}

/// A turn.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRecord {
    /// The turn.
    pub turn: TurnId,
    /// The turn that it follows.
    pub after: Option<TurnId>,
    /// Digest of its content.
    pub digest: Digest,
    /// Place of its `TurnStarted` event; 0 when refused.
    pub started: EventSeq,
    /// Tokens reserved.
    pub reserved: TokenCount,
    /// Tokens of its committed events.
    pub tokens: TokenCount,
    /// How far it is.
    pub state: TurnState,
}

/// A call that may not be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// The call.
    pub call: CallId,
    /// Digest of its content.
    pub digest: Digest,
    /// Route that it goes by; `None` when it was sealed before any dispatch.
    pub route: Option<RouteName>,
    /// The attempt that holds it; `None` when sealed.
    pub attempt: Option<CallAttempt>,
    /// How it ended; `None` while it may be running.
    pub outcome: Option<CallOutcome>,
}

/// An engine's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Whose.
    pub holder: EngineIncarnation,
    /// Renewals so far.
    pub renewal: Renewal,
    /// Whether it has expired, which is for ever.
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
        /// Which session.
        key: SessionKey,
        /// The turn.
        turn: TurnId,
    },
    /// Events after a place, at most so many.
    Events {
        /// Which session.
        key: SessionKey,
        /// Place of the last one already known; 0 for none.
        after: EventSeq,
        /// At most so many (a bound of the reply's size applies too).
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
    /// Open sessions of this shard, for operators; in key order, after a key.
    OpenSessions {
        /// Last one already known.
        after: Option<SessionKey>,
        /// At most so many.
        limit: u32,
    },
    /// The group's clock.
    Clock,
    /// The history up to and with a kept turn of a chained session, whichever program keeps it.
    History(TurnId),
}

/// Answer to a [`ShardQuery`]; `None` means that there is no such record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardAnswer {
    /// A program.
    Program(Option<ProgramRecord>),
    /// A session.
    Session(Option<SessionRecord>),
    /// A turn.
    Turn(Option<TurnRecord>),
    /// Events, in order; `more` when the limit cut them.
    Events {
        /// The events.
        events: Vec<Event>,
        /// Whether more are there.
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
}
