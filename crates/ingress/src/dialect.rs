//! What a dialect says of the way back ends speak.

use std::time::Duration;

use bytes::Bytes;
use hooklug_types::EngineId;
use http::Request;
use http::response::Parts;
use http_body_util::Full;

use crate::{IngressRequest, LoadReport};

/// One request as it goes to one back end.
#[derive(Debug, Clone, Copy)]
pub struct Outgoing<'a> {
    /// The caller's request.
    pub request: &'a IngressRequest,
    /// The body to send: the caller's, with the history before it on routes that keep turns.
    pub body: &'a Bytes,
    /// The back end that must be the one to run it.
    pub backend: &'a EngineId,
    /// What is left of its time.
    pub time_left: Duration,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
}

/// What a head of an answer means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The back end's answer to this request.
    Answer,
    /// The back end says that it did not run the request and will not, because it has no room.
    NoRoom,
    /// The back end says that it did not run the request and will not, for another reason; `stale` when it is not
    /// the one that was named.
    NotExecuted {
        /// Whether another back end answers at the address.
        stale: bool,
    },
    /// The answer belongs to another request.
    Foreign,
}

/// What the head of an answer tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackendHead {
    /// What it means.
    pub verdict: Verdict,
    /// The back end's load.
    pub load: Option<LoadReport>,
    /// How long the connection may rest.
    pub idle_time: Option<Duration>,
    /// Whether the back end wants no more requests on this connection.
    pub closes: bool,
}

/// How requests are put to back ends, and what their answers mean. A dialect translates; it decides nothing.
pub trait BackendDialect: Send + Sync + 'static {
    /// The request to send.
    fn request(&self, outgoing: &Outgoing<'_>) -> Request<Full<Bytes>>;

    /// Reads the head of an answer to a request with this id.
    fn read_head(&self, head: &Parts, request_id: &str) -> BackendHead;
}
