//! The result of a request: a backend's response or a refusal.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// Result of a request: a backend's response to forward, or a refusal of this gateway.
#[derive(Debug)]
pub enum IngressAnswer {
    /// The backend's response, head and body unchanged.
    Forwarded(Parts, AnswerBody),
    /// The gateway refused or failed the request itself.
    Refused(Refusal),
}

impl From<Refusal> for IngressAnswer {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

/// Why a request gets no backend response. Each variant documents whether the request may have run.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// This gateway has no bundle yet. The request was not and will not be run.
    #[error("this gateway has no configuration yet")]
    NotConfigured {
        /// When the caller should retry.
        retry_after: Duration,
    },
    /// No route matches the host and path.
    #[error("no route matches this host and path")]
    NoRoute,
    /// The route does not accept the request's format. The request was not and will not be run.
    #[error("the request is malformed: {0}")]
    Malformed(String),
    /// No backend has capacity, or the shared state is unavailable. The request was not and will not be
    /// run.
    #[error("not run: {reason}")]
    NotRun {
        /// Why the request was not run.
        reason: &'static str,
        /// When the caller should retry.
        retry_after: Duration,
    },
    /// The program's token budget is spent. The turn was not and will not be run.
    #[error("the token budget is spent")]
    BudgetSpent,
    /// No shard has the previous turn. The turn was not and will not be run.
    #[error("the previous turn is unknown")]
    UnknownTurn,
    /// The response was lost or belongs to another request; the request may have run.
    #[error("the backend's response was lost: {0}")]
    ResponseLost(String),
    /// The deadline passed without a response; the request may have run.
    #[error("the backend did not respond before the deadline")]
    TimedOut,
}

/// Error that makes the server abort a response body that is incomplete.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the response body is incomplete")]
pub struct Truncated;

/// Body of a response: either complete or a stream that may be truncated.
#[derive(Debug)]
pub enum AnswerBody {
    /// The complete body; `None` if it is empty or already read.
    Complete(Option<Bytes>),
    /// Chunks of the body. The body is complete when the sender is dropped without sending
    /// [`Truncated`].
    Stream(mpsc::Receiver<Result<Bytes, Truncated>>),
}

impl From<Bytes> for AnswerBody {
    fn from(bytes: Bytes) -> Self {
        Self::Complete(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match &mut *self {
            Self::Complete(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(chunks) => {
                chunks.poll_recv(cx).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
