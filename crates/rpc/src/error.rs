//! Errors of calls and streams.

use serde::{Deserialize, Serialize};

/// Error of a call or stream. Only [`RpcError::NotSent`] guarantees that the peer has not received
/// it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RpcError {
    /// No connection was available, so no part of the request was written.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The connection closed after the request may have been written.
    #[error("connection lost")]
    ConnectionLost,
    /// No reply arrived before the deadline; the call may have run or may still run.
    #[error("deadline exceeded")]
    DeadlineExceeded,
    /// The peer's RPC layer replied with a fault.
    #[error("peer answered: {0}")]
    Fault(Fault),
    /// The reply could not be decoded.
    #[error("reply does not decode: {0}")]
    Decode(String),
    /// Items arrived faster than they were read, so the stream was closed; the caller should resume
    /// it.
    #[error("stream was closed: its reader is too slow")]
    SlowReader,
}

impl RpcError {
    /// Whether it is certain that the peer has not received the call.
    #[must_use]
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }
}

/// Fault that a peer's RPC layer replies with.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Fault {
    /// The peer has no handler for the method.
    #[error("no handler for this method")]
    NoHandler,
    /// The request could not be decoded.
    #[error("request does not decode: {0}")]
    Decode(String),
    /// The handler panicked, returned no reply, or its reply could not be encoded.
    #[error("handler failed: {0}")]
    Failed(String),
}
