//! Messages from gateways to session-host engines.

use hooklug_state::shard::{Event, SessionRecord, ShardRefusal, TurnRecord};
use hooklug_types::{
    EngineIncarnation, EngineLoad, EventSeq, PrefixId, ServiceName, SessionEpoch, SessionKey,
    SessionLocation, TenantId, TokenCount, TurnId, UnixMillis, WindowGroup,
};
use serde::{Deserialize, Serialize};

use crate::{Method, Request, StreamRequest};

/// A reply of an engine. Every reply carries the engine's load, so that gateways learn of a drain
/// immediately.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReply<T> {
    /// The engine's load.
    pub load: EngineLoad,
    /// The result of the request.
    pub result: Result<T, EngineRefusal>,
}

/// The reason why an engine refused a request. Only `Shard` carries a committed refusal; the
/// others do not say whether anything has run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum EngineRefusal {
    /// Another engine, or no engine, owns the session.
    #[error("this engine does not own the session")]
    NotOwner {
        /// The session's record in its shard, if known.
        record: Option<Box<SessionRecord>>,
    },
    /// The request is meant for another run of this engine.
    #[error("the request names another incarnation; {running} is running")]
    WrongIncarnation {
        /// The incarnation that is running.
        running: EngineIncarnation,
    },
    /// The engine is draining and accepts no new sessions.
    #[error("the engine is draining")]
    Draining,
    /// The engine is not ready, or its version may not receive new sessions.
    #[error("the engine is not ready: {reason}")]
    NotReady {
        /// What the engine is waiting for, or why its version is excluded.
        reason: String,
    },
    /// The queue is full, or the turn can no longer finish in time.
    #[error("the engine is overloaded; retry after {retry_after_ms} ms")]
    Overloaded {
        /// Delay before a retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The shard refused the command.
    #[error("{0}")]
    Shard(ShardRefusal),
    /// The shard could not be reached in time; the command may or may not have been applied.
    #[error("the session's shard is unreachable")]
    StoreUnavailable,
    /// The engine's lease has expired.
    #[error("the engine's lease has expired")]
    LeaseLost,
    /// The deadline passed before the work was started.
    #[error("deadline exceeded")]
    DeadlineExceeded,
    /// The session is being handed over; the request must be sent to its next owner.
    #[error("the session is being handed over")]
    HandedOver,
}

/// Asks an engine to open a session. The engine records its ownership in the shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenSession {
    /// The session.
    pub key: SessionKey,
    /// The engine incarnation that the request is meant for.
    pub engine: EngineIncarnation,
    /// Service that the session runs on.
    pub service: ServiceName,
    /// Shared prompt prefix of the session.
    pub prefix: Option<PrefixId>,
}

impl Request for OpenSession {
    type Reply = EngineReply<SessionRecord>;
    const METHOD: Method = Method::OpenSession;
}

/// Asks an engine to take over a session whose owner has failed. The gateway has already had the
/// owner's lease expired.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeSession {
    /// The session.
    pub key: SessionKey,
    /// The engine incarnation that the request is meant for.
    pub engine: EngineIncarnation,
    /// The session's epoch as last seen by the gateway.
    pub expected_epoch: SessionEpoch,
}

impl Request for TakeSession {
    type Reply = EngineReply<SessionRecord>;
    const METHOD: Method = Method::TakeSession;
}

/// Runs a turn and streams its events. A resend of the same turn attaches to the running one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunTurn {
    /// Location of the session, as known to the gateway.
    pub location: SessionLocation,
    /// The turn.
    pub turn: TurnId,
    /// The preceding turn.
    pub after: Option<TurnId>,
    /// Input of the turn.
    pub input: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: TokenCount,
    /// Tenant, for fair queueing.
    pub tenant: TenantId,
    /// Window group, for reserved slots.
    pub group: Option<WindowGroup>,
    /// Whether the turn may use the slots reserved for urgent turns.
    pub urgent: bool,
    /// Time left until the turn's deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Sequence number of the last event that the caller already has; 0 for none.
    pub last_seen: EventSeq,
}

impl StreamRequest for RunTurn {
    type Item = TurnItem;
    const METHOD: Method = Method::RunTurn;
}

/// An item of a turn's stream. The last item is a `TurnEnded` event or a refusal; a stream that
/// ends in any other way was interrupted and can be resumed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TurnItem {
    /// The turn is committed; the first item unless the turn is refused.
    Accepted {
        /// The turn as recorded.
        turn: TurnRecord,
        /// The engine's load.
        load: EngineLoad,
    },
    /// A committed event of the turn.
    Event(Event),
    /// The turn was refused.
    Refused {
        /// The reason.
        refusal: EngineRefusal,
        /// The engine's load.
        load: EngineLoad,
    },
}

/// Joins a session: a `Sync` item if `last_seen` is `None`, then all further events of the session.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Join {
    /// Location of the session, as known to the gateway.
    pub location: SessionLocation,
    /// Sequence number of the last event that the client already has; `None` requests a full sync.
    pub last_seen: Option<EventSeq>,
}

impl StreamRequest for Join {
    type Item = JoinItem;
    const METHOD: Method = Method::Join;
}

/// An item of a session's event stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JoinItem {
    /// The full history so far; the first item unless `last_seen` was given.
    Sync {
        /// The session's record.
        record: Box<SessionRecord>,
        /// All events of the session so far, in order.
        history: Vec<Event>,
    },
    /// The next event.
    Event(Event),
    /// The request was refused, or the session has left this engine and its owner must be looked up
    /// again.
    Refused(EngineRefusal),
}

/// Aborts the open turn of a session.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AbortTurn {
    /// Location of the session, as known to the gateway.
    pub location: SessionLocation,
    /// The turn.
    pub turn: TurnId,
}

impl Request for AbortTurn {
    type Reply = EngineReply<TurnRecord>;
    const METHOD: Method = Method::AbortTurn;
}

/// Delivers the result of a tool call to its session. Idempotent by call id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToolResult {
    /// Location of the session, as known to the gateway.
    pub location: SessionLocation,
    /// The call id, chosen by the program.
    pub call: String,
    /// The result, as JSON text.
    pub result: String,
}

impl Request for ToolResult {
    type Reply = EngineReply<EventSeq>;
    const METHOD: Method = Method::ToolResult;
}

/// Closes a session.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CloseSession {
    /// Location of the session, as known to the gateway.
    pub location: SessionLocation,
    /// Time at which the caller stops waiting.
    pub deadline: UnixMillis,
}

impl Request for CloseSession {
    type Reply = EngineReply<SessionRecord>;
    const METHOD: Method = Method::CloseSession;
}
