//! Judges an answer: whether it is the expected engine's own, to this request, and whole. Pure.

use bytes::Bytes;
use http::{HeaderMap, StatusCode, header};
use serde::de::IgnoredAny;

/// Longest answer that is read, in bytes (ours).
pub const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Request id, echoed by the answer.
pub const REQUEST_HEADER: &str = "x-hooklug-request";
/// Identity that a request means.
pub const EXPECT_HEADER: &str = "x-hooklug-expect";
/// Identity that answers.
pub const ENGINE_HEADER: &str = "x-hooklug-engine";
/// Time left, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-hooklug-deadline-ms";
/// The explicit refusal.
pub const REFUSED_HEADER: &str = "x-hooklug-refused";
/// The call, the same for every dispatch.
pub const CALL_HEADER: &str = "x-hooklug-call";
/// The attempt.
pub const ATTEMPT_HEADER: &str = "x-hooklug-attempt";

/// An application's own, whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Its status: 2xx or 4xx.
    pub status: u16,
    /// Its JSON body; may be empty.
    pub body: Bytes,
}

/// Why an engine says that it did not run a request and will not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It takes no new work.
    Draining,
    /// It has too much work.
    Overloaded,
    /// The address belongs to another engine now.
    Identity,
}

/// Why an answer is none; leaves open whether the request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum InvalidAnswer {
    /// The request id is missing or another one.
    #[error("the request id is not echoed")]
    WrongRequest,
    /// The engine's identity is missing or another one.
    #[error("another engine answers")]
    WrongEngine,
    /// There is no single `content-length`.
    #[error("the length is not declared")]
    NoLength,
    /// The body is longer than allowed.
    #[error("the body is too long")]
    TooLong,
    /// The body is not as long as declared.
    #[error("the body has another length than declared")]
    WrongLength,
    /// The body is not JSON.
    #[error("the body is not JSON")]
    NotJson,
    /// The status is none of an answer's.
    #[error("status {0} is no answer")]
    Status(u16),
    /// The refusal is not one of the contract's.
    #[error("the refusal is not one of the contract's")]
    UnknownRefusal,
}

/// What a head of an answer amounts to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Head {
    /// An answer, if its body is whole: of so many bytes.
    Answer {
        /// The declared length.
        length: usize,
    },
    /// An explicit, identified refusal.
    Refused(Refusal),
}

fn single<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let first = values.next()?;
    if values.next().is_some() {
        return None;
    }
    first.to_str().ok()
}

/// Judges an answer's head.
///
/// # Errors
/// [`InvalidAnswer`].
pub fn judge_head(
    status: StatusCode,
    headers: &HeaderMap,
    request_id: &str,
    identity: &str,
) -> Result<Head, InvalidAnswer> {
    if single(headers, REQUEST_HEADER) != Some(request_id) {
        return Err(InvalidAnswer::WrongRequest);
    }
    let own = single(headers, ENGINE_HEADER) == Some(identity);
    if headers.contains_key(REFUSED_HEADER) {
        return refusal(status, single(headers, REFUSED_HEADER), own).map(Head::Refused);
    }
    if !own {
        return Err(InvalidAnswer::WrongEngine);
    }
    if !status.is_success() && !status.is_client_error() {
        return Err(InvalidAnswer::Status(status.as_u16()));
    }
    let length = single(headers, header::CONTENT_LENGTH.as_str());
    let length =
        length.and_then(|text| text.parse::<usize>().ok()).ok_or(InvalidAnswer::NoLength)?;
    if length > MAX_ANSWER_BYTES {
        return Err(InvalidAnswer::TooLong);
    }
    Ok(Head::Answer { length })
}

/// An engine that is not the one meant may refuse by identity only.
fn refusal(status: StatusCode, named: Option<&str>, own: bool) -> Result<Refusal, InvalidAnswer> {
    let refusal = match named {
        Some("draining") => Refusal::Draining,
        Some("overloaded") => Refusal::Overloaded,
        Some("identity") => Refusal::Identity,
        _ => return Err(InvalidAnswer::UnknownRefusal),
    };
    if !own && refusal != Refusal::Identity {
        return Err(InvalidAnswer::WrongEngine);
    }
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::CONFLICT => Ok(refusal),
        other => Err(InvalidAnswer::Status(other.as_u16())),
    }
}

/// Judges the body that followed the head.
///
/// # Errors
/// [`InvalidAnswer`].
pub fn judge_body(status: StatusCode, length: usize, body: Bytes) -> Result<Answer, InvalidAnswer> {
    if body.len() != length {
        return Err(InvalidAnswer::WrongLength);
    }
    if !body.is_empty() && serde_json::from_slice::<IgnoredAny>(&body).is_err() {
        return Err(InvalidAnswer::NotJson);
    }
    Ok(Answer { status: status.as_u16(), body })
}
