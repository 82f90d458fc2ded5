//! Interface to the HTTP dialect of backends.

use std::time::Duration;

use bytes::Bytes;
use hooklug_types::EngineId;
use http::Request;
use http::response::Parts;
use http_body_util::Full;

use crate::{IngressRequest, LoadReport};

/// A request to be sent to one backend.
#[derive(Debug, Clone, Copy)]
pub struct Outgoing<'a> {
    /// The caller's request.
    pub request: &'a IngressRequest,
    /// The body to send: the caller's body, preceded by the history on routes that retain turns.
    pub body: &'a Bytes,
    /// The only backend that may run the request.
    pub backend: &'a EngineId,
    /// Time left until the request's deadline.
    pub time_left: Duration,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
}

/// Meaning of the head of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The backend's response to this request.
    Answer,
    /// The backend is at capacity: it did not run the request and will not.
    AtCapacity,
    /// The backend did not run the request and will not, for another reason.
    NotExecuted {
        /// Whether the responding backend is not the one that was addressed.
        stale: bool,
    },
    /// The response belongs to another request.
    WrongRequest,
}

/// Information from the head of a backend's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackendHead {
    /// Meaning of the response.
    pub verdict: Verdict,
    /// Load that the backend reported.
    pub load: Option<LoadReport>,
    /// How long the backend keeps the connection open while idle.
    pub idle_time: Option<Duration>,
    /// Whether the backend closes the connection after this response.
    pub closes_connection: bool,
}

/// Translates requests for backends and interprets the heads of their responses. Implementations
/// make no decisions about selection or retries.
pub trait BackendDialect: Send + Sync + 'static {
    /// Builds the HTTP request to send.
    fn request(&self, outgoing: &Outgoing<'_>) -> Request<Full<Bytes>>;

    /// Interprets the head of the response to the request with this id.
    fn read_head(&self, head: &Parts, request_id: &str) -> BackendHead;
}
