//! Declares programs, and opens, joins and reads sessions.

use std::time::Duration;

use hooklug_fleet::caller::{CallerError, SessionRef, SessionView, StreamEvent};
use hooklug_fleet::http::{Answer, HttpRequest};
use hooklug_types::UnixMillis;
use http::Method;
use serde_json::{Value, json};
use tokio_util::sync::CancellationToken;

use super::client::{Client, TimedResponse};
use crate::oracle::evidence::{OwnerObservation, ProgramRecord};

/// Time within which requests that declare or open something are retried.
const OPEN_RETRY_TIME: Duration = Duration::from_secs(30);
/// Lifetime of programs: longer than any run.
const PROGRAM_LIFETIME: Duration = Duration::from_secs(86_400);

fn session_path(session: &SessionRef) -> String {
    format!("/v1/programs/{}/sessions/{}", session.program, session.session)
}

fn session_name(session: &SessionRef) -> String {
    format!("{}/{}", session.program, session.session)
}

fn decode(response: &Answer) -> Result<SessionView, CallerError> {
    serde_json::from_slice(&response.body)
        .map_err(|e| CallerError::ContractViolation(e.to_string()))
}

impl Client {
    /// Declares a program and records it.
    ///
    /// # Errors
    /// If the request fails permanently or the retry time is over.
    pub async fn declare_program(
        &self,
        gateway: usize,
        program: &str,
        budget: u64,
        max_turn_tokens: u64,
    ) -> Result<(), CallerError> {
        let end = UnixMillis::now().plus(PROGRAM_LIFETIME).0;
        let body = json!({"token_budget": budget, "end_time_ms": end});
        let request = HttpRequest::json(Method::PUT, format!("/v1/programs/{program}"), &body);
        self.send_with_retries(gateway, &request, OPEN_RETRY_TIME).await?;
        let record = ProgramRecord { budget, max_turn_tokens, booked: None };
        self.recorder.lock().programs.insert(program.to_owned(), record);
        Ok(())
    }

    /// Opens a session and records its owner.
    ///
    /// # Errors
    /// If the request fails permanently or the retry time is over.
    pub async fn open_session(
        &self,
        gateway: usize,
        session: &SessionRef,
        model: &str,
        prefix: &str,
    ) -> Result<(), CallerError> {
        let body = json!({"model": model, "prefix": prefix});
        let request = HttpRequest::json(Method::PUT, session_path(session), &body);
        let timed = self.send_with_retries(gateway, &request, OPEN_RETRY_TIME).await?;
        // A retry may return a session that an attempt with a lost response had opened.
        let opened = timed.first_attempt;
        self.record_owner(session, &timed, opened)
    }

    /// Reads a session through one gateway and records its owner.
    ///
    /// # Errors
    /// If the request fails.
    pub async fn poll_session(
        &self,
        gateway: usize,
        session: &SessionRef,
    ) -> Result<(), CallerError> {
        let request = HttpRequest::new(Method::GET, session_path(session));
        let timed = self.send_with_retries(gateway, &request, Duration::ZERO).await?;
        self.record_owner(session, &timed, false)
    }

    fn record_owner(
        &self,
        session: &SessionRef,
        timed: &TimedResponse,
        opened: bool,
    ) -> Result<(), CallerError> {
        let view = decode(&timed.response)?;
        let mut evidence = self.recorder.lock();
        let record = evidence.sessions.entry(session_name(session)).or_default();
        if let Some(owner) = view.owner {
            let observation =
                OwnerObservation { owner, epoch: view.epoch, sent_at: timed.sent_at, opened };
            record.owners.push(observation);
        }
        Ok(())
    }

    /// Joins a session as a second client and records its events until `stop` is cancelled or the
    /// stream ends.
    pub async fn join_session(
        &self,
        gateway: usize,
        session: &SessionRef,
        stop: CancellationToken,
    ) {
        let Ok(mut stream) = self.caller().join(gateway, session, None).await else { return };
        let mut events = Vec::new();
        while let Some(Ok(Some(event))) = stop.run_until_cancelled(stream.next()).await {
            if event.event == "sync" {
                events.extend(sync_events(&event));
            } else {
                events.push(event);
            }
        }
        let mut evidence = self.recorder.lock();
        evidence.sessions.entry(session_name(session)).or_default().joined.push(events);
    }

    /// Reads the complete history of a session.
    ///
    /// # Errors
    /// If the request fails or the stream does not start with a `sync` event.
    pub async fn read_history(
        &self,
        gateway: usize,
        session: &SessionRef,
    ) -> Result<Vec<StreamEvent>, CallerError> {
        let mut stream = self.caller().join(gateway, session, None).await?;
        match stream.next().await? {
            Some(event) if event.event == "sync" => Ok(sync_events(&event)),
            other => Err(CallerError::ContractViolation(format!(
                "expected a sync event at the start of a joined stream, got {other:?}"
            ))),
        }
    }
}

/// Returns the events contained in a `sync` event.
fn sync_events(sync: &StreamEvent) -> Vec<StreamEvent> {
    let events = sync.data["events"].as_array().map(Vec::as_slice).unwrap_or_default();
    events.iter().map(event_in_sync).collect()
}

fn event_in_sync(value: &Value) -> StreamEvent {
    StreamEvent {
        id: value["id"].as_u64().unwrap_or(0),
        event: value["event"].as_str().unwrap_or_default().to_owned(),
        data: value["data"].clone(),
    }
}
