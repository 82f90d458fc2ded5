//! Demo steps for turns and streams.

use crate::caller::{EventStream, StreamEvent, Transcript, TurnRequest};
use crate::control::Target;
use crate::{FleetError, ProcessKind, ProcessName};

use super::{Demo, DemoError, during, ensure};

/// Number of events read before the client drops a stream.
const EVENTS_BEFORE_CLOSE: usize = 5;

impl Demo {
    /// Runs a turn to its end and records its events.
    pub(super) async fn run_turn(
        &mut self,
        gateway: usize,
        turn: &TurnRequest,
    ) -> Result<Transcript, DemoError> {
        let result = self.caller.run_turn(gateway, &self.session, turn).await;
        let transcript = result.map_err(during("streaming a turn"))?;
        self.record(turn, &transcript)?;
        Ok(transcript)
    }

    fn record(&mut self, turn: &TurnRequest, transcript: &Transcript) -> Result<(), DemoError> {
        transcript.check(&turn.turn).map_err(during("checking the events of a turn"))?;
        self.head = Some(turn.turn.clone());
        self.tokens += transcript.tokens();
        self.received_events.extend(transcript.events.iter().cloned());
        Ok(())
    }

    pub(super) async fn stream_and_join(&mut self) -> Result<String, DemoError> {
        let first = self.next_turn("t1", "Frost tonight. Vent or heat? [tokens 12]", 64);
        let first = self.run_turn(0, &first).await?;
        let joined = self.caller.join(2, &self.session, None).await;
        let mut joined = joined.map_err(during("joining as a second caller"))?;
        let sync = next(&mut joined).await?;
        check_sync(&sync, &first.events)?;
        let second = self.next_turn("t2", "And at dawn? [tokens 12]", 64);
        let second = self.run_turn(1, &second).await?;
        let mut received = Vec::new();
        while received.len() < second.events.len() {
            received.push(next(&mut joined).await?);
        }
        ensure(received == second.events, || {
            "the stream of the joined caller differs from the turn's own".to_owned()
        })?;
        Ok(format!(
            "2. two turns through two gateways ({} and {} tokens); a caller that joined at a third gateway got one sync, then the same {} events",
            first.tokens(),
            second.tokens(),
            received.len()
        ))
    }

    pub(super) async fn interrupt_and_resume(
        &mut self,
        print_line: &(dyn Fn(String) + Sync),
    ) -> Result<String, DemoError> {
        let turn = self.next_turn("t3", "Explain at length. [tokens 80]", 128);
        let started = self.caller.start_turn(0, &self.session, &turn).await;
        let mut stream = started.map_err(during("starting a turn"))?;
        let mut transcript = Transcript::default();
        while transcript.events.len() < EVENTS_BEFORE_CLOSE {
            transcript.events.push(next(&mut stream).await?);
        }
        drop(stream);
        if let Some(target) = self.kill {
            let name = self.resolve(target).await?;
            self.fleet.kill(name)?;
            self.killed = Some(name);
            print_line(format!("   killed {name} in the middle of a turn"));
        }
        let followed = self.caller.follow_turn(1, &self.session, &turn, transcript).await;
        let transcript = followed.map_err(during("resuming an interrupted stream"))?;
        let may_be_interrupted = self
            .killed
            .is_some_and(|name| matches!(name.kind, ProcessKind::Engine | ProcessKind::Model));
        let complete = transcript.end() == "finished" && transcript.tokens() == 80;
        ensure(complete || may_be_interrupted && transcript.end() != "cut", || {
            format!("the turn ended {} after {} tokens", transcript.end(), transcript.tokens())
        })?;
        self.record(&turn, &transcript)?;
        self.read_again(&turn, &transcript).await?;
        Ok(format!(
            "3. a stream closed after {EVENTS_BEFORE_CLOSE} events and resumed at another gateway: {} events, none lost or repeated, {}",
            transcript.events.len(),
            transcript.end()
        ))
    }

    /// Reads a turn from its start at another gateway and checks that the events are the same.
    async fn read_again(
        &self,
        turn: &TurnRequest,
        transcript: &Transcript,
    ) -> Result<(), DemoError> {
        let again = self.caller.follow_turn(3, &self.session, turn, Transcript::default()).await;
        let again = again.map_err(during("reading a turn again"))?;
        ensure(again.events == transcript.events, || {
            "a turn differs when it is read again".to_owned()
        })
    }

    async fn resolve(&self, target: Target) -> Result<ProcessName, DemoError> {
        match target {
            Target::Process(name) => Ok(name),
            Target::CoreLeader => Ok(self.fleet.core_leader().await?),
            Target::SessionOwner => self.owner().await,
        }
    }

    /// The engine that currently owns the session.
    async fn owner(&self) -> Result<ProcessName, DemoError> {
        let session = self.caller.session(1, &self.session).await;
        let owner =
            session.map_err(during("reading the owner of the session"))?.owner.unwrap_or_default();
        let engines = self.fleet.names(ProcessKind::Engine);
        let engine = engines.into_iter().find(|name| name.id() == owner);
        Ok(engine
            .ok_or_else(|| FleetError::Unexpected(format!("the fleet has no engine {owner:?}")))?)
    }

    pub(super) async fn abort(&mut self) -> Result<String, DemoError> {
        let turn = self.next_turn("t5", "Count all sensors. [tokens 500]", 500);
        let started = self.caller.start_turn(1, &self.session, &turn).await;
        let mut stream = started.map_err(during("starting a long turn"))?;
        let mut transcript = Transcript::default();
        while transcript.events.len() < EVENTS_BEFORE_CLOSE {
            transcript.events.push(next(&mut stream).await?);
        }
        drop(stream);
        let aborted = self.caller.abort_turn(2, &self.session, &turn.turn).await;
        aborted.map_err(during("aborting a turn"))?;
        let followed = self.caller.follow_turn(2, &self.session, &turn, transcript).await;
        let transcript = followed.map_err(during("reading an aborted turn to its end"))?;
        ensure(transcript.end() == "aborted", || {
            format!("an aborted turn ended {}", transcript.end())
        })?;
        self.record(&turn, &transcript)?;
        Ok(format!("6. a turn of 500 tokens aborted after {}", transcript.tokens()))
    }

    /// Stops the owner as the platform does, unless the session has moved already because the owner
    /// was killed.
    pub(super) async fn move_owner(&mut self) -> Result<String, DemoError> {
        let before = self.owner().await?;
        let moved_by_kill = before.id() != self.first_owner;
        if !moved_by_kill {
            let clean = self.fleet.stop(before).await?;
            ensure(clean, || format!("{before} did not stop in its grace period"))?;
        }
        let turn = self.next_turn("t6", "Are you still there? [tokens 8]", 64);
        let transcript = self.run_turn(0, &turn).await?;
        ensure(transcript.end() == "finished", || {
            format!("the turn at the new owner ended {}", transcript.end())
        })?;
        let now = self.owner().await?;
        ensure(now.id() != self.first_owner, || {
            format!("{now} still owns the session though its process has exited")
        })?;
        let reason = if moved_by_kill { "was killed" } else { "stopped within its grace period" };
        Ok(format!("7. {} {reason}; the session continued at {now}", self.first_owner))
    }

    pub(super) async fn read_back_and_close(&mut self) -> Result<String, DemoError> {
        let joined = self.caller.join(3, &self.session, None).await;
        let mut joined = joined.map_err(during("reading back the history"))?;
        let sync = next(&mut joined).await?;
        let history = check_sync(&sync, &self.received_events)?;
        drop(joined);
        let closed = self.caller.close_session(1, &self.session).await;
        let closed = closed.map_err(during("closing the session"))?;
        ensure(closed.closed, || "a closed session is reported as open".to_owned())?;
        let late = self.next_turn("t7", "One more?", 64);
        let refused = self.caller.start_turn(2, &self.session, &late).await;
        let code = refused.as_ref().err().and_then(|error| error.code());
        ensure(code == Some("session_closed"), || format!("a turn after closing got {refused:?}"))?;
        Ok(format!("8. {history} events of history read back at the new owner; session closed"))
    }
}

/// The next event of a stream that has not reached its terminal event.
async fn next(stream: &mut EventStream) -> Result<StreamEvent, DemoError> {
    let event = stream.next().await.map_err(during("reading a stream"))?;
    event
        .ok_or_else(|| DemoError::CheckFailed("a stream ended without a terminal event".to_owned()))
}

/// Checks that a sync has no gaps and contains every event in `received_events` at its position;
/// returns the number of events in the sync.
fn check_sync(sync: &StreamEvent, received_events: &[StreamEvent]) -> Result<usize, DemoError> {
    ensure(sync.event == "sync", || {
        format!("the first event of a joined stream is {:?}, not a sync", sync.event)
    })?;
    let events = sync.data["events"].as_array().cloned().unwrap_or_default();
    for (index, event) in events.iter().enumerate() {
        ensure(event["id"] == index as u64 + 1, || format!("gap in a sync at {}", event["id"]))?;
    }
    for event in received_events {
        let expected = usize::try_from(event.id).ok().and_then(|id| events.get(id.checked_sub(1)?));
        let same = expected.is_some_and(|h| h["event"] == event.event && h["data"] == event.data);
        ensure(same, || format!("event {} is missing in a sync, or differs", event.id))?;
    }
    Ok(events.len())
}
