//! Error responses: `application/problem+json` with a stable code (docs/API.md).

use std::time::Duration;

use axum::response::{IntoResponse, Response};
use http::{HeaderValue, StatusCode, header};
use rand::RngExt;
use serde::Serialize;

/// Maximum jitter, as a fraction of the retry delay.
const RETRY_SPREAD: f64 = 0.5;

/// A stable error code.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs, reason = "each code is explained in docs/API.md")]
pub enum Code {
    BadJson,
    BadField,
    UnknownField,
    BadId,
    BodyTooLarge,
    BadContentType,
    Unauthorized,
    NoProgram,
    NoSession,
    NoTurn,
    NoCall,
    NoRoute,
    ProgramDiffers,
    SessionDiffers,
    TurnDiffers,
    CallDiffers,
    CallRepeatable,
    CallSealed,
    NotHead,
    TurnOpen,
    SessionClosed,
    NoSuchTurn,
    BudgetSpent,
    ProgramEnded,
    BudgetReserved,
    TenantLimited,
    Overloaded,
    TryAgain,
    DeadlineExceeded,
    CallUnknown,
    CallRefused,
}

impl Code {
    /// Returns the HTTP status of the code.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadJson | Self::BadField | Self::UnknownField | Self::BadId => {
                StatusCode::BAD_REQUEST
            }
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BadContentType => StatusCode::UNSUPPORTED_MEDIA_TYPE,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::NoProgram | Self::NoSession | Self::NoTurn | Self::NoCall | Self::NoRoute => {
                StatusCode::NOT_FOUND
            }
            Self::ProgramDiffers
            | Self::SessionDiffers
            | Self::TurnDiffers
            | Self::CallDiffers
            | Self::CallRepeatable
            | Self::CallSealed
            | Self::NotHead
            | Self::TurnOpen
            | Self::SessionClosed
            | Self::NoSuchTurn => StatusCode::CONFLICT,
            Self::BudgetSpent | Self::ProgramEnded => StatusCode::FORBIDDEN,
            Self::BudgetReserved | Self::TenantLimited => StatusCode::TOO_MANY_REQUESTS,
            Self::Overloaded | Self::TryAgain => StatusCode::SERVICE_UNAVAILABLE,
            Self::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            Self::CallUnknown | Self::CallRefused => StatusCode::BAD_GATEWAY,
        }
    }

    fn title(self) -> &'static str {
        match self {
            Self::BadJson => "the body is not a JSON object",
            Self::BadField => "a field has a value that is not allowed",
            Self::UnknownField => "a field is not known",
            Self::BadId => "an identifier is not valid",
            Self::BodyTooLarge => "the body is too large",
            Self::BadContentType => "the body must be application/json",
            Self::Unauthorized => "tenant or key is not accepted",
            Self::NoProgram => "no such program",
            Self::NoSession => "no such session",
            Self::NoTurn => "no such turn",
            Self::NoCall => "no such call",
            Self::NoRoute => "no route serves this",
            Self::ProgramDiffers => "the program exists with other values",
            Self::SessionDiffers => "the session exists with other values",
            Self::TurnDiffers => "the turn exists with other content",
            Self::CallDiffers => "the call exists with other content",
            Self::CallRepeatable => "a call that may be repeated is not recorded",
            Self::CallSealed => "the call was sealed",
            Self::NotHead => "the turn does not follow the head",
            Self::TurnOpen => "another turn is open",
            Self::SessionClosed => "the session is closed",
            Self::NoSuchTurn => "the earlier turn is not known",
            Self::BudgetSpent => "the token budget is spent",
            Self::ProgramEnded => "the program's end time has passed",
            Self::BudgetReserved => "other turns hold what is left of the token budget",
            Self::TenantLimited => "the tenant's limit is reached",
            Self::Overloaded => "too much work is waiting",
            Self::TryAgain => "cannot be answered now",
            Self::DeadlineExceeded => "the deadline has passed",
            Self::CallUnknown => "the call may have run",
            Self::CallRefused => "no application engine took the call",
        }
    }
}

/// What an error states about the requested work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkOutcome {
    /// The work is sealed: it did not run and never will.
    NotRun,
    /// The work may have run.
    Unknown,
    /// No statement; the same request may be sent again to any gateway.
    TryAgain,
}

/// An error response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Stable error code.
    pub code: Code,
    /// Request field that caused the error.
    pub field: Option<String>,
    /// Statement about the requested work.
    pub outcome: Option<WorkOutcome>,
    /// Human-readable explanation.
    pub detail: String,
    /// Delay after which to retry.
    pub retry_after: Option<Duration>,
}

/// JSON representation of a [`Problem`].
#[derive(Debug, Serialize)]
struct ProblemBody<'a> {
    r#type: &'static str,
    title: &'static str,
    status: u16,
    code: Code,
    #[serde(skip_serializing_if = "Option::is_none")]
    field: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    outcome: Option<WorkOutcome>,
    detail: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Problem {
    /// Creates an error with a code and an explanation.
    #[must_use]
    pub fn new(code: Code, detail: impl Into<String>) -> Self {
        Self { code, field: None, outcome: None, detail: detail.into(), retry_after: None }
    }

    /// Creates an error about one request field.
    #[must_use]
    pub fn field(code: Code, field: impl Into<String>, detail: impl Into<String>) -> Self {
        Self { field: Some(field.into()), ..Self::new(code, detail) }
    }

    /// Creates a `503 try_again` error, which states nothing about the work.
    #[must_use]
    pub fn try_again(detail: impl Into<String>, after: Duration) -> Self {
        Self::retryable(Code::TryAgain, detail, after)
    }

    /// Creates an error that states nothing about the work, which may be requested again after a
    /// delay. The delay is at least `after` and at most half as long again, so that callers do not
    /// all retry at once.
    #[must_use]
    pub fn retryable(code: Code, detail: impl Into<String>, after: Duration) -> Self {
        let after = after + after.mul_f64(rand::rng().random_range(0.0..=RETRY_SPREAD));
        Self {
            outcome: Some(WorkOutcome::TryAgain),
            retry_after: Some(after),
            ..Self::new(code, detail)
        }
    }

    /// Creates an error about work that may have run.
    #[must_use]
    pub fn unknown(code: Code, detail: impl Into<String>) -> Self {
        Self { outcome: Some(WorkOutcome::Unknown), ..Self::new(code, detail) }
    }

    /// Creates an error about sealed work.
    #[must_use]
    pub fn not_run(code: Code, detail: impl Into<String>) -> Self {
        Self { outcome: Some(WorkOutcome::NotRun), ..Self::new(code, detail) }
    }

    /// Returns the JSON body.
    #[must_use]
    pub fn to_json(&self) -> Vec<u8> {
        let body = ProblemBody {
            r#type: "about:blank",
            title: self.code.title(),
            status: self.code.status().as_u16(),
            code: self.code,
            field: self.field.as_deref(),
            outcome: self.outcome,
            detail: &self.detail,
            retry_after_ms: self
                .retry_after
                .map(|d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX)),
        };
        // Serializing plain text fields into a growing buffer cannot fail.
        serde_json::to_vec(&body).unwrap_or_default()
    }
}

impl IntoResponse for Problem {
    fn into_response(self) -> Response {
        let json = HeaderValue::from_static("application/problem+json");
        let mut response =
            (self.code.status(), [(header::CONTENT_TYPE, json)], self.to_json()).into_response();
        if let Some(after) = self.retry_after {
            // The header is in seconds; rounding down would make callers retry too early.
            let seconds = after.as_millis().div_ceil(1000).max(1);
            if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}
