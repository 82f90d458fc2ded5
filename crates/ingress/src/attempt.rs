//! One attempt: sends a request to one backend and classifies the response.

use std::time::Duration;

use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use bytes::Bytes;

use crate::backends::{Outcome, Reservation};
use crate::connections::{Connection, ConnectionId, Connections};
use crate::dialect::{BackendDialect, Outgoing, Verdict};

/// Result of an attempt.
#[derive(Debug)]
pub enum Attempt {
    /// The backend has sent the head of its response.
    Responded(Box<PendingResponse>),
    /// The backend is at capacity. It did not run the request and will not.
    AtCapacity,
    /// The backend did not run the request and will not, for another reason.
    NotExecuted,
    /// No byte of the request was written.
    NotSent,
    /// The response was lost or belongs to another request; the request may have run.
    ResponseLost(String),
    /// The deadline passed before the response started; the request may have run.
    TimedOut,
}

/// A response whose head has been received and whose body has not been read yet.
#[derive(Debug)]
pub struct PendingResponse {
    /// The head of the response.
    pub head: Parts,
    /// The body of the response, not read yet.
    body: Incoming,
    connection: Connection,
    idle_time: Option<Duration>,
    closes_connection: bool,
    /// The reservation of the request at the backend.
    pub reservation: Reservation,
    /// When the request was sent.
    pub sent: Instant,
}

/// Why a response body could not be read completely.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The connection failed before the end of the body.
    #[error("the connection to the backend failed within the response: {0}")]
    ConnectionFailed(String),
    /// The deadline of the request passed.
    #[error("the response did not end before the deadline")]
    TimedOut,
    /// The body exceeds the size limit.
    #[error("the response is longer than {0} bytes")]
    TooLong(usize),
}

/// Sends a request and waits for the head of the response. The request is sent on a connection that
/// is not in `used`, to which that connection is added.
pub async fn send(
    connections: &Connections,
    used: &mut Vec<ConnectionId>,
    dialect: &dyn BackendDialect,
    mut reservation: Reservation,
    outgoing: &Outgoing<'_>,
    end: Instant,
) -> Attempt {
    let picked = &reservation.picked;
    let opened = connections.get(&picked.id, picked.address, used, end).await;
    let Ok(mut connection) = opened else {
        reservation.end(Outcome::NoResponse);
        return Attempt::NotSent;
    };
    used.push(connection.id);
    let sent = Instant::now();
    let time_left = end.saturating_duration_since(sent);
    let request = dialect.request(&Outgoing { time_left, ..*outgoing });
    let response = match timeout_at(end, connection.sender.try_send_request(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => {
            reservation.end(Outcome::NoResponse);
            return match error.message() {
                Some(_) => Attempt::NotSent,
                None => Attempt::ResponseLost(error.error().to_string()),
            };
        }
        Err(_) => return Attempt::TimedOut,
    };
    reservation.mark_responded();
    let (head, body) = response.into_parts();
    let info = dialect.read_head(&head, &outgoing.request.id);
    if let Some(load) = info.load {
        reservation.record_load(load);
    }
    let response = PendingResponse {
        head,
        body,
        connection,
        idle_time: info.idle_time,
        closes_connection: info.closes_connection,
        reservation,
        sent,
    };
    match info.verdict {
        Verdict::Answer => Attempt::Responded(Box::new(response)),
        Verdict::AtCapacity => {
            response.finish_refused(connections, end, Outcome::AtCapacity).await;
            Attempt::AtCapacity
        }
        Verdict::NotExecuted { stale } => {
            let outcome = if stale { Outcome::WrongBackend } else { Outcome::Failed };
            response.finish_refused(connections, end, outcome).await;
            Attempt::NotExecuted
        }
        Verdict::WrongRequest => {
            response.reservation.end(Outcome::NoResponse);
            Attempt::ResponseLost("the response belongs to another request".to_owned())
        }
    }
}

/// Maximum size of a refusal's body that is read so that the connection can be reused.
const MAX_REFUSAL_BYTES: usize = 4 << 10;

impl PendingResponse {
    /// Reads the next chunk of the body; `None` at its end.
    ///
    /// # Errors
    /// When the connection fails before the end of the body.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, BodyError> {
        loop {
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(error)) => return Err(BodyError::ConnectionFailed(error.to_string())),
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
            }
        }
    }

    /// Reads the complete body.
    ///
    /// # Errors
    /// When the body is incomplete, too long or not received before the deadline.
    pub async fn read_body(&mut self, end: Instant, max_bytes: usize) -> Result<Bytes, BodyError> {
        let mut chunks = Vec::new();
        let mut length = 0;
        loop {
            let next = timeout_at(end, self.next_chunk()).await;
            let Some(chunk) = next.map_err(|_| BodyError::TimedOut)?? else { break };
            length += chunk.len();
            if length > max_bytes {
                return Err(BodyError::TooLong(max_bytes));
            }
            chunks.push(chunk);
        }
        Ok(match chunks.len() {
            1 => chunks.swap_remove(0),
            _ => chunks.concat().into(),
        })
    }

    /// Returns the connection to the pool after the complete body was read, and ends the reservation
    /// with the outcome of the request.
    pub fn end(self, connections: &Connections, outcome: Outcome) {
        if !self.closes_connection {
            connections.put_back(self.connection, self.idle_time);
        }
        self.reservation.end(outcome);
    }

    async fn finish_refused(mut self, connections: &Connections, end: Instant, outcome: Outcome) {
        match self.read_body(end, MAX_REFUSAL_BYTES).await {
            Ok(_) => self.end(connections, outcome),
            Err(_) => self.reservation.end(outcome),
        }
    }
}
