//! An open event stream, and what a whole turn's stream must look like.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::CallerError;
use super::sse::{SseParser, StreamEvent};
use crate::http::HttpError;

/// Longest silence of a stream, comments included, before it counts as cut (ours).
const SILENCE: Duration = Duration::from_secs(30);

/// An open event stream. Dropping it closes the connection.
#[derive(Debug)]
pub struct EventStream {
    from: SocketAddr,
    body: Incoming,
    parser: SseParser,
    ready: VecDeque<StreamEvent>,
}

impl EventStream {
    pub(super) fn new(from: SocketAddr, body: Incoming) -> Self {
        Self { from, body, parser: SseParser::default(), ready: VecDeque::new() }
    }

    /// The gateway that it comes from.
    #[must_use]
    pub fn gateway(&self) -> SocketAddr {
        self.from
    }

    /// The next event; `None` when the stream ended.
    ///
    /// # Errors
    /// When the connection breaks, falls silent, or sends no event stream.
    pub async fn next(&mut self) -> Result<Option<StreamEvent>, CallerError> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Ok(Some(event));
            }
            let frame = timeout(SILENCE, self.body.frame())
                .await
                .map_err(|_| HttpError::TimedOut { to: self.from })?;
            let Some(frame) = frame else { return Ok(None) };
            let frame =
                frame.map_err(|e| HttpError::Broken { to: self.from, reason: e.to_string() })?;
            if let Ok(bytes) = frame.into_data() {
                let events = self.parser.push(&bytes);
                self.ready.extend(events.map_err(|e| CallerError::Broken(e.to_string()))?);
            }
        }
    }
}

/// All events of one turn, as its caller got them over one or more streams.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Transcript {
    /// The events, in the order of their arrival.
    pub events: Vec<StreamEvent>,
    /// How often the stream was cut and resumed.
    pub cuts: u32,
}

impl Transcript {
    /// Place of the last event.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.events.last().map(|event| event.id)
    }

    /// Its terminal event, if it came.
    #[must_use]
    pub fn terminal(&self) -> Option<&StreamEvent> {
        self.events.last().filter(|event| event.ends_turn())
    }

    /// How it ended: `finished`, `interrupted`, `aborted`, `failed`, or `cut`.
    #[must_use]
    pub fn end(&self) -> &str {
        self.terminal().map_or("cut", |event| event.event.as_str())
    }

    /// The text of its tokens.
    #[must_use]
    pub fn text(&self) -> String {
        self.events.iter().filter_map(|event| event.data["text"].as_str()).collect()
    }

    /// Number of its tokens.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        let tokens = self.events.iter().filter(|event| event.event == "tokens");
        tokens.filter_map(|event| event.data["count"].as_u64()).sum()
    }

    /// Checks that no event is lost, repeated or of another turn, and that the end counts right.
    ///
    /// # Errors
    /// What is wrong.
    pub fn check(&self, turn: &str) -> Result<(), CallerError> {
        let wrong = |what: String| Err(CallerError::Broken(format!("turn {turn}: {what}")));
        let Some(first) = self.events.first() else { return wrong("no event came".to_owned()) };
        if first.event != "turn" {
            return wrong(format!("it begins with {:?}", first.event));
        }
        for (place, event) in self.events.iter().enumerate() {
            if event.id != first.id + place as u64 {
                return wrong(format!(
                    "event {} where {} belongs",
                    event.id,
                    first.id + place as u64
                ));
            }
            if event.turn() != Some(turn) {
                return wrong(format!("event {} belongs to {:?}", event.id, event.turn()));
            }
        }
        match self.terminal().and_then(|end| end.data["tokens"].as_u64()) {
            Some(counted) if counted == self.tokens() => Ok(()),
            Some(counted) => wrong(format!("{} tokens came, it counts {counted}", self.tokens())),
            None => wrong("it has no terminal event".to_owned()),
        }
    }
}
