//! What a session's loop is told.

use std::time::{Duration, Instant};

use hooklug_state::shard::{SessionRecord, ShardReply, TurnRecord};
use hooklug_types::{Digest, EventSeq, FailureCode, TenantId, TokenCount, TurnId, WindowGroup};

macro_rules! loop_ids {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u64);
    )*};
}

loop_ids! {
    /// A connected client; chosen by the caller of the loop, never used twice.
    ClientId,
    /// Somebody who waits for one answer; chosen by the caller of the loop, never used twice.
    ReplyId,
    /// One commit; chosen by the loop.
    CommitId,
    /// One run of the model; chosen by the loop.
    GenerationId,
    /// One wish for a slot; chosen by the loop.
    SlotTicket,
    /// One look-up of a turn's record; chosen by the loop.
    LookUpId,
}

/// A turn as its caller asks for it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TurnRequest {
    /// The turn.
    pub turn: TurnId,
    /// The turn that it follows.
    pub after: Option<TurnId>,
    /// The new input.
    pub input: String,
    /// Tokens that it may stream.
    pub max_tokens: TokenCount,
    /// Digest of its content, to tell a resend from another turn.
    pub digest: Digest,
    /// For fairness between tenants.
    pub tenant: TenantId,
    /// For windows.
    pub group: Option<WindowGroup>,
    /// Whether it may use the urgent reserve.
    pub urgent: bool,
    /// When it has to be over.
    pub deadline: Instant,
}

/// What the model server said in one generation.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ModelEvent {
    /// Text.
    Text {
        /// The text.
        text: String,
        /// Tokens in it.
        tokens: TokenCount,
    },
    /// A wish for a tool call.
    Tool {
        /// Name of the tool.
        tool: String,
        /// Its arguments, as JSON text.
        arguments: String,
    },
    /// The answer is whole.
    End(ModelEnd),
    /// The generation failed before any output, in a way that is known.
    Failed(FailureCode),
    /// The answer was cut short, crossed or garbled; what came before it is sound.
    Cut,
}

/// How a model server ended a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ModelEnd {
    /// The model was done.
    Stop,
    /// The token limit was reached.
    Length,
    /// The model failed.
    Error,
}

/// Why a turn got no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SlotRefusal {
    /// The queue is full or the turn can no longer end in time.
    Overloaded {
        /// When to come back.
        retry_after: Duration,
    },
    /// The deadline passed while it waited.
    DeadlineExceeded,
}

/// A message to a session's loop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// A client joins the common stream.
    Join {
        /// The client.
        client: ClientId,
        /// Place of the last event that it has; `None` asks for a full sync.
        last_seen: Option<EventSeq>,
    },
    /// A client has gone, or was cut because it is too slow.
    Leave {
        /// The client.
        client: ClientId,
    },
    /// A client asks for a turn, or again for one that exists, and follows its stream.
    RunTurn {
        /// The client.
        client: ClientId,
        /// The turn.
        request: TurnRequest,
        /// Place of the last event that it has; 0 for none.
        last_seen: EventSeq,
    },
    /// The turn's record, from a linearizable read; asked for by `LookUpTurn`.
    TurnLookedUp {
        /// Which look-up.
        look_up: LookUpId,
        /// The record; `None` when there is none (any more).
        record: Option<TurnRecord>,
    },
    /// The record could not be read.
    LookUpFailed {
        /// Which look-up.
        look_up: LookUpId,
    },
    /// A slot is free for the waiting turn.
    SlotGranted {
        /// The wish.
        ticket: SlotTicket,
    },
    /// The waiting turn gets no slot.
    SlotRefused {
        /// The wish.
        ticket: SlotTicket,
        /// Why.
        refusal: SlotRefusal,
    },
    /// The result of a tool call.
    ToolResult {
        /// Who waits.
        reply: ReplyId,
        /// The call, as the program named it.
        call: String,
        /// The result, as JSON text.
        result: String,
    },
    /// Aborts a turn.
    Abort {
        /// Who waits.
        reply: ReplyId,
        /// The turn.
        turn: TurnId,
    },
    /// Closes the session, after aborting its open turn.
    Close {
        /// Who waits.
        reply: ReplyId,
    },
    /// Gives the session up at the end of the open turn.
    HandOver,
    /// Ends the open turn as interrupted, now.
    Interrupt,
    /// The model server said something.
    Model {
        /// In which generation.
        generation: GenerationId,
        /// What.
        event: ModelEvent,
    },
    /// The shard answered a commit.
    Committed {
        /// Which.
        commit: CommitId,
        /// The answer.
        reply: ShardReply,
    },
    /// A commit's answer was lost; it may have been applied.
    CommitUncertain {
        /// Which.
        commit: CommitId,
    },
    /// The shard's record shows another owner or epoch.
    OwnerChanged {
        /// The record.
        record: Box<SessionRecord>,
    },
    /// The engine's lease has run out.
    LeaseLost,
    /// Time has passed; see [`Session::next_wake`](crate::Session::next_wake).
    Tick,
}
