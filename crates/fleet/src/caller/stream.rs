//! An open event stream, and the events of a turn with checks for lost or repeated ones.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::CallerError;
use super::sse::{SseParser, StreamEvent};
use crate::http::HttpError;

/// Time without any data, comments included, after which a stream counts as interrupted.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// An open event stream. Dropping it closes the connection.
#[derive(Debug)]
pub struct EventStream {
    from: SocketAddr,
    body: Incoming,
    parser: SseParser,
    pending: VecDeque<StreamEvent>,
}

impl EventStream {
    pub(super) fn new(from: SocketAddr, body: Incoming) -> Self {
        Self { from, body, parser: SseParser::default(), pending: VecDeque::new() }
    }

    /// The gateway that serves the stream.
    #[must_use]
    pub fn gateway(&self) -> SocketAddr {
        self.from
    }

    /// Waits for the next event; `None` at the end of the stream.
    ///
    /// # Errors
    /// When the connection fails or is idle for too long, or the data is not an event stream.
    pub async fn next(&mut self) -> Result<Option<StreamEvent>, CallerError> {
        loop {
            if let Some(event) = self.pending.pop_front() {
                return Ok(Some(event));
            }
            let frame = timeout(IDLE_TIMEOUT, self.body.frame())
                .await
                .map_err(|_| HttpError::TimedOut { to: self.from })?;
            let Some(frame) = frame else { return Ok(None) };
            let frame = frame
                .map_err(|e| HttpError::Connection { to: self.from, reason: e.to_string() })?;
            if let Ok(bytes) = frame.into_data() {
                let events = self.parser.push(&bytes);
                self.pending
                    .extend(events.map_err(|e| CallerError::ContractViolation(e.to_string()))?);
            }
        }
    }
}

/// The events of one turn, as received over one or more streams.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Transcript {
    /// Events in order of arrival.
    pub events: Vec<StreamEvent>,
    /// Number of times that the stream was interrupted and resumed.
    pub cuts: u32,
}

impl Transcript {
    /// Sequence number of the last event.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.events.last().map(|event| event.id)
    }

    /// The terminal event, if it has arrived.
    #[must_use]
    pub fn terminal(&self) -> Option<&StreamEvent> {
        self.events.last().filter(|event| event.ends_turn())
    }

    /// Type of the terminal event: `finished`, `interrupted`, `aborted` or `failed`; `cut` if none
    /// has arrived.
    #[must_use]
    pub fn end(&self) -> &str {
        self.terminal().map_or("cut", |event| event.event.as_str())
    }

    /// The text of all token events.
    #[must_use]
    pub fn text(&self) -> String {
        self.events.iter().filter_map(|event| event.data["text"].as_str()).collect()
    }

    /// Number of tokens in the events.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        let tokens = self.events.iter().filter(|event| event.event == "tokens");
        tokens.filter_map(|event| event.data["count"].as_u64()).sum()
    }

    /// Checks that no event is lost, repeated or of another turn, and that the token count in the
    /// terminal event is right.
    ///
    /// # Errors
    /// The first violation found.
    pub fn check(&self, turn: &str) -> Result<(), CallerError> {
        let violation =
            |what: String| Err(CallerError::ContractViolation(format!("turn {turn}: {what}")));
        let Some(first) = self.events.first() else {
            return violation("no event arrived".to_owned());
        };
        if first.event != "turn" {
            return violation(format!("the first event is {:?}", first.event));
        }
        for (index, event) in self.events.iter().enumerate() {
            if event.id != first.id + index as u64 {
                return violation(format!(
                    "event {} instead of {}",
                    event.id,
                    first.id + index as u64
                ));
            }
            if event.turn() != Some(turn) {
                return violation(format!("event {} belongs to {:?}", event.id, event.turn()));
            }
        }
        match self.terminal().and_then(|end| end.data["tokens"].as_u64()) {
            Some(expected) if expected == self.tokens() => Ok(()),
            Some(expected) => violation(format!(
                "{} tokens arrived, but the terminal event counts {expected}",
                self.tokens()
            )),
            None => violation("the terminal event is missing".to_owned()),
        }
    }
}
