//! Carries out the effects of session loops, and checks what callers receive.

use hooklug_session::{Answer, ClientId, ClientItem, Effect, Message, ReplyId, SessionRefusal};
use hooklug_state::shard::{Event, EventBody, ShardAnswer, ShardCommand, ShardQuery, ShardRefusal};
use hooklug_types::{EventSeq, SessionId};

use crate::engines::Generation;
use crate::network::InTransit;
use crate::scenario::Step;
use crate::world::{CheckResult, World, key, turn_id};

impl World {
    pub fn apply_effect(
        &mut self,
        engine: usize,
        instance: u8,
        session: &SessionId,
        effect: Effect,
    ) -> CheckResult {
        match effect {
            Effect::Commit { commit, command } => {
                let command = self.maybe_renumber(command);
                if self.rules.release_before_commit {
                    self.release_early(session, &command)?;
                }
                let session = session.clone();
                self.in_transit.push(InTransit::Request {
                    engine,
                    instance,
                    session,
                    commit,
                    command,
                });
                Ok(())
            }
            Effect::RequestSlot { ticket, .. } => {
                self.send(engine, session, Message::SlotGranted { ticket })
            }
            Effect::StartGeneration { generation, .. } => {
                let session = session.clone();
                let generation =
                    Generation { id: generation, instance, session, generated: 0, stopped: false };
                self.engines[engine].generations.push(generation);
                Ok(())
            }
            Effect::StopGeneration { generation } => {
                let mut all = self.engines[engine].generations.iter_mut();
                if let Some(stopped) = all.find(|g| g.id == generation && g.session == *session) {
                    stopped.stopped = true;
                }
                Ok(())
            }
            Effect::LookUpTurn { lookup, turn } => {
                let query = ShardQuery::Turn { key: key(session), turn };
                let ShardAnswer::Turn(record) = self.shard.answer(&query) else { return Ok(()) };
                self.send(engine, session, Message::LookupFinished { lookup, record })
            }
            Effect::Send { client, item } => self.receive(session, client, item),
            Effect::Reply { reply, answer } => self.handle_reply(reply, answer),
            Effect::EndClient { client } => {
                if let Some(number) = self.caller_of(client.0) {
                    self.callers[number].connected = None;
                }
                Ok(())
            }
            Effect::ReleaseSlot { .. } | Effect::Ended(_) => Ok(()),
        }
    }

    pub fn maybe_renumber(&self, command: ShardCommand) -> ShardCommand {
        match command {
            ShardCommand::AppendEvents { key, epoch, turn, bodies, .. }
                if self.rules.renumber_repeats =>
            {
                let first_seq = self.record(&key.session).next_seq;
                ShardCommand::AppendEvents { key, epoch, turn, first_seq, bodies }
            }
            command => command,
        }
    }

    pub fn release_early(&mut self, session: &SessionId, command: &ShardCommand) -> CheckResult {
        let ShardCommand::AppendEvents { turn, first_seq, bodies, .. } = command else {
            return Ok(());
        };
        let events = (first_seq.0..).zip(bodies).map(|(seq, body)| Event {
            seq: EventSeq(seq),
            turn: turn.clone(),
            body: body.clone(),
        });
        let events: Vec<Event> = events.collect();
        for number in 0..self.callers.len() {
            let client = self.callers[number].client(number);
            let item = ClientItem::Events(events.clone());
            self.receive(session, client, item)?;
        }
        Ok(())
    }

    /// Returns the caller with a client or reply id, unless the id belongs to a broken connection.
    pub fn caller_of(&self, id: u64) -> Option<usize> {
        (0..self.callers.len()).find(|n| self.callers[*n].client(*n).0 == id)
    }

    pub fn receive(
        &mut self,
        session: &SessionId,
        client: ClientId,
        item: ClientItem,
    ) -> CheckResult {
        let events = match item {
            ClientItem::Events(events) => events,
            ClientItem::Sync { history, .. } => history,
            ClientItem::Accepted(_) => return Ok(()),
            ClientItem::Refused(refusal) => return self.handle_refusal(client, &refusal),
        };
        let log = self.log(session);
        for event in &events {
            if log.get(event.seq.0 as usize - 1) != Some(event) {
                return Err(format!("released, but not committed: {event:?}"));
            }
        }
        match self.caller_of(client.0) {
            Some(number) => self.callers[number].receive_events(events, &log),
            None => Ok(()),
        }
    }

    pub fn handle_refusal(&mut self, client: ClientId, refusal: &SessionRefusal) -> CheckResult {
        let Some(number) = self.caller_of(client.0) else { return Ok(()) };
        let (spent, reserved) = self.ledger();
        match refusal {
            SessionRefusal::Shard(ShardRefusal::BudgetSpent) if spent == self.budget => {
                self.callers[number].next_step();
                Ok(())
            }
            SessionRefusal::Shard(ShardRefusal::BudgetReserved) => {
                self.callers[number].refused_at = Some((spent, reserved));
                Ok(())
            }
            SessionRefusal::Shard(other) => Err(format!("wrongly refused: {other:?}")),
            _ => Ok(()),
        }
    }

    pub fn handle_reply(
        &mut self,
        reply: ReplyId,
        answer: Result<Answer, SessionRefusal>,
    ) -> CheckResult {
        let Some(number) = self.caller_of(reply.0) else { return Ok(()) };
        let session = self.callers[number].session.clone();
        let log = self.log(&session);
        let caller = &mut self.callers[number];
        caller.connected = None;
        match (caller.steps.first(), answer) {
            (Some(Step::Tool(name)), Ok(Answer::ToolResult(seq))) => {
                let body = log.get(seq.0 as usize - 1).map(|e| &e.body);
                if !matches!(body, Some(EventBody::ToolResult { call, .. }) if call == name) {
                    return Err(format!("no result of {name} at {seq}"));
                }
                caller.next_step();
            }
            (Some(Step::Abort(name)), Ok(Answer::Turn(record))) => {
                let ended = log.iter().any(|e| {
                    e.turn == Some(turn_id(name)) && matches!(e.body, EventBody::TurnEnded { .. })
                });
                if !ended || record.turn != turn_id(name) {
                    return Err(format!("{name} is reported as ended, but is not: {record:?}"));
                }
                caller.next_step();
            }
            // The turn may not have been requested yet, which only the shard knows; the caller
            // gives up.
            (Some(Step::Abort(_)), Err(SessionRefusal::UnknownTurn)) => caller.next_step(),
            (_, Err(SessionRefusal::Shard(refusal))) => {
                return Err(format!("wrongly refused: {refusal:?}"));
            }
            _ => {}
        }
        Ok(())
    }
}
