//! One request sent to one back end.

use std::time::Duration;

use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use bytes::Bytes;

use crate::backends::{Outcome, Reserved};
use crate::connections::{Connection, Connections};
use crate::dialect::{BackendDialect, Outgoing, Verdict};

/// What came of it.
#[derive(Debug)]
pub enum Attempt {
    /// The back end answers.
    Answered(Box<Answering>),
    /// It did not run the request and never will, for want of room.
    NoRoom,
    /// It did not run the request and never will, for another reason.
    NotExecuted,
    /// Not one byte of the request was written.
    NotSent,
    /// The answer was lost, or is not the request's own; the request may have run.
    Lost(String),
    /// The time was over before the answer began; the request may have run.
    TimedOut,
}

/// An answer whose head has come.
#[derive(Debug)]
pub struct Answering {
    /// The head.
    pub head: Parts,
    /// The body.
    body: Incoming,
    connection: Connection,
    idle_time: Option<Duration>,
    closes: bool,
    /// The place at the back end.
    pub reserved: Reserved,
    /// When the request was sent.
    pub sent: Instant,
}

/// Why the rest of an answer did not come.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The back end broke off.
    #[error("the back end broke off: {0}")]
    Broken(String),
    /// The time was over.
    #[error("the answer did not end in time")]
    TimedOut,
    /// The answer is longer than is taken.
    #[error("the answer is longer than {0} bytes")]
    TooLong(usize),
}

/// Sends a request and waits for the head of its answer.
pub async fn send(
    connections: &Connections,
    dialect: &dyn BackendDialect,
    mut reserved: Reserved,
    outgoing: &Outgoing<'_>,
    end: Instant,
) -> Attempt {
    let picked = &reserved.picked;
    let opened = connections.get(&picked.id, picked.address, end).await;
    let Ok(mut connection) = opened else {
        reserved.end(Outcome::Broken);
        return Attempt::NotSent;
    };
    let sent = Instant::now();
    let time_left = end.saturating_duration_since(sent);
    let request = dialect.request(&Outgoing { time_left, ..*outgoing });
    let response = match timeout_at(end, connection.sender.try_send_request(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => {
            reserved.end(Outcome::Broken);
            return match error.message() {
                Some(_) => Attempt::NotSent,
                None => Attempt::Lost(error.error().to_string()),
            };
        }
        Err(_) => return Attempt::TimedOut,
    };
    reserved.note_answer();
    let (head, body) = response.into_parts();
    let told = dialect.read_head(&head, &outgoing.request.id);
    if let Some(load) = told.load {
        reserved.note_load(load);
    }
    let answering = Answering {
        head,
        body,
        connection,
        idle_time: told.idle_time,
        closes: told.closes,
        reserved,
        sent,
    };
    match told.verdict {
        Verdict::Answer => Attempt::Answered(Box::new(answering)),
        Verdict::NoRoom => {
            answering.refused(connections, end, Outcome::NoRoom).await;
            Attempt::NoRoom
        }
        Verdict::NotExecuted { stale } => {
            let outcome = if stale { Outcome::Stale } else { Outcome::Failed };
            answering.refused(connections, end, outcome).await;
            Attempt::NotExecuted
        }
        Verdict::Foreign => {
            answering.reserved.end(Outcome::Broken);
            Attempt::Lost("the answer belongs to another request".to_owned())
        }
    }
}

/// Longest body of a refusal that is read so that its connection can be used again (ours).
const MOST_REFUSAL_BYTES: usize = 4 << 10;

impl Answering {
    /// The next piece of the body; `None` at its end.
    ///
    /// # Errors
    /// When the back end broke off.
    pub async fn next_piece(&mut self) -> Result<Option<Bytes>, BodyError> {
        loop {
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(error)) => return Err(BodyError::Broken(error.to_string())),
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
            }
        }
    }

    /// The whole body.
    ///
    /// # Errors
    /// When it does not come whole and in time.
    pub async fn whole_body(&mut self, end: Instant, most: usize) -> Result<Bytes, BodyError> {
        let mut pieces = Vec::new();
        let mut length = 0;
        loop {
            let next = timeout_at(end, self.next_piece()).await;
            let Some(piece) = next.map_err(|_| BodyError::TimedOut)?? else { break };
            length += piece.len();
            if length > most {
                return Err(BodyError::TooLong(most));
            }
            pieces.push(piece);
        }
        Ok(match pieces.len() {
            1 => pieces.swap_remove(0),
            _ => pieces.concat().into(),
        })
    }

    /// Gives the connection back after the whole body, and the place with what came of the request.
    pub fn end(self, connections: &Connections, outcome: Outcome) {
        if !self.closes {
            connections.put_back(self.connection, self.idle_time);
        }
        self.reserved.end(outcome);
    }

    async fn refused(mut self, connections: &Connections, end: Instant, outcome: Outcome) {
        match self.whole_body(end, MOST_REFUSAL_BYTES).await {
            Ok(_) => self.end(connections, outcome),
            Err(_) => self.reserved.end(outcome),
        }
    }
}
