//! What a session's loop wants done.

use std::time::{Duration, Instant};

use hooklug_state::shard::{Event, SessionRecord, ShardCommand, ShardRefusal, TurnRecord};
use hooklug_types::{EventSeq, PrefixId, SessionKey, TenantId, TokenCount, TurnId, WindowGroup};

use crate::message::{ClientId, CommitId, GenerationId, LookUpId, ReplyId, SlotTicket};

/// Something to be done outside the loop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Have a command applied by the session's shard; answer with `Committed` or `CommitUncertain`.
    Commit {
        /// Which commit; the same again when its answer was lost.
        commit: CommitId,
        /// The command.
        command: ShardCommand,
    },
    /// Ask admission for a slot; answer with `SlotGranted` or `SlotRefused`.
    RequestSlot {
        /// The wish.
        ticket: SlotTicket,
        /// For whom.
        request: SlotRequest,
    },
    /// Give a slot, or the wish for one, back.
    ReleaseSlot {
        /// The wish.
        ticket: SlotTicket,
    },
    /// Start a generation; its output comes back as `Model` messages.
    StartGeneration {
        /// Which.
        generation: GenerationId,
        /// What to ask the model server.
        request: Box<GenerationRequest>,
    },
    /// Stop a generation.
    StopGeneration {
        /// Which.
        generation: GenerationId,
    },
    /// Read a turn's record from the shard; answer with `TurnLookedUp` or `LookUpFailed`.
    LookUpTurn {
        /// Which look-up.
        look_up: LookUpId,
        /// The turn.
        turn: TurnId,
    },
    /// Send something to a client. When its buffer is full, cut it and tell the loop with `Leave`.
    Send {
        /// The client.
        client: ClientId,
        /// What.
        item: ClientItem,
    },
    /// The client's stream is over.
    EndClient {
        /// The client.
        client: ClientId,
    },
    /// Answer somebody who waits.
    Reply {
        /// Who.
        reply: ReplyId,
        /// The answer.
        answer: Result<Answer, SessionRefusal>,
    },
    /// The loop is over; nothing follows but refusals.
    Ended(Ending),
}

/// A wish for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotRequest {
    /// For fairness.
    pub tenant: TenantId,
    /// For windows.
    pub group: Option<WindowGroup>,
    /// Whether it may use the urgent reserve.
    pub urgent: bool,
    /// When the turn has to be over.
    pub deadline: Instant,
}

/// What the model server is asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GenerationRequest {
    /// Which session; key of the model server's cache.
    pub key: SessionKey,
    /// The turn.
    pub turn: TurnId,
    /// Shared prefix of the session's prompt.
    pub prefix: Option<PrefixId>,
    /// The whole history before the turn.
    pub history: Vec<Event>,
    /// The new input.
    pub input: String,
    /// Tokens reserved for the turn.
    pub max_tokens: TokenCount,
    /// When the turn has to be over.
    pub deadline: Instant,
}

/// An item of a client's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientItem {
    /// The whole history so far.
    Sync {
        /// The session.
        record: Box<SessionRecord>,
        /// Its events.
        history: Vec<Event>,
    },
    /// The turn that the client follows.
    Accepted(TurnRecord),
    /// Committed events, in order.
    Events(Vec<Event>),
    /// Nothing (more) comes from here.
    Refused(SessionRefusal),
}

/// The answer to a request that has one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The turn, as recorded.
    Turn(TurnRecord),
    /// Place of the tool result in the stream.
    ToolResult(EventSeq),
    /// The closed session.
    Closed(Box<SessionRecord>),
}

/// Why the loop does not do what was asked.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SessionRefusal {
    /// The shard refused.
    #[error("{0}")]
    Ledger(ShardRefusal),
    /// Another engine owns the session.
    #[error("not the owner")]
    NotOwner {
        /// The record that shows it, if known.
        record: Option<Box<SessionRecord>>,
    },
    /// The engine's lease has run out.
    #[error("the lease has run out")]
    LeaseLost,
    /// The session is being given up or closed.
    #[error("session is being given up")]
    HandedOver,
    /// No slot.
    #[error("overloaded")]
    Overloaded {
        /// When to come back.
        retry_after: Duration,
    },
    /// The deadline passed before the turn began.
    #[error("deadline exceeded")]
    DeadlineExceeded,
    /// The loop does not know the turn; only the shard can tell.
    #[error("the loop does not know the turn")]
    UnknownTurn,
    /// The shard could not be asked, or its answer does not fit the loop's copy; try again.
    #[error("try again")]
    TryAgain,
}

/// Why a loop is over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// The session is closed.
    Closed,
    /// The session was given up between turns.
    HandedOver,
    /// Another engine owns the session.
    NotOwner(Option<Box<SessionRecord>>),
    /// The lease has run out.
    LeaseLost,
    /// The shard's answer does not fit the loop's copy, which has to be loaded anew.
    OutOfStep,
}

impl Ending {
    /// What clients and waiting callers are told.
    #[must_use]
    pub fn refusal(&self) -> SessionRefusal {
        match self {
            Self::Closed => SessionRefusal::Ledger(ShardRefusal::SessionClosed),
            Self::HandedOver => SessionRefusal::HandedOver,
            Self::NotOwner(record) => SessionRefusal::NotOwner { record: record.clone() },
            Self::LeaseLost => SessionRefusal::LeaseLost,
            Self::OutOfStep => SessionRefusal::TryAgain,
        }
    }
}
