//! A request as the dialect hands it over.

use std::time::Duration;

use bytes::Bytes;
use hooklug_types::{ProgramId, SessionId, TokenCount, TurnId};
use http::{HeaderMap, Method, Uri};
use tokio::time::Instant;

/// A caller's request, read whole.
#[derive(Debug, Clone)]
pub struct IngressRequest {
    /// Its id; each attempt of a caller has one of its own.
    pub id: String,
    /// Its method.
    pub method: Method,
    /// Path and query, unchanged.
    pub uri: Uri,
    /// Host that it is for.
    pub host: String,
    /// Headers that go on to the back end.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// When its last byte was read.
    pub received: Instant,
    /// How long its caller waits; `None` when it does not say.
    pub patience: Option<Duration>,
    /// For turns of agent programs.
    pub turn: Option<TurnRequest>,
    /// Parts of its prompt, shared ones first.
    pub prompt: Vec<PromptPart>,
}

/// What a turn says beside its input.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TurnRequest {
    /// Its program.
    pub program: ProgramId,
    /// Its session.
    pub session: SessionId,
    /// The turn itself.
    pub turn: TurnId,
    /// The turn that it goes on from.
    pub after: Option<TurnId>,
    /// Tokens that all turns of the program may generate.
    pub token_budget: Option<TokenCount>,
    /// The most that this turn generates.
    pub max_tokens: TokenCount,
}

/// A part of a prompt. Parts are shared among requests; engines may hold them in their cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Its id.
    pub id: String,
    /// Its length in tokens.
    pub tokens: u32,
}
