//! Sends turns and follows their streams to the terminal event, resuming interrupted ones.

use std::time::Duration;

use http::Method;
use serde::Serialize;
use tokio::time::{Instant, sleep};

use super::error::into_success;
use super::stream::{EventStream, Transcript};
use super::{Caller, CallerError, SessionRef};
use crate::http::{Answer, HttpRequest};

/// Time after which the stream of a turn is no longer resumed.
const TURN_TIMEOUT: Duration = Duration::from_secs(90);
/// Delay before a stream is resumed.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Request body of a turn.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TurnRequest {
    /// Name of the turn.
    pub turn: String,
    /// Name of the preceding turn.
    pub after: Option<String>,
    /// User input.
    pub input: String,
    /// Maximum number of tokens to stream.
    pub max_tokens: u64,
}

impl TurnRequest {
    /// Creates a turn.
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
    /// Sends a turn to one gateway, without retries, and opens its stream.
    ///
    /// # Errors
    /// When the response is a problem or does not arrive.
    pub async fn start_turn(
        &self,
        gateway: usize,
        session: &SessionRef,
        turn: &TurnRequest,
    ) -> Result<EventStream, CallerError> {
        let request = HttpRequest::json(Method::POST, format!("{}/turns", session.path()), turn);
        self.open_stream(gateway, request).await
    }

    /// Opens the stream of an existing turn after an event, at one gateway, without retries.
    ///
    /// # Errors
    /// When the response is a problem or does not arrive.
    pub async fn resume_turn(
        &self,
        gateway: usize,
        session: &SessionRef,
        turn: &str,
        after: Option<u64>,
    ) -> Result<EventStream, CallerError> {
        let path = format!("{}/turns/{turn}/events", session.path());
        self.open_stream(gateway, resume_request(path, after)).await
    }

    /// Joins a session at one gateway, without retries. Without `after` the first event is a
    /// `sync`.
    ///
    /// # Errors
    /// When the response is a problem or does not arrive.
    pub async fn join(
        &self,
        gateway: usize,
        session: &SessionRef,
        after: Option<u64>,
    ) -> Result<EventStream, CallerError> {
        let path = format!("{}/events", session.path());
        self.open_stream(gateway, resume_request(path, after)).await
    }

    /// Sends a turn and follows it to its terminal event. An interrupted stream is resumed at the
    /// next gateway.
    ///
    /// # Errors
    /// A permanent error, or the last error when the turn has not ended in time.
    pub async fn run_turn(
        &self,
        gateway: usize,
        session: &SessionRef,
        turn: &TurnRequest,
    ) -> Result<Transcript, CallerError> {
        self.follow_turn(gateway, session, turn, Transcript::default()).await
    }

    /// Follows a turn to its terminal event, starting after the events in `transcript`.
    ///
    /// # Errors
    /// A permanent error, or the last error when the turn has not ended in time.
    pub async fn follow_turn(
        &self,
        mut gateway: usize,
        session: &SessionRef,
        turn: &TurnRequest,
        mut transcript: Transcript,
    ) -> Result<Transcript, CallerError> {
        let deadline = Instant::now() + TURN_TIMEOUT;
        loop {
            let opened = match transcript.last_id() {
                None => self.start_turn(gateway, session, turn).await,
                after => self.resume_turn(gateway, session, &turn.turn, after).await,
            };
            let error = match opened {
                Ok(mut stream) => match read_events(&mut stream, &mut transcript).await {
                    None => return Ok(transcript),
                    Some(interruption) => {
                        transcript.cuts += 1;
                        interruption
                    }
                },
                Err(error) => error,
            };
            if !error.is_retryable() || Instant::now() >= deadline {
                return Err(error);
            }
            gateway += 1;
            sleep(RETRY_DELAY).await;
        }
    }

    async fn open_stream(
        &self,
        gateway: usize,
        request: HttpRequest,
    ) -> Result<EventStream, CallerError> {
        let to = self.gateway(gateway);
        let response = self.http.open(to, &self.with_tenant(request)).await?;
        if response.status().is_success() {
            return Ok(EventStream::new(to, response.into_body()));
        }
        let (parts, body) = response.into_parts();
        let collected = http_body_util::BodyExt::collect(body).await;
        let body = collected.map(http_body_util::Collected::to_bytes).unwrap_or_default();
        let response = Answer { from: to, status: parts.status, headers: parts.headers, body };
        Err(into_success(response).err().unwrap_or_else(|| {
            CallerError::ContractViolation(
                "an unsuccessful response was treated as a success".to_owned(),
            )
        }))
    }
}

fn resume_request(path: String, after: Option<u64>) -> HttpRequest {
    let request = HttpRequest::new(Method::GET, path);
    match after {
        Some(id) => request.header("last-event-id", id.to_string()),
        None => request,
    }
}

/// Appends events up to the terminal one. Returns the error if the stream is interrupted before.
async fn read_events(stream: &mut EventStream, transcript: &mut Transcript) -> Option<CallerError> {
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
                    crate::http::HttpError::Connection { to: stream.gateway(), reason }.into(),
                );
            }
            Err(error) => return Some(error),
        }
    }
}
