//! What a caller is told when a request does not succeed.

use serde::Deserialize;

use crate::http::{Answer, HttpError};

/// An `application/problem+json` answer.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Problem {
    /// HTTP status.
    pub status: u16,
    /// The stable code.
    pub code: String,
    /// What it claims: `not_run`, `unknown` or `try_again`.
    #[serde(default)]
    pub outcome: Option<String>,
    /// The faulty field.
    #[serde(default)]
    pub field: Option<String>,
    /// In words.
    #[serde(default)]
    pub detail: Option<String>,
    /// When to come back, in milliseconds.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
}

/// Why a caller's request did not succeed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallerError {
    /// A gateway answered with a problem.
    #[error("{} {}: {}", .0.status, .0.code, .0.detail.as_deref().unwrap_or(""))]
    Problem(Box<Problem>),
    /// No whole answer; claims nothing.
    #[error("{0}")]
    Http(#[from] HttpError),
    /// An answer or stream breaks what `docs/API.md` promises.
    #[error("broken promise: {0}")]
    Broken(String),
}

impl CallerError {
    /// The stable code of a problem.
    #[must_use]
    pub fn code(&self) -> Option<&str> {
        match self {
            Self::Problem(problem) => Some(&problem.code),
            Self::Http(_) | Self::Broken(_) => None,
        }
    }

    /// Whether the same request may be sent again at once, here or elsewhere.
    #[must_use]
    pub fn is_passing(&self) -> bool {
        match self {
            Self::Problem(problem) => matches!(problem.status, 429 | 503),
            Self::Http(HttpError::Broken { .. } | HttpError::TimedOut { .. }) => true,
            Self::Http(_) | Self::Broken(_) => false,
        }
    }
}

/// Header by which a gateway says that an answer is the application's own, whatever its status.
const CALL_STATE: &str = "x-hooklug-call-state";

/// The answer itself when it is a success or an application's, else its problem.
pub(super) fn success(answer: Answer) -> Result<Answer, CallerError> {
    let answered = answer.headers.get(CALL_STATE).is_some_and(|state| state == "answered");
    if answer.status.is_success() || answered {
        return Ok(answer);
    }
    match serde_json::from_slice::<Problem>(&answer.body) {
        Ok(problem) => Err(CallerError::Problem(Box::new(problem))),
        Err(error) => {
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            let status = answer.status;
            Err(CallerError::Broken(format!("{status} without a problem ({error}): {body}")))
        }
    }
}
