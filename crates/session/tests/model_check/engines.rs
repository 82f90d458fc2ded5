//! The engines: their loops, their runs of the model, and the lease that lets them act.

use std::collections::BTreeMap;
use std::time::Duration;

use hooklug_session::{
    GenerationId, LoadedSession, Message, ModelEnd, ModelEvent, Moment, Session, SessionConfig,
};
use hooklug_state::shard::{SessionRecord, ShardAnswer, ShardCommand, ShardMachine, ShardQuery};
use hooklug_types::{
    EngineIncarnation, EventSeq, Incarnation, SessionEpoch, SessionId, TokenCount,
};

use crate::world::{Checked, NOW, World};

/// A run of the model.
#[derive(Debug, Clone)]
pub struct Generation {
    pub id: GenerationId,
    pub instance: u8,
    pub session: SessionId,
    pub said: u64,
    pub stopped: bool,
}

/// An engine.
#[derive(Debug, Clone)]
pub struct EngineModel {
    pub name: EngineIncarnation,
    pub loops: BTreeMap<SessionId, (u8, Session)>,
    pub generations: Vec<Generation>,
    pub run_out: bool,
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
            run_out: false,
            last_instance: 0,
        }
    }
}

impl World {
    /// Runs a loop for a session that the engine owns, if what it reads fits together.
    pub fn load(&mut self, engine: usize, seen: &SessionRecord) {
        let model = &mut self.engines[engine];
        let session = seen.key.session.clone();
        let holds = model.loops.contains_key(&session);
        if holds || model.run_out || seen.owner.as_ref() != Some(&model.name) || seen.closed {
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
        let config = SessionConfig { unconnected_keep: Duration::from_secs(500) };
        model.last_instance += 1;
        let running = Session::new(loaded, config, *NOW);
        model.loops.insert(session.clone(), (model.last_instance, running));
        // Nobody is connected yet, so a first tick sends nothing to anyone.
        let _ = self.tell(engine, &session, Message::Tick);
    }

    pub fn tell_all(&mut self, engine: usize, message: &Message) -> Checked {
        let sessions: Vec<_> = self.engines[engine].loops.keys().cloned().collect();
        sessions.iter().try_for_each(|session| self.tell(engine, session, message.clone()))
    }

    pub fn tell_instance(
        &mut self,
        engine: usize,
        session: &SessionId,
        instance: u8,
        message: Message,
    ) -> Checked {
        let there = self.engines[engine].loops.get(session).map(|(number, _)| *number);
        if there == Some(instance) { self.tell(engine, session, message) } else { Ok(()) }
    }

    pub fn tell(&mut self, engine: usize, session: &SessionId, message: Message) -> Checked {
        let model = &mut self.engines[engine];
        let lease_until = if model.run_out { *NOW } else { *NOW + Duration::from_secs(1) };
        let Some((instance, running)) = model.loops.get_mut(session) else { return Ok(()) };
        let instance = *instance;
        let (epoch, before) = (running.epoch(), running.record().next_seq);
        let effects = running.handle(message, Moment { now: *NOW, lease_until });
        let released_more = running.record().next_seq > before;
        if running.ending().is_some() {
            model.loops.remove(session);
        }
        if released_more {
            self.check_is_owner(engine, session, epoch)?;
        }
        for effect in effects {
            self.carry_out(engine, instance, session, effect)?;
        }
        Ok(())
    }

    /// Only the owner releases events for the first time; what is released may be shown again by anyone.
    fn check_is_owner(&self, engine: usize, session: &SessionId, epoch: SessionEpoch) -> Checked {
        let record = self.record(session);
        let owner = &self.engines[engine].name;
        if record.owner.as_ref() == Some(owner) && record.epoch == epoch {
            Ok(())
        } else {
            Err(format!("events released by {owner}, which is not the owner: {record:?}"))
        }
    }

    pub fn say(&mut self, engine: usize, id: GenerationId) -> Checked {
        let tokens = self.tokens;
        let generations = &mut self.engines[engine].generations;
        let Some(generation) = generations.iter_mut().find(|g| g.id == id) else { return Ok(()) };
        generation.said += 1;
        let event = if generation.said <= tokens {
            ModelEvent::Text { text: format!("w{}", generation.said), tokens: TokenCount(1) }
        } else {
            ModelEvent::End(ModelEnd::Stop)
        };
        self.model_event(engine, id, event)
    }

    pub fn model_event(&mut self, engine: usize, id: GenerationId, event: ModelEvent) -> Checked {
        let generations = &mut self.engines[engine].generations;
        let Some(place) = generations.iter().position(|g| g.id == id) else { return Ok(()) };
        let Generation { instance, session, stopped, .. } = generations[place].clone();
        let is_last = stopped || !matches!(event, ModelEvent::Text { .. });
        if is_last {
            generations.remove(place);
        }
        let message = Message::Model { generation: id, event };
        self.tell_instance(engine, &session, instance, message)
    }
}
