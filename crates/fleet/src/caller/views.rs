//! Response bodies of the gateways' API.

use serde::Deserialize;
use serde_json::Value;

/// State and token accounting of a program.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ProgramView {
    /// Token budget of the program.
    pub token_budget: u64,
    /// Tokens streamed by turns that have ended.
    pub spent: u64,
    /// Tokens reserved by open turns.
    pub reserved: u64,
    /// End time of the program, in Unix milliseconds.
    pub end_time_ms: u64,
}

/// State of a session.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct SessionView {
    /// Engine that owns the session.
    pub owner: Option<String>,
    /// Ownership epoch.
    pub epoch: u64,
    /// Last turn that has ended.
    pub head: Option<String>,
    /// Turn that is open.
    pub open_turn: Option<String>,
    /// Sequence number of the next event.
    pub next_seq: u64,
    /// Whether the session is closed.
    pub closed: bool,
    /// Service that hosts the session.
    pub service: String,
    /// Version of its last owner.
    pub version: String,
}

/// State of a turn.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct TurnView {
    /// `open`, `refused`, or the type of the terminal event.
    pub state: String,
    /// Tokens in its committed events.
    pub tokens: u64,
    /// Sequence number of its first event.
    pub started: u64,
    /// Sequence number of its last event, once it has ended.
    pub last_seq: Option<u64>,
}

/// State of a call.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct CallView {
    /// `running`, `answered`, `unknown` or `not_run`.
    pub state: String,
    /// HTTP status of the application's response.
    #[serde(default)]
    pub status: Option<u16>,
    /// Body of the application's response.
    #[serde(default)]
    pub body: Option<Value>,
}

/// Position of a committed tool result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct ToolResultPosition {
    /// Sequence number in the session's stream.
    pub seq: u64,
}

/// The application's response to a call.
#[derive(Debug, Clone, PartialEq)]
pub struct CallAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Value,
}
