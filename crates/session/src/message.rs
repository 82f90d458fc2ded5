//! Messages to a session's loop.

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
    /// Id of a connected client; chosen by the loop's driver and never reused.
    ClientId,
    /// Id of a request that waits for a reply; chosen by the loop's driver and never reused.
    ReplyId,
    /// Id of a commit; chosen by the loop.
    CommitId,
    /// Id of a generation, that is, one run of the model; chosen by the loop.
    GenerationId,
    /// Id of a slot request; chosen by the loop.
    SlotRequestId,
    /// Id of a lookup of a turn's record; chosen by the loop.
    LookupId,
}

/// A request to run a turn.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TurnRequest {
    /// The turn.
    pub turn: TurnId,
    /// The preceding turn.
    pub after: Option<TurnId>,
    /// Input of the turn.
    pub input: String,
    /// Maximum number of tokens that the turn may stream.
    pub max_tokens: TokenCount,
    /// Digest of the turn's content, to distinguish a resend from a different turn.
    pub digest: Digest,
    /// Tenant, for fair queueing.
    pub tenant: TenantId,
    /// Window group, for reserved slots.
    pub group: Option<WindowGroup>,
    /// Whether the turn may use the slots reserved for urgent turns.
    pub urgent: bool,
    /// Deadline of the turn.
    pub deadline: Instant,
}

/// Output of the model server in a generation.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ModelEvent {
    /// Generated text.
    Text {
        /// The text.
        text: String,
        /// Number of tokens in the text.
        tokens: TokenCount,
    },
    /// A request for a tool call.
    Tool {
        /// Name of the tool.
        tool: String,
        /// Its arguments, as JSON text.
        arguments: String,
    },
    /// The response is complete.
    End(ModelEnd),
    /// The generation failed before any output, for a known reason.
    Failed(FailureCode),
    /// The response was truncated, corrupted, or continued with data of another request; earlier
    /// output is valid.
    Truncated,
}

/// The reason why the model server ended a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ModelEnd {
    /// The model finished.
    Stop,
    /// The token limit was reached.
    Length,
    /// The model reported an error.
    Error,
}

/// The reason why a turn was refused a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SlotRefusal {
    /// The queue is full, or the turn can no longer finish in time.
    Overloaded {
        /// Delay before a retry.
        retry_after: Duration,
    },
    /// The deadline passed while the turn was queued.
    DeadlineExceeded,
}

/// A message to a session's loop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// A client subscribes to all events of the session.
    Join {
        /// The client.
        client: ClientId,
        /// Sequence number of the last event that the client has; `None` requests a full sync.
        last_seen: Option<EventSeq>,
    },
    /// A client has disconnected, or was disconnected because it is too slow.
    Leave {
        /// The client.
        client: ClientId,
    },
    /// A client requests a new or existing turn and subscribes to its events.
    RunTurn {
        /// The client.
        client: ClientId,
        /// The turn.
        request: TurnRequest,
        /// Sequence number of the last event that the client has; 0 for none.
        last_seen: EventSeq,
    },
    /// Result of `LookUpTurn`: the turn's record, from a linearizable read.
    LookupFinished {
        /// Id of the lookup.
        lookup: LookupId,
        /// The record; `None` if the shard has none, or no longer has one.
        record: Option<TurnRecord>,
    },
    /// Result of `LookUpTurn`: the record could not be read.
    LookupFailed {
        /// Id of the lookup.
        lookup: LookupId,
    },
    /// Admission granted a slot to the waiting turn.
    SlotGranted {
        /// The slot request.
        ticket: SlotRequestId,
    },
    /// Admission refused a slot to the waiting turn.
    SlotRefused {
        /// The slot request.
        ticket: SlotRequestId,
        /// The reason.
        refusal: SlotRefusal,
    },
    /// Delivers the result of a tool call.
    ToolResult {
        /// Id of the request, for the reply.
        reply: ReplyId,
        /// The call id, chosen by the program.
        call: String,
        /// The result, as JSON text.
        result: String,
    },
    /// Aborts a turn.
    Abort {
        /// Id of the request, for the reply.
        reply: ReplyId,
        /// The turn.
        turn: TurnId,
    },
    /// Aborts the open turn, if there is one, and closes the session.
    Close {
        /// Id of the request, for the reply.
        reply: ReplyId,
    },
    /// Hands the session over after the open turn has ended.
    HandOver,
    /// Ends the open turn immediately, as interrupted.
    Interrupt,
    /// Output of a generation.
    Model {
        /// Id of the generation.
        generation: GenerationId,
        /// The output.
        event: ModelEvent,
    },
    /// The shard replied to a commit.
    Committed {
        /// Id of the commit.
        commit: CommitId,
        /// The shard's reply.
        reply: ShardReply,
    },
    /// The reply to a commit was lost; the commit may have been applied.
    CommitUncertain {
        /// Id of the commit.
        commit: CommitId,
    },
    /// The shard's record shows another owner or epoch.
    OwnerChanged {
        /// The session's record.
        record: Box<SessionRecord>,
    },
    /// The engine's lease has expired.
    LeaseLost,
    /// Checks deadlines; due at [`Session::next_deadline`](crate::Session::next_deadline).
    Tick,
}
