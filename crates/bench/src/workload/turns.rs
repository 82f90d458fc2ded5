//! Runs turns, resumes interrupted streams and records the events.

use std::time::Duration;

use hooklug_fleet::caller::{CallerError, EventStream, SessionRef, TurnRequest};
use tokio::time::{Instant, sleep, timeout};

use super::client::{Client, retry_pause};
use super::now;
use crate::oracle::evidence::{TurnClaim, TurnRecord};

/// Timeout of a turn, including all resumptions.
const TURN_TIMEOUT: Duration = Duration::from_secs(60);

impl Client {
    /// Sends a turn, follows its stream to the terminal event, resumes it at other gateways after
    /// interruptions, and returns its record.
    pub async fn run_turn(
        &self,
        mut gateway: usize,
        session: &SessionRef,
        request: &TurnRequest,
    ) -> TurnRecord {
        let mut followed = FollowedTurn::new(session, request);
        loop {
            let caller = self.caller();
            let opened = match followed.last_event_id() {
                None => caller.start_turn(gateway, session, request).await,
                after => caller.resume_turn(gateway, session, &request.turn, after).await,
            };
            let error = match opened {
                // Comment lines keep a stream open, so the caller needs a timeout of its own.
                Ok(mut stream) => {
                    match timeout(followed.time_left(), followed.read(&mut stream)).await {
                        Ok(read) => read.err(),
                        Err(_) => None,
                    }
                }
                Err(error) => Some(error),
            };
            if let Some(claim) = followed.final_claim(error.as_ref()) {
                let record = followed.into_record(claim);
                self.recorder.lock().turns.push(record.clone());
                return record;
            }
            gateway += 1;
            sleep(error.as_ref().map_or(Duration::ZERO, retry_pause)).await;
        }
    }
}

/// A turn whose stream is being followed.
struct FollowedTurn {
    record: TurnRecord,
    sent_at: Instant,
    last_token: Option<Instant>,
}

impl FollowedTurn {
    fn new(session: &SessionRef, request: &TurnRequest) -> Self {
        let record = TurnRecord {
            session: format!("{}/{}", session.program, session.session),
            turn: request.turn.clone(),
            after: request.after.clone(),
            sent_at: now(),
            ended_at: 0,
            events: Vec::new(),
            ended_without_terminal: false,
            claim: TurnClaim::Inconclusive(String::new()),
            first_token_ms: None,
            gaps_ms: Vec::new(),
            cuts: 0,
        };
        Self { record, sent_at: Instant::now(), last_token: None }
    }

    fn last_event_id(&self) -> Option<u64> {
        self.record.events.last().map(|event| event.id)
    }

    fn terminal_event(&self) -> Option<&str> {
        let last = self.record.events.last().filter(|event| event.ends_turn());
        last.map(|event| event.event.as_str())
    }

    fn time_left(&self) -> Duration {
        TURN_TIMEOUT.saturating_sub(self.sent_at.elapsed())
    }

    async fn read(&mut self, stream: &mut EventStream) -> Result<(), CallerError> {
        while self.terminal_event().is_none() {
            match stream.next().await {
                Ok(Some(event)) => {
                    if event.event == "tokens" {
                        self.record_token_time();
                    }
                    self.record.events.push(event);
                }
                Ok(None) => {
                    self.record.ended_without_terminal = true;
                    return Ok(());
                }
                Err(error) => {
                    self.record.cuts += 1;
                    self.last_token = None;
                    return Err(error);
                }
            }
        }
        Ok(())
    }

    fn record_token_time(&mut self) {
        let at = Instant::now();
        if self.record.first_token_ms.is_none() {
            self.record.first_token_ms = Some((at - self.sent_at).as_secs_f64() * 1e3);
        }
        if let Some(last) = self.last_token.replace(at) {
            self.record.gaps_ms.push((at - last).as_secs_f64() * 1e3);
        }
    }

    /// Returns the outcome of the turn, once it is final.
    fn final_claim(&self, error: Option<&CallerError>) -> Option<TurnClaim> {
        if let Some(end) = self.terminal_event() {
            return Some(TurnClaim::Ended(end.to_owned()));
        }
        let timed_out = self.sent_at.elapsed() >= TURN_TIMEOUT;
        match error {
            Some(error) if !error.is_retryable() => Some(match error.code() {
                Some(code) => TurnClaim::Refused(code.to_owned()),
                None => TurnClaim::Inconclusive(error.to_string()),
            }),
            Some(error) if timed_out => Some(TurnClaim::Inconclusive(error.to_string())),
            None if timed_out => {
                Some(TurnClaim::Inconclusive("no terminal event before the timeout".to_owned()))
            }
            _ => None,
        }
    }

    fn into_record(mut self, claim: TurnClaim) -> TurnRecord {
        self.record.ended_at = now();
        self.record.claim = claim;
        self.record
    }
}
