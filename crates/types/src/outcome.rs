//! Outcomes of turns and tool calls.
//!
//! These types are encoded with postcard, so they have no serde tags; the HTTP layer defines its
//! own JSON.

use serde::{Deserialize, Serialize};

/// The reason why a turn ended. Every turn stream ends with exactly one of these.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// The model's response is complete.
    Finished,
    /// The response was truncated; the events committed so far remain valid.
    Interrupted,
    /// A caller aborted the turn.
    Aborted,
    /// The model server refused or failed.
    Failed {
        /// The cause of the failure.
        code: FailureCode,
    },
}

/// Standard causes of a failed turn or call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureCode {
    /// The backend refused the request without running it.
    Refused,
    /// The backend responded with an error.
    BackendError,
    /// The connection to the backend failed before any byte was written.
    Unreachable,
    /// The response was incomplete or did not come from the expected backend.
    InvalidAnswer,
    /// The deadline passed.
    DeadlineExceeded,
    /// The program's token budget ran out during this turn.
    BudgetSpent,
    /// The program's end time passed.
    ProgramEnded,
}

/// The outcome of a non-repeatable call, as recorded in its shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// The expected backend sent a complete response.
    Answered {
        /// HTTP status of the response.
        status: u16,
        /// Body of the response.
        body: Vec<u8>,
    },
    /// The call may or may not have run; only a lookup at the backend can tell.
    Unknown,
    /// The call was sealed before it was dispatched: it has not run and will not run.
    NotRun,
}
