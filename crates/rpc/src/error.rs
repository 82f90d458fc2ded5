//! Why a call got no reply.

use serde::{Deserialize, Serialize};

/// Why a call got no reply. Only [`RpcError::NotSent`] says that the peer has not seen it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RpcError {
    /// No connection could be had, so not one byte of the call was written.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The connection broke after the call may have been written.
    #[error("connection lost")]
    ConnectionLost,
    /// No reply came by the deadline; the call may have run or may run yet.
    #[error("deadline exceeded")]
    DeadlineExceeded,
    /// The peer answered with a fault of the transport.
    #[error("peer answered: {0}")]
    Fault(Fault),
    /// The reply did not decode.
    #[error("reply does not decode: {0}")]
    Decode(String),
    /// The items came faster than they were taken, and the stream was cut; resume it.
    #[error("stream was cut: its reader is too slow")]
    SlowReader,
}

impl RpcError {
    /// Whether the peer certainly has not seen the call.
    #[must_use]
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }
}

/// A fault that a peer's transport answers with.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Fault {
    /// The process has no handler for the method.
    #[error("no handler for this method")]
    NoHandler,
    /// The request did not decode.
    #[error("request does not decode: {0}")]
    Decode(String),
    /// The handler failed.
    #[error("handler failed: {0}")]
    Failed(String),
}
