//! Answers of the callers' API.

use serde::Deserialize;
use serde_json::Value;

/// A program and its ledger.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ProgramView {
    /// Tokens that it may stream in all.
    pub token_budget: u64,
    /// Tokens streamed by ended turns.
    pub spent: u64,
    /// Tokens held by open turns.
    pub reserved: u64,
    /// When it has to be over.
    pub end_time_ms: u64,
}

/// A session.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct SessionView {
    /// The engine that owns it.
    pub owner: Option<String>,
    /// Epoch of the ownership.
    pub epoch: u64,
    /// The last ended turn.
    pub head: Option<String>,
    /// The open turn.
    pub open_turn: Option<String>,
    /// Place of the next event.
    pub next_seq: u64,
    /// Whether it is closed.
    pub closed: bool,
    /// Service that it runs on.
    pub service: String,
    /// Version of its last owner.
    pub version: String,
}

/// A turn.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct TurnView {
    /// `open`, `refused`, or how it ended.
    pub state: String,
    /// Tokens of its committed events.
    pub tokens: u64,
    /// Place of its first event.
    pub started: u64,
    /// Place of its last event, once it has ended.
    pub last_seq: Option<u64>,
}

/// A call.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct CallView {
    /// `running`, `answered`, `unknown` or `not_run`.
    pub state: String,
    /// The application's status.
    #[serde(default)]
    pub status: Option<u16>,
    /// The application's body.
    #[serde(default)]
    pub body: Option<Value>,
}

/// Place of a committed tool result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Placed {
    /// Its place in the session's stream.
    pub seq: u64,
}

/// The application's own answer to a call.
#[derive(Debug, Clone, PartialEq)]
pub struct CallAnswer {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: Value,
}
