//! How turns and calls end.
//!
//! These types travel in postcard frames, so they carry no serde tags; the HTTP layer shapes its own JSON.

use serde::{Deserialize, Serialize};

/// Why a turn is over. Every stream of a turn ends with exactly one of these.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// The model's answer is whole.
    Finished,
    /// The answer was cut short; what was committed stands.
    Interrupted,
    /// A caller aborted the turn.
    Aborted,
    /// The model server refused or failed.
    Failed {
        /// What failed.
        code: FailureCode,
    },
}

/// Standard causes of a failed turn or call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureCode {
    /// The back end refused the work without running it.
    Refused,
    /// The back end answered with an error.
    BackendError,
    /// The back end could not be reached before any byte was written.
    Unreachable,
    /// The answer was not the expected back end's own, or not whole.
    InvalidAnswer,
    /// The deadline passed.
    DeadlineExceeded,
    /// The token budget was reached within this turn.
    BudgetSpent,
    /// The program's end time passed.
    ProgramEnded,
}

/// How a call that may not be repeated ended, as its shard recorded it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// The back end answered; the answer is whole and its own.
    Answered {
        /// HTTP status of the answer.
        status: u16,
        /// Body of the answer.
        body: Vec<u8>,
    },
    /// It may or may not have run; only the back end's look-up can tell.
    Unknown,
    /// It did not run and never will: sealed before any dispatch.
    NotRun,
}
