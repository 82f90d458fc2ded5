//! Events of a session. Each session has one stream; a turn's stream is the subset of events that
//! carry its id.

use hooklug_types::{EndReason, EventSeq, TokenCount, TurnId};
use serde::{Deserialize, Serialize};

/// A committed event. Events are released to clients only after their commit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Sequence number in the session's stream; starts at 1 and has no gaps.
    pub seq: EventSeq,
    /// The turn that the event belongs to; `None` for events between turns.
    pub turn: Option<TurnId>,
    /// Content of the event.
    pub body: EventBody,
}

/// Content of an event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EventBody {
    /// A turn started. Written by `BeginTurn`.
    TurnStarted {
        /// The preceding turn; `None` for the first.
        after: Option<TurnId>,
        /// Input of the turn.
        input: String,
    },
    /// The model generated text.
    Tokens {
        /// The text.
        text: String,
        /// Number of tokens in the text, which is charged to the budget.
        count: TokenCount,
    },
    /// The model requests a tool call from the program.
    ToolRequested {
        /// Name of the tool.
        tool: String,
        /// Its arguments, as JSON text.
        arguments: String,
    },
    /// The program delivered the result of a tool call.
    ToolResult {
        /// The call id, chosen by the program.
        call: String,
        /// The result, as JSON text.
        result: String,
    },
    /// The turn ended. Written by `FinishTurn`, or by `TakeSession` when it seals an open turn.
    TurnEnded {
        /// The reason why the turn ended.
        reason: EndReason,
        /// Number of tokens in the turn's committed events.
        tokens: TokenCount,
    },
    /// The session was closed. This is its last event.
    Closed,
}
