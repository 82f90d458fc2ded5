//! Gateway to session-host engine.

use hooklug_state::shard::{Event, SessionRecord, ShardRefusal, TurnRecord};
use hooklug_types::{
    EngineIncarnation, EngineLoad, EventSeq, PrefixId, ServiceName, SessionEpoch, SessionKey,
    SessionPlace, TenantId, TokenCount, TurnId, UnixMillis, WindowGroup,
};
use serde::{Deserialize, Serialize};

use crate::{Method, Request, StreamRequest};

/// Every engine reply carries its load, so that gateways learn of a drain at once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReply<T> {
    /// The engine's load.
    pub load: EngineLoad,
    /// What it answers.
    pub result: Result<T, EngineRefusal>,
}

/// Why an engine did not do what was asked. None of these claims that anything ran or did not run,
/// but `Ledger`, which carries a committed refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum EngineRefusal {
    /// Another engine, or none, owns the session.
    #[error("not the owner")]
    NotOwner {
        /// The session as its shard recorded it, if known.
        record: Option<Box<SessionRecord>>,
    },
    /// This process is another run of the engine.
    #[error("another incarnation")]
    WrongIncarnation {
        /// The one that runs.
        running: EngineIncarnation,
    },
    /// Takes no new sessions.
    #[error("draining")]
    Draining,
    /// Its version is not one that may get new sessions, or it is not ready.
    #[error("not ready: {reason}")]
    NotReady {
        /// Why.
        reason: String,
    },
    /// The queue is full, or the work can no longer finish in time.
    #[error("overloaded")]
    Overloaded {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// The shard refused.
    #[error("{0}")]
    Ledger(ShardRefusal),
    /// The shard could not be reached in time; claims nothing.
    #[error("the shard cannot be reached")]
    StoreUnavailable,
    /// The engine's lease has run out.
    #[error("the engine's lease has run out")]
    LeaseLost,
    /// The deadline passed before the work was begun.
    #[error("deadline exceeded")]
    DeadlineExceeded,
    /// The session is handed over; ask its next owner.
    #[error("session is being handed over")]
    HandedOver,
}

/// Asks an engine to open a session; it writes the ownership itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenSession {
    /// Which session.
    pub key: SessionKey,
    /// The run of the engine that is meant.
    pub engine: EngineIncarnation,
    /// Service that it runs on.
    pub service: ServiceName,
    /// Shared prefix of its prompt.
    pub prefix: Option<PrefixId>,
}

impl Request for OpenSession {
    type Reply = EngineReply<SessionRecord>;
    const METHOD: Method = Method::OpenSession;
}

/// Asks an engine to take a session whose owner is gone. The gateway has seen to the old lease's expiry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeSession {
    /// Which session.
    pub key: SessionKey,
    /// The run of the engine that is meant.
    pub engine: EngineIncarnation,
    /// Epoch that the gateway has seen.
    pub expected_epoch: SessionEpoch,
}

impl Request for TakeSession {
    type Reply = EngineReply<SessionRecord>;
    const METHOD: Method = Method::TakeSession;
}

/// Runs a turn and follows its stream. A resend of the same turn attaches to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunTurn {
    /// Where the gateway believes that the session is.
    pub place: SessionPlace,
    /// The turn.
    pub turn: TurnId,
    /// The turn that it follows.
    pub after: Option<TurnId>,
    /// The new input.
    pub input: String,
    /// Tokens that it may stream.
    pub max_tokens: TokenCount,
    /// For fairness.
    pub tenant: TenantId,
    /// For windows.
    pub group: Option<WindowGroup>,
    /// Whether it may use the urgent reserve.
    pub urgent: bool,
    /// Time left until its deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Place of the last event that the caller already has; 0 for none.
    pub last_seen: EventSeq,
}

impl StreamRequest for RunTurn {
    type Item = TurnItem;
    const METHOD: Method = Method::RunTurn;
}

/// An item of a turn's stream. The last one is a `TurnEnded` event or a refusal; a stream that ends
/// otherwise was cut and is resumable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TurnItem {
    /// The turn is committed; first item of a stream that is not refused.
    Accepted {
        /// The turn as recorded.
        turn: TurnRecord,
        /// The engine's load.
        load: EngineLoad,
    },
    /// A committed event of the turn.
    Event(Event),
    /// Refused.
    Refused {
        /// Why.
        refusal: EngineRefusal,
        /// The engine's load.
        load: EngineLoad,
    },
}

/// Joins a session: one `Sync`, then the common stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Join {
    /// Where the gateway believes that the session is.
    pub place: SessionPlace,
    /// Place of the last event that the client already has; `None` asks for a full sync.
    pub last_seen: Option<EventSeq>,
}

impl StreamRequest for Join {
    type Item = JoinItem;
    const METHOD: Method = Method::Join;
}

/// An item of a session's common stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JoinItem {
    /// The whole history up to here; first item unless `last_seen` was given.
    Sync {
        /// The session as recorded.
        record: Box<SessionRecord>,
        /// All its events so far, in order.
        history: Vec<Event>,
    },
    /// The next event.
    Event(Event),
    /// Refused, or the session left this engine: look its owner up again.
    Refused(EngineRefusal),
}

/// Aborts the open turn.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AbortTurn {
    /// Where the gateway believes that the session is.
    pub place: SessionPlace,
    /// The turn.
    pub turn: TurnId,
}

impl Request for AbortTurn {
    type Reply = EngineReply<TurnRecord>;
    const METHOD: Method = Method::AbortTurn;
}

/// Tells the loop the result of a tool call. The same call id again changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToolResult {
    /// Where the gateway believes that the session is.
    pub place: SessionPlace,
    /// The call, as the program named it.
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
    /// Where the gateway believes that the session is.
    pub place: SessionPlace,
    /// When the caller stops waiting.
    pub deadline: UnixMillis,
}

impl Request for CloseSession {
    type Reply = EngineReply<SessionRecord>;
    const METHOD: Method = Method::CloseSession;
}
