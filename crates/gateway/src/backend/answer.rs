//! Validates a response: from the expected engine, to this request, and complete. Pure.

use bytes::Bytes;
use http::{HeaderMap, StatusCode, header};
use serde::de::IgnoredAny;

/// Maximum response body size, in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Request id; the response echoes it.
pub const REQUEST_HEADER: &str = "x-hooklug-request";
/// Identity of the engine that the request is addressed to.
pub const EXPECT_HEADER: &str = "x-hooklug-expect";
/// Identity of the engine that responds.
pub const ENGINE_HEADER: &str = "x-hooklug-engine";
/// Time until the deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-hooklug-deadline-ms";
/// Reason of an explicit refusal.
pub const REFUSED_HEADER: &str = "x-hooklug-refused";
/// Call id; the same for every attempt.
pub const CALL_HEADER: &str = "x-hooklug-call";
/// Attempt id.
pub const ATTEMPT_HEADER: &str = "x-hooklug-attempt";

/// A complete response of the application.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status: 2xx or 4xx.
    pub status: u16,
    /// JSON body; may be empty.
    pub body: Bytes,
}

/// Reason of an explicit refusal: the engine did not run the request and will not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The engine is draining and accepts no new work.
    Draining,
    /// The engine is overloaded.
    Overloaded,
    /// The address now belongs to another engine.
    Identity,
}

/// Why a response is invalid. The request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum InvalidAnswer {
    /// The request id is missing or differs.
    #[error("the response does not echo the request id")]
    WrongRequest,
    /// The engine's identity is missing or differs.
    #[error("the response comes from another engine")]
    WrongEngine,
    /// There is no unique `content-length`.
    #[error("the response has no valid content-length")]
    NoLength,
    /// The body exceeds the size limit.
    #[error("the response body is too large")]
    TooLong,
    /// The body length differs from the declared length.
    #[error("the response body differs in length from its content-length")]
    WrongLength,
    /// The body is not JSON.
    #[error("the response body is not JSON")]
    NotJson,
    /// The status is not allowed for a response.
    #[error("unexpected response status {0}")]
    Status(u16),
    /// The refusal reason is not part of the contract.
    #[error("unknown refusal reason in the response")]
    UnknownRefusal,
}

/// A validated response head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseHead {
    /// An application response; valid if its body has the declared length.
    Answer {
        /// Declared body length in bytes.
        length: usize,
    },
    /// An explicit refusal.
    Refused(Refusal),
}

fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let first = values.next()?;
    if values.next().is_some() {
        return None;
    }
    first.to_str().ok()
}

/// Validates the status and headers of a response.
///
/// # Errors
/// [`InvalidAnswer`] with the first violation.
pub fn validate_head(
    status: StatusCode,
    headers: &HeaderMap,
    request_id: &str,
    identity: &str,
) -> Result<ResponseHead, InvalidAnswer> {
    if single_value(headers, REQUEST_HEADER) != Some(request_id) {
        return Err(InvalidAnswer::WrongRequest);
    }
    let is_expected = single_value(headers, ENGINE_HEADER) == Some(identity);
    if headers.contains_key(REFUSED_HEADER) {
        return refusal(status, single_value(headers, REFUSED_HEADER), is_expected)
            .map(ResponseHead::Refused);
    }
    if !is_expected {
        return Err(InvalidAnswer::WrongEngine);
    }
    if !status.is_success() && !status.is_client_error() {
        return Err(InvalidAnswer::Status(status.as_u16()));
    }
    let length = single_value(headers, header::CONTENT_LENGTH.as_str());
    let length =
        length.and_then(|text| text.parse::<usize>().ok()).ok_or(InvalidAnswer::NoLength)?;
    if length > MAX_ANSWER_BYTES {
        return Err(InvalidAnswer::TooLong);
    }
    Ok(ResponseHead::Answer { length })
}

/// Parses a refusal. An engine other than the expected one may refuse by identity only.
fn refusal(
    status: StatusCode,
    reason: Option<&str>,
    is_expected: bool,
) -> Result<Refusal, InvalidAnswer> {
    let refusal = match reason {
        Some("draining") => Refusal::Draining,
        Some("overloaded") => Refusal::Overloaded,
        Some("identity") => Refusal::Identity,
        _ => return Err(InvalidAnswer::UnknownRefusal),
    };
    if !is_expected && refusal != Refusal::Identity {
        return Err(InvalidAnswer::WrongEngine);
    }
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::CONFLICT => Ok(refusal),
        other => Err(InvalidAnswer::Status(other.as_u16())),
    }
}

/// Validates the body of a response.
///
/// # Errors
/// [`InvalidAnswer`] with the first violation.
pub fn validate_body(
    status: StatusCode,
    length: usize,
    body: Bytes,
) -> Result<Answer, InvalidAnswer> {
    if body.len() != length {
        return Err(InvalidAnswer::WrongLength);
    }
    if !body.is_empty() && serde_json::from_slice::<IgnoredAny>(&body).is_err() {
        return Err(InvalidAnswer::NotJson);
    }
    Ok(Answer { status: status.as_u16(), body })
}
