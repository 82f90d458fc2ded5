//! Steps of the demo around turns and streams.

use crate::caller::{EventStream, StreamEvent, Transcript, TurnRequest};
use crate::control::Target;
use crate::{FleetError, ProcessKind, ProcessName};

use super::{Demo, DemoError, during, promise};

/// Events read before a stream is dropped on purpose.
const READ_BEFORE_CUT: usize = 5;

impl Demo {
    /// Runs a turn to its end and keeps what came of it.
    pub(super) async fn run_turn(
        &mut self,
        gateway: usize,
        turn: &TurnRequest,
    ) -> Result<Transcript, DemoError> {
        let ran = self.caller.run_turn(gateway, &self.session, turn).await;
        let transcript = ran.map_err(during("a turn is streamed"))?;
        self.keep(turn, &transcript)?;
        Ok(transcript)
    }

    fn keep(&mut self, turn: &TurnRequest, transcript: &Transcript) -> Result<(), DemoError> {
        transcript.check(&turn.turn).map_err(during("a turn's events are checked"))?;
        self.head = Some(turn.turn.clone());
        self.tokens += transcript.tokens();
        self.seen.extend(transcript.events.iter().cloned());
        Ok(())
    }

    pub(super) async fn stream_and_join(&mut self) -> Result<String, DemoError> {
        let first = self.next_turn("t1", "Frost tonight. Vent or heat? [tokens 12]", 64);
        let first = self.run_turn(0, &first).await?;
        let joined = self.caller.join(2, &self.session, None).await;
        let mut joined = joined.map_err(during("a second caller joins"))?;
        let sync = next(&mut joined).await?;
        check_sync(&sync, &first.events)?;
        let second = self.next_turn("t2", "And at dawn? [tokens 12]", 64);
        let second = self.run_turn(1, &second).await?;
        let mut common = Vec::new();
        while common.len() < second.events.len() {
            common.push(next(&mut joined).await?);
        }
        promise(common == second.events, || {
            "the joined caller's stream differs from the turn's own".to_owned()
        })?;
        Ok(format!(
            "2. two turns through two gateways ({} and {} tokens); a third gateway's caller got one sync, then the same {} events",
            first.tokens(),
            second.tokens(),
            common.len()
        ))
    }

    pub(super) async fn cut_and_resume(
        &mut self,
        say: &(dyn Fn(String) + Sync),
    ) -> Result<String, DemoError> {
        let turn = self.next_turn("t3", "Explain at length. [tokens 80]", 128);
        let begun = self.caller.begin_turn(0, &self.session, &turn).await;
        let mut stream = begun.map_err(during("a turn is begun"))?;
        let mut transcript = Transcript::default();
        while transcript.events.len() < READ_BEFORE_CUT {
            transcript.events.push(next(&mut stream).await?);
        }
        drop(stream);
        if let Some(target) = self.kill {
            let name = self.resolve(target).await?;
            self.fleet.kill(name)?;
            self.killed = Some(name);
            say(format!("   killed {name} in the middle of a turn"));
        }
        let followed = self.caller.follow_turn(1, &self.session, &turn, transcript).await;
        let transcript = followed.map_err(during("a cut stream is resumed"))?;
        let may_be_interrupted = self
            .killed
            .is_some_and(|name| matches!(name.kind, ProcessKind::Engine | ProcessKind::Model));
        let whole = transcript.end() == "finished" && transcript.tokens() == 80;
        promise(whole || may_be_interrupted && transcript.end() != "cut", || {
            format!("the turn ended {} after {} tokens", transcript.end(), transcript.tokens())
        })?;
        self.keep(&turn, &transcript)?;
        self.read_again(&turn, &transcript).await?;
        Ok(format!(
            "3. a stream cut after {READ_BEFORE_CUT} events and resumed at another gateway: {} events, none lost or repeated, {}",
            transcript.events.len(),
            transcript.end()
        ))
    }

    /// A turn's stream, read from its start at yet another gateway, must be the same.
    async fn read_again(
        &self,
        turn: &TurnRequest,
        transcript: &Transcript,
    ) -> Result<(), DemoError> {
        let again = self.caller.follow_turn(3, &self.session, turn, Transcript::default()).await;
        let again = again.map_err(during("a turn is read again"))?;
        promise(again.events == transcript.events, || {
            "a turn read again differs from its first reading".to_owned()
        })
    }

    async fn resolve(&self, target: Target) -> Result<ProcessName, DemoError> {
        match target {
            Target::Process(name) => Ok(name),
            Target::CoreLeader => Ok(self.fleet.core_leader().await?),
            Target::SessionOwner => self.owner().await,
        }
    }

    /// The engine that owns the session.
    async fn owner(&self) -> Result<ProcessName, DemoError> {
        let session = self.caller.session(1, &self.session).await;
        let owner = session.map_err(during("the owner is looked up"))?.owner.unwrap_or_default();
        let engines = self.fleet.names(ProcessKind::Engine);
        let found = engines.into_iter().find(|name| name.word() == owner);
        Ok(found.ok_or_else(|| FleetError::Unexpected(format!("no engine {owner:?} here")))?)
    }

    pub(super) async fn abort(&mut self) -> Result<String, DemoError> {
        let turn = self.next_turn("t5", "Count all sensors. [tokens 500]", 500);
        let begun = self.caller.begin_turn(1, &self.session, &turn).await;
        let mut stream = begun.map_err(during("a long turn is begun"))?;
        let mut transcript = Transcript::default();
        while transcript.events.len() < READ_BEFORE_CUT {
            transcript.events.push(next(&mut stream).await?);
        }
        drop(stream);
        let aborted = self.caller.abort_turn(2, &self.session, &turn.turn).await;
        aborted.map_err(during("a turn is aborted"))?;
        let followed = self.caller.follow_turn(2, &self.session, &turn, transcript).await;
        let transcript = followed.map_err(during("an aborted turn is read to its end"))?;
        promise(transcript.end() == "aborted", || {
            format!("an aborted turn ended {}", transcript.end())
        })?;
        self.keep(&turn, &transcript)?;
        Ok(format!("6. a turn of 500 tokens aborted after {}", transcript.tokens()))
    }

    /// Stops the owner as the platform does, unless a kill has moved the session already.
    pub(super) async fn move_owner(&mut self) -> Result<String, DemoError> {
        let before = self.owner().await?;
        let moved_by_kill = before.word() != self.first_owner;
        if !moved_by_kill {
            let clean = self.fleet.stop(before).await?;
            promise(clean, || format!("{before} did not stop in its grace period"))?;
        }
        let turn = self.next_turn("t6", "Are you still there? [tokens 8]", 64);
        let transcript = self.run_turn(0, &turn).await?;
        promise(transcript.end() == "finished", || {
            format!("the turn at the new owner ended {}", transcript.end())
        })?;
        let now = self.owner().await?;
        promise(now.word() != self.first_owner, || format!("{now} owns it though it has ended"))?;
        let how = if moved_by_kill { "was killed" } else { "stopped within its grace period" };
        Ok(format!("7. {} {how}; the session went on at {now}", self.first_owner))
    }

    pub(super) async fn read_back_and_close(&mut self) -> Result<String, DemoError> {
        let joined = self.caller.join(3, &self.session, None).await;
        let mut joined = joined.map_err(during("the history is read back"))?;
        let sync = next(&mut joined).await?;
        let history = check_sync(&sync, &self.seen)?;
        drop(joined);
        let closed = self.caller.close_session(1, &self.session).await;
        let closed = closed.map_err(during("the session is closed"))?;
        promise(closed.closed, || "a closed session says that it is open".to_owned())?;
        let late = self.next_turn("t7", "One more?", 64);
        let refused = self.caller.begin_turn(2, &self.session, &late).await;
        let code = refused.as_ref().err().and_then(|error| error.code());
        promise(code == Some("session_closed"), || {
            format!("a turn after closing got {refused:?}")
        })?;
        Ok(format!("8. {history} events of history read back at the new owner; session closed"))
    }
}

/// The next event of a stream that must go on.
async fn next(stream: &mut EventStream) -> Result<StreamEvent, DemoError> {
    let event = stream.next().await.map_err(during("a stream is read"))?;
    event.ok_or_else(|| DemoError::Promise("a stream ended without a terminal event".to_owned()))
}

/// A sync must hold every event that was seen, in place and without gaps; returns how many it holds.
fn check_sync(sync: &StreamEvent, seen: &[StreamEvent]) -> Result<usize, DemoError> {
    promise(sync.event == "sync", || format!("a joined stream began with {:?}", sync.event))?;
    let events = sync.data["events"].as_array().cloned().unwrap_or_default();
    for (place, event) in events.iter().enumerate() {
        promise(event["id"] == place as u64 + 1, || format!("gap in a sync at {}", event["id"]))?;
    }
    for event in seen {
        let held = usize::try_from(event.id).ok().and_then(|id| events.get(id.checked_sub(1)?));
        let same = held.is_some_and(|h| h["event"] == event.event && h["data"] == event.data);
        promise(same, || format!("event {} is missing in a sync, or differs", event.id))?;
    }
    Ok(events.len())
}
