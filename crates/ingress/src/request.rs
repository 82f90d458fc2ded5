//! A caller's request in the form that the dialect produces.

use std::time::Duration;

use bytes::Bytes;
use hooklug_types::{ProgramId, SessionId, TokenCount, TurnId};
use http::{HeaderMap, Method, Uri};
use tokio::time::Instant;

/// A caller's request, completely read.
#[derive(Debug, Clone)]
pub struct IngressRequest {
    /// Id of the request; each attempt of a caller has its own.
    pub id: String,
    /// HTTP method of the request.
    pub method: Method,
    /// Path and query, unchanged.
    pub uri: Uri,
    /// Host that the request is addressed to.
    pub host: String,
    /// Headers to forward to the backend.
    pub headers: HeaderMap,
    /// Body of the request.
    pub body: Bytes,
    /// When the last byte was read.
    pub received: Instant,
    /// How long the caller waits; `None` if it set no limit.
    pub caller_timeout: Option<Duration>,
    /// Parameters of the turn, if the request is a turn of an agent program.
    pub turn: Option<TurnRequest>,
    /// Parts of the prompt, shared ones first.
    pub prompt: Vec<PromptPart>,
}

/// Parameters of a turn in addition to its input.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TurnRequest {
    /// Program that the turn belongs to.
    pub program: ProgramId,
    /// Session that the turn belongs to.
    pub session: SessionId,
    /// Id of the turn.
    pub turn: TurnId,
    /// The previous turn, whose history this turn continues.
    pub after: Option<TurnId>,
    /// Maximum number of tokens that all turns of the program may generate.
    pub token_budget: Option<TokenCount>,
    /// Maximum number of tokens that this turn generates.
    pub max_tokens: TokenCount,
}

/// A part of a prompt. Requests may share parts, and engines may have them cached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part's content.
    pub id: String,
    /// Length in tokens.
    pub tokens: u32,
}
