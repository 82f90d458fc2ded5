//! Effects: the actions that a session's loop returns for its driver to carry out.

use std::time::{Duration, Instant};

use hooklug_state::shard::{Event, SessionRecord, ShardCommand, ShardRefusal, TurnRecord};
use hooklug_types::{EventSeq, PrefixId, SessionKey, TenantId, TokenCount, TurnId, WindowGroup};

use crate::message::{ClientId, CommitId, GenerationId, LookupId, ReplyId, SlotRequestId};

/// An action for the driver of the loop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Commit a command in the session's shard; the driver replies with `Committed` or
    /// `CommitUncertain`.
    Commit {
        /// Id of the commit; a resend has the same id.
        commit: CommitId,
        /// The command.
        command: ShardCommand,
    },
    /// Request a slot from admission; the driver replies with `SlotGranted` or `SlotRefused`.
    RequestSlot {
        /// The slot request.
        ticket: SlotRequestId,
        /// Admission parameters of the turn.
        request: SlotRequest,
    },
    /// Release a slot, or cancel a pending slot request.
    ReleaseSlot {
        /// The slot request.
        ticket: SlotRequestId,
    },
    /// Start a generation; the driver delivers its output in `Model` messages.
    StartGeneration {
        /// Id of the generation.
        generation: GenerationId,
        /// The request to the model server.
        request: Box<GenerationRequest>,
    },
    /// Stop a generation.
    StopGeneration {
        /// Id of the generation.
        generation: GenerationId,
    },
    /// Read a turn's record from the shard; the driver replies with `LookupFinished` or
    /// `LookupFailed`.
    LookUpTurn {
        /// Id of the lookup.
        lookup: LookupId,
        /// The turn.
        turn: TurnId,
    },
    /// Send an item to a client. If the client's buffer is full, the driver disconnects the client
    /// and sends `Leave`.
    Send {
        /// The client.
        client: ClientId,
        /// The item.
        item: ClientItem,
    },
    /// End a client's stream.
    EndClient {
        /// The client.
        client: ClientId,
    },
    /// Reply to a waiting request.
    Reply {
        /// Id of the request.
        reply: ReplyId,
        /// The reply.
        answer: Result<Answer, SessionRefusal>,
    },
    /// The loop has ended; afterwards it only refuses messages.
    Ended(ExitReason),
}

/// Admission parameters of a turn that needs a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotRequest {
    /// Tenant, for fair queueing.
    pub tenant: TenantId,
    /// Window group, for reserved slots.
    pub group: Option<WindowGroup>,
    /// Whether the turn may use the slots reserved for urgent turns.
    pub urgent: bool,
    /// Deadline of the turn.
    pub deadline: Instant,
}

/// A request to the model server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GenerationRequest {
    /// The session; also the key of the model server's cache.
    pub key: SessionKey,
    /// The turn.
    pub turn: TurnId,
    /// Shared prompt prefix of the session.
    pub prefix: Option<PrefixId>,
    /// The full history before the turn.
    pub history: Vec<Event>,
    /// Input of the turn.
    pub input: String,
    /// Number of tokens reserved for the turn.
    pub max_tokens: TokenCount,
    /// Deadline of the turn.
    pub deadline: Instant,
}

/// An item of a client's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientItem {
    /// The full history so far.
    Sync {
        /// The session's record.
        record: Box<SessionRecord>,
        /// All events of the session.
        history: Vec<Event>,
    },
    /// The record of the turn that the client is subscribed to.
    Accepted(TurnRecord),
    /// Committed events, in order.
    Events(Vec<Event>),
    /// The request or the subscription was refused; the last item of the stream.
    Refused(SessionRefusal),
}

/// The reply to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The turn, as recorded.
    Turn(TurnRecord),
    /// Sequence number of the tool result in the session's stream.
    ToolResult(EventSeq),
    /// The closed session.
    Closed(Box<SessionRecord>),
}

/// The reason why the loop refused a request.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SessionRefusal {
    /// The shard refused the command.
    #[error("{0}")]
    Shard(ShardRefusal),
    /// Another engine owns the session.
    #[error("this engine does not own the session")]
    NotOwner {
        /// The session's record that names the owner, if known.
        record: Option<Box<SessionRecord>>,
    },
    /// The engine's lease has expired.
    #[error("the engine's lease has expired")]
    LeaseLost,
    /// The session is being handed over or closed.
    #[error("the session is being handed over or closed")]
    HandedOver,
    /// Admission refused a slot.
    #[error("the engine is overloaded")]
    Overloaded {
        /// Delay before a retry.
        retry_after: Duration,
    },
    /// The deadline passed before the turn started.
    #[error("deadline exceeded")]
    DeadlineExceeded,
    /// The turn is not known to the loop; the shard may still have a record of it.
    #[error("the session's engine does not know the turn")]
    UnknownTurn,
    /// The shard was unreachable, or its reply contradicts the loop's copy of the session; the
    /// request may be retried.
    #[error("the session's state could not be determined; retry the request")]
    TryAgain,
}

/// The reason why a loop ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExitReason {
    /// The session was closed.
    Closed,
    /// The session was handed over between turns.
    HandedOver,
    /// Another engine owns the session.
    NotOwner(Option<Box<SessionRecord>>),
    /// The engine's lease has expired.
    LeaseLost,
    /// The shard's reply contradicts the loop's copy of the session, which must be loaded again.
    OutOfSync,
}

impl ExitReason {
    /// Returns the refusal that is sent to clients and waiting requests.
    #[must_use]
    pub fn refusal(&self) -> SessionRefusal {
        match self {
            Self::Closed => SessionRefusal::Shard(ShardRefusal::SessionClosed),
            Self::HandedOver => SessionRefusal::HandedOver,
            Self::NotOwner(record) => SessionRefusal::NotOwner { record: record.clone() },
            Self::LeaseLost => SessionRefusal::LeaseLost,
            Self::OutOfSync => SessionRefusal::TryAgain,
        }
    }
}
