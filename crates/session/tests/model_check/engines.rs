//! The engines of the model: their session loops, generations and leases.

use std::collections::BTreeMap;
use std::time::Duration;

use hooklug_session::{
    GenerationId, LoadedSession, LoopTime, Message, ModelEnd, ModelEvent, Session, SessionConfig,
};
use hooklug_state::shard::{SessionRecord, ShardAnswer, ShardCommand, ShardMachine, ShardQuery};
use hooklug_types::{
    EngineIncarnation, EventSeq, Incarnation, SessionEpoch, SessionId, TokenCount,
};

use crate::world::{CheckResult, NOW, World};

/// A generation at an engine.
#[derive(Debug, Clone)]
pub struct Generation {
    pub id: GenerationId,
    pub instance: u8,
    pub session: SessionId,
    pub generated: u64,
    pub stopped: bool,
}

/// A session-host engine.
#[derive(Debug, Clone)]
pub struct EngineModel {
    pub name: EngineIncarnation,
    pub loops: BTreeMap<SessionId, (u8, Session)>,
    pub generations: Vec<Generation>,
    pub lease_expired: bool,
    pub last_instance: u8,
}

impl EngineModel {
    pub fn new(name: &str, shard: &mut ShardMachine) -> Self {
        let name =
            EngineIncarnation { engine: name.parse().expect("valid"), incarnation: Incarnation(1) };
        shard.apply_command(ShardCommand::RenewLease { holder: name.clone() });
        Self {
            name,
            loops: BTreeMap::new(),
            generations: Vec::new(),
            lease_expired: false,
            last_instance: 0,
        }
    }
}

impl World {
    /// Starts a loop for a session that the engine owns, if the record and the events that it reads
    /// are consistent.
    pub fn load(&mut self, engine: usize, seen: &SessionRecord) {
        let model = &mut self.engines[engine];
        let session = seen.key.session.clone();
        let holds = model.loops.contains_key(&session);
        if holds || model.lease_expired || seen.owner.as_ref() != Some(&model.name) || seen.closed {
            return;
        }
        let query = ShardQuery::Events { key: seen.key.clone(), after: EventSeq(0), limit: 1_000 };
        let ShardAnswer::Events { events, .. } = self.shard.answer(&query) else { return };
        if EventSeq(events.len() as u64 + 1) != seen.next_seq {
            return;
        }
        let loaded = LoadedSession {
            record: seen.clone(),
            history: events,
            program_end: *NOW + Duration::from_secs(1_000),
        };
        let config = SessionConfig { idle_timeout: Duration::from_secs(500) };
        model.last_instance += 1;
        let running = Session::new(loaded, config, *NOW);
        model.loops.insert(session.clone(), (model.last_instance, running));
        // No client is connected yet, so the first tick sends nothing.
        let _ = self.send(engine, &session, Message::Tick);
    }

    pub fn send_to_all(&mut self, engine: usize, message: &Message) -> CheckResult {
        let sessions: Vec<_> = self.engines[engine].loops.keys().cloned().collect();
        sessions.iter().try_for_each(|session| self.send(engine, session, message.clone()))
    }

    pub fn send_to_instance(
        &mut self,
        engine: usize,
        session: &SessionId,
        instance: u8,
        message: Message,
    ) -> CheckResult {
        let running_instance = self.engines[engine].loops.get(session).map(|(number, _)| *number);
        if running_instance == Some(instance) {
            self.send(engine, session, message)
        } else {
            Ok(())
        }
    }

    pub fn send(&mut self, engine: usize, session: &SessionId, message: Message) -> CheckResult {
        let model = &mut self.engines[engine];
        let lease_until = if model.lease_expired { *NOW } else { *NOW + Duration::from_secs(1) };
        let Some((instance, running)) = model.loops.get_mut(session) else { return Ok(()) };
        let instance = *instance;
        let (epoch, before) = (running.epoch(), running.record().next_seq);
        let effects = running.handle(message, LoopTime { now: *NOW, lease_until });
        let released_more = running.record().next_seq > before;
        if running.exit_reason().is_some() {
            model.loops.remove(session);
        }
        if released_more {
            self.check_is_owner(engine, session, epoch)?;
        }
        for effect in effects {
            self.apply_effect(engine, instance, session, effect)?;
        }
        Ok(())
    }

    /// Checks that only the owner releases an event for the first time. Any engine may send
    /// released events again.
    fn check_is_owner(
        &self,
        engine: usize,
        session: &SessionId,
        epoch: SessionEpoch,
    ) -> CheckResult {
        let record = self.record(session);
        let owner = &self.engines[engine].name;
        if record.owner.as_ref() == Some(owner) && record.epoch == epoch {
            Ok(())
        } else {
            Err(format!("events released by {owner}, which is not the owner: {record:?}"))
        }
    }

    pub fn generate(&mut self, engine: usize, id: GenerationId) -> CheckResult {
        let tokens = self.tokens;
        let generations = &mut self.engines[engine].generations;
        let Some(generation) = generations.iter_mut().find(|g| g.id == id) else { return Ok(()) };
        generation.generated += 1;
        let event = if generation.generated <= tokens {
            ModelEvent::Text { text: format!("w{}", generation.generated), tokens: TokenCount(1) }
        } else {
            ModelEvent::End(ModelEnd::Stop)
        };
        self.model_event(engine, id, event)
    }

    pub fn model_event(
        &mut self,
        engine: usize,
        id: GenerationId,
        event: ModelEvent,
    ) -> CheckResult {
        let generations = &mut self.engines[engine].generations;
        let Some(index) = generations.iter().position(|g| g.id == id) else { return Ok(()) };
        let Generation { instance, session, stopped, .. } = generations[index].clone();
        let is_last = stopped || !matches!(event, ModelEvent::Text { .. });
        if is_last {
            generations.remove(index);
        }
        let message = Message::Model { generation: id, event };
        self.send_to_instance(engine, &session, instance, message)
    }
}
