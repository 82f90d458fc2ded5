//! What a request comes to.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// A back end's answer to be passed on, or a refusal of our own.
#[derive(Debug)]
pub enum IngressAnswer {
    /// The back end's answer, head and body unchanged.
    Passed(Parts, AnswerBody),
    /// Our own.
    Refused(Refusal),
}

impl From<Refusal> for IngressAnswer {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

/// Why a request gets no back end's answer. Each variant says what it promises.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// No bundle is in force here yet. The request has not run and never will.
    #[error("no configuration is in force here yet")]
    NotConfigured {
        /// When to come back.
        retry_after: Duration,
    },
    /// No route serves the host and path.
    #[error("no route serves this host and path")]
    NoRoute,
    /// The request is not what the route takes. It has not run and never will.
    #[error("the request is malformed: {0}")]
    Malformed(String),
    /// There is no room, or no word from the shared state. The request has not run and never will.
    #[error("not run: {reason}")]
    NotRun {
        /// What was missing.
        reason: &'static str,
        /// When to come back.
        retry_after: Duration,
    },
    /// The program's token budget is spent. The turn has not run and never will.
    #[error("the token budget is spent")]
    BudgetSpent,
    /// The turn to go on from is not kept anywhere. The turn has not run and never will.
    #[error("the turn to go on from is not known")]
    UnknownTurn,
    /// The back end's answer was lost or is not its own; the request may have run.
    #[error("the answer was lost: {0}")]
    AnswerLost(String),
    /// The time was over; the request may have run.
    #[error("no answer in time")]
    TimedOut,
}

/// The body of an answer must not look whole, because it is not.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the answer was cut short")]
pub struct Cut;

/// A body that is whole, or comes as a stream that may be cut.
#[derive(Debug)]
pub enum AnswerBody {
    /// All of it.
    Whole(Option<Bytes>),
    /// Piece by piece; the sender's end without [`Cut`] is the end of the body.
    Stream(mpsc::Receiver<Result<Bytes, Cut>>),
}

impl From<Bytes> for AnswerBody {
    fn from(bytes: Bytes) -> Self {
        Self::Whole(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(pieces) => {
                pieces.poll_recv(cx).map(|piece| piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
