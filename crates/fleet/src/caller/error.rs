//! Errors of requests to the gateways.

use serde::Deserialize;

use crate::http::{Answer, HttpError};

/// An `application/problem+json` response.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Problem {
    /// HTTP status.
    pub status: u16,
    /// Stable error code.
    pub code: String,
    /// Outcome of the work: `not_run`, `unknown` or `try_again`.
    #[serde(default)]
    pub outcome: Option<String>,
    /// Field of the request that is invalid.
    #[serde(default)]
    pub field: Option<String>,
    /// Description for people.
    #[serde(default)]
    pub detail: Option<String>,
    /// Delay until a retry makes sense, in milliseconds.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
}

/// Error of a request to a gateway.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallerError {
    /// The gateway responded with a problem.
    #[error(
        "the gateway responded with {} {}: {}",
        .0.status, .0.code, .0.detail.as_deref().unwrap_or("")
    )]
    Problem(Box<Problem>),
    /// No complete response arrived, so the outcome is unknown.
    #[error("{0}")]
    Http(#[from] HttpError),
    /// A response or stream violates the contract in `docs/API.md`.
    #[error("API contract violated: {0}")]
    ContractViolation(String),
}

impl CallerError {
    /// The stable error code of a problem.
    #[must_use]
    pub fn code(&self) -> Option<&str> {
        match self {
            Self::Problem(problem) => Some(&problem.code),
            Self::Http(_) | Self::ContractViolation(_) => None,
        }
    }

    /// Whether the same request may be retried, at this or another gateway.
    #[must_use]
    pub fn is_retryable(&self) -> bool {
        match self {
            Self::Problem(problem) => matches!(problem.status, 429 | 503),
            Self::Http(HttpError::Connection { .. } | HttpError::TimedOut { .. }) => true,
            Self::Http(_) | Self::ContractViolation(_) => false,
        }
    }
}

/// Header that marks a response as the application's own, whatever its status.
const CALL_STATE: &str = "x-hooklug-call-state";

/// Returns the response if it is a success or the application's own, and its problem otherwise.
pub(super) fn into_success(response: Answer) -> Result<Answer, CallerError> {
    let is_application_response =
        response.headers.get(CALL_STATE).is_some_and(|state| state == "answered");
    if response.status.is_success() || is_application_response {
        return Ok(response);
    }
    match serde_json::from_slice::<Problem>(&response.body) {
        Ok(problem) => Err(CallerError::Problem(Box::new(problem))),
        Err(error) => {
            let body = String::from_utf8_lossy(&response.body).into_owned();
            let status = response.status;
            Err(CallerError::ContractViolation(format!(
                "{status} without a problem ({error}): {body}"
            )))
        }
    }
}
