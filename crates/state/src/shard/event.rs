//! Events of a session's stream. One sequence a session; a turn's stream is the part that names it.

use hooklug_types::{EndReason, EventSeq, TokenCount, TurnId};
use serde::{Deserialize, Serialize};

/// One committed event. Released to clients only after its commit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Its place in the session's stream, without gaps, from 1.
    pub seq: EventSeq,
    /// The turn it belongs to; `None` for events between turns.
    pub turn: Option<TurnId>,
    /// What happened.
    pub body: EventBody,
}

/// What an event says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EventBody {
    /// A turn began with this input. Written by `BeginTurn` itself.
    TurnStarted {
        /// The turn that it follows; `None` for the first.
        after: Option<TurnId>,
        /// The new input.
        input: String,
    },
    /// The model produced text.
    Tokens {
        /// The text.
        text: String,
        /// Tokens in it; these settle the budget.
        count: TokenCount,
    },
    /// The model asks the program to make a tool call.
    ToolRequested {
        /// Name of the tool.
        tool: String,
        /// Its arguments, as JSON text.
        arguments: String,
    },
    /// A program told the result of a tool call.
    ToolResult {
        /// The call's id, as the program named it.
        call: String,
        /// The result, as JSON text.
        result: String,
    },
    /// The turn is over. Written by `FinishTurn`, or by `TakeSession` when it seals an open turn.
    TurnEnded {
        /// Why.
        reason: EndReason,
        /// Tokens of the turn's committed events.
        tokens: TokenCount,
    },
    /// The session is closed; nothing follows.
    Closed,
}
