//! Turns: sent to any gateway, followed over cuts until their terminal event.

use std::time::Duration;

use http::Method;
use serde::Serialize;
use tokio::time::{Instant, sleep};

use super::error::success;
use super::stream::{EventStream, Transcript};
use super::{Caller, CallerError, SessionRef};
use crate::http::{Answer, Ask};

/// Longest time for a turn with all its resumptions (ours).
const TURN_TIME: Duration = Duration::from_secs(90);
/// Pause before a stream is resumed (ours).
const PAUSE: Duration = Duration::from_millis(100);

/// A turn to be sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TurnRequest {
    /// Its name.
    pub turn: String,
    /// The turn that it follows.
    pub after: Option<String>,
    /// The new input.
    pub input: String,
    /// Tokens that it may stream.
    pub max_tokens: u64,
}

impl TurnRequest {
    /// A turn.
    #[must_use]
    pub fn new(turn: &str, after: Option<&str>, input: &str, max_tokens: u64) -> Self {
        Self {
            turn: turn.to_owned(),
            after: after.map(str::to_owned),
            input: input.to_owned(),
            max_tokens,
        }
    }
}

impl Caller {
    /// Sends a turn to one gateway, once, and opens its stream.
    ///
    /// # Errors
    /// A problem, or no answer.
    pub async fn begin_turn(
        &self,
        gateway: usize,
        session: &SessionRef,
        turn: &TurnRequest,
    ) -> Result<EventStream, CallerError> {
        let ask = Ask::json(Method::POST, format!("{}/turns", session.path()), turn);
        self.open_stream(gateway, ask).await
    }

    /// Opens the stream of a turn that exists, after an event, at one gateway, once.
    ///
    /// # Errors
    /// A problem, or no answer.
    pub async fn resume_turn(
        &self,
        gateway: usize,
        session: &SessionRef,
        turn: &str,
        after: Option<u64>,
    ) -> Result<EventStream, CallerError> {
        let path = format!("{}/turns/{turn}/events", session.path());
        self.open_stream(gateway, resuming(path, after)).await
    }

    /// Joins a session at one gateway, once. Without `after` the first event is a `sync`.
    ///
    /// # Errors
    /// A problem, or no answer.
    pub async fn join(
        &self,
        gateway: usize,
        session: &SessionRef,
        after: Option<u64>,
    ) -> Result<EventStream, CallerError> {
        let path = format!("{}/events", session.path());
        self.open_stream(gateway, resuming(path, after)).await
    }

    /// Sends a turn and follows it to its terminal event, over cuts and at other gateways if need be.
    ///
    /// # Errors
    /// A problem that does not pass, or no end in time.
    pub async fn run_turn(
        &self,
        gateway: usize,
        session: &SessionRef,
        turn: &TurnRequest,
    ) -> Result<Transcript, CallerError> {
        self.follow_turn(gateway, session, turn, Transcript::default()).await
    }

    /// Follows a turn on from what has come of it already.
    ///
    /// # Errors
    /// A problem that does not pass, or no end in time.
    pub async fn follow_turn(
        &self,
        mut gateway: usize,
        session: &SessionRef,
        turn: &TurnRequest,
        mut transcript: Transcript,
    ) -> Result<Transcript, CallerError> {
        let deadline = Instant::now() + TURN_TIME;
        loop {
            let opened = match transcript.last_id() {
                None => self.begin_turn(gateway, session, turn).await,
                after => self.resume_turn(gateway, session, &turn.turn, after).await,
            };
            let error = match opened {
                Ok(mut stream) => match read_on(&mut stream, &mut transcript).await {
                    None => return Ok(transcript),
                    Some(cut) => {
                        transcript.cuts += 1;
                        cut
                    }
                },
                Err(error) => error,
            };
            if !error.is_passing() || Instant::now() >= deadline {
                return Err(error);
            }
            gateway += 1;
            sleep(PAUSE).await;
        }
    }

    async fn open_stream(&self, gateway: usize, ask: Ask) -> Result<EventStream, CallerError> {
        let to = self.gateway(gateway);
        let answer = self.http.open(to, &self.signed(ask)).await?;
        if answer.status().is_success() {
            return Ok(EventStream::new(to, answer.into_body()));
        }
        let (parts, body) = answer.into_parts();
        let collected = http_body_util::BodyExt::collect(body).await;
        let body = collected.map(http_body_util::Collected::to_bytes).unwrap_or_default();
        let whole = Answer { from: to, status: parts.status, headers: parts.headers, body };
        Err(success(whole)
            .err()
            .unwrap_or_else(|| CallerError::Broken("a failure that is none".to_owned())))
    }
}

fn resuming(path: String, after: Option<u64>) -> Ask {
    let ask = Ask::new(Method::GET, path);
    match after {
        Some(id) => ask.header("last-event-id", id.to_string()),
        None => ask,
    }
}

/// Adds events until the terminal one; tells how the stream was cut otherwise.
async fn read_on(stream: &mut EventStream, transcript: &mut Transcript) -> Option<CallerError> {
    loop {
        match stream.next().await {
            Ok(Some(event)) => {
                transcript.events.push(event);
                if transcript.terminal().is_some() {
                    return None;
                }
            }
            Ok(None) => {
                let reason = "the stream ended without a terminal event".to_owned();
                return Some(
                    crate::http::HttpError::Broken { to: stream.gateway(), reason }.into(),
                );
            }
            Err(error) => return Some(error),
        }
    }
}
