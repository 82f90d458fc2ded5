//! Two engines, the shard, callers behind two gateways, and what is on its way between them.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::LazyLock;
use std::time::{Duration, Instant};

use crate::actions::Action;
use crate::caller::Caller;
use crate::scenario::{Rules, Scenario};
use hooklug_session::{
    CommitId, GenerationId, LoadedSession, Message, ModelEnd, ModelEvent, Moment, Session,
    SessionConfig,
};
use hooklug_state::StateMachine;
use hooklug_state::shard::{
    Event, OpenSession, PutProgram, SessionRecord, ShardAnswer, ShardCommand, ShardMachine,
    ShardQuery, ShardReply, TakeSession,
};
use hooklug_types::{
    EngineIncarnation, EventSeq, Incarnation, ProgramId, Renewal, SessionEpoch, SessionId,
    SessionKey, TenantId, TokenCount, TurnId, UnixMillis,
};

/// The one instant at which everything happens; a lease that has run out ends now.
pub static NOW: LazyLock<Instant> = LazyLock::new(Instant::now);

/// A message on its way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Wire {
    Request {
        engine: usize,
        instance: u8,
        session: SessionId,
        commit: CommitId,
        command: ShardCommand,
    },
    Reply {
        engine: usize,
        instance: u8,
        session: SessionId,
        commit: CommitId,
        reply: ShardReply,
    },
    Uncertain {
        engine: usize,
        instance: u8,
        session: SessionId,
        commit: CommitId,
    },
    /// Nobody waits for its answer any more.
    Late {
        command: ShardCommand,
    },
    Call {
        caller: usize,
        engine: usize,
        message: Message,
    },
    Take {
        engine: usize,
        record: Box<SessionRecord>,
    },
    Load {
        engine: usize,
        record: Box<SessionRecord>,
    },
}

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

#[derive(Debug, Clone)]
pub struct World {
    pub shard: ShardMachine,
    pub engines: Vec<EngineModel>,
    pub callers: Vec<Caller>,
    pub wires: Vec<Wire>,
    pub lapses: u8,
    pub hand_overs: u8,
    pub faults: u8,
    pub tokens: u64,
    pub budget: u64,
    pub rules: Rules,
}

pub type Checked = Result<(), String>;

fn program() -> ProgramId {
    ProgramId::new("p1").expect("valid")
}

pub fn key(session: &SessionId) -> SessionKey {
    SessionKey { program: program(), session: session.clone() }
}

pub fn turn_id(name: &str) -> TurnId {
    TurnId::new(name).expect("valid")
}

impl World {
    pub fn new(scenario: &Scenario) -> Self {
        let mut shard = ShardMachine::new(Duration::from_secs(3_600));
        shard.apply_command(ShardCommand::PutProgram(PutProgram {
            program: program(),
            tenant: TenantId::new("dalatek").expect("valid"),
            group: None,
            token_budget: TokenCount(scenario.budget),
            end_time: UnixMillis(1_000_000),
        }));
        let engines = ["e1", "e2"].map(|name| EngineModel::new(name, &mut shard)).to_vec();
        let callers = scenario.callers.iter().map(|(session, steps)| Caller::new(session, steps));
        let mut world = Self {
            shard,
            engines,
            callers: callers.collect(),
            wires: Vec::new(),
            lapses: scenario.lapses,
            hand_overs: scenario.hand_overs,
            faults: scenario.faults,
            tokens: scenario.tokens,
            budget: scenario.budget,
            rules: scenario.rules,
        };
        world.open_sessions();
        world
    }

    /// Opens the callers' sessions, at the engines in turn.
    fn open_sessions(&mut self) {
        let mut sessions: Vec<SessionId> = self.callers.iter().map(|c| c.session.clone()).collect();
        sessions.dedup();
        for (place, session) in sessions.iter().enumerate() {
            let engine = place % self.engines.len();
            let reply = self.shard.apply_command(ShardCommand::OpenSession(OpenSession {
                key: key(session),
                owner: self.engines[engine].name.clone(),
                service: "advisor".parse().expect("valid"),
                version: "v1".parse().expect("valid"),
                prefix: None,
            }));
            let ShardReply::Session(record) = reply else { unreachable!("{reply:?}") };
            self.load(engine, &record);
        }
    }

    pub fn hash(&self) -> u128 {
        let mut wires: Vec<String> = self.wires.iter().map(|w| format!("{w:?}")).collect();
        wires.sort_unstable();
        let rest = (&self.engines, &self.callers);
        let text = format!("{rest:?}{wires:?}{:?}", (self.lapses, self.hand_overs, self.faults));
        let mut halves = [0_u64; 2];
        for (salt, half) in halves.iter_mut().enumerate() {
            let mut hasher = DefaultHasher::new();
            (salt, self.shard.digest(), &text).hash(&mut hasher);
            *half = hasher.finish();
        }
        (u128::from(halves[0]) << 64) | u128::from(halves[1])
    }

    pub fn is_finished(&self) -> bool {
        self.callers.iter().all(|c| c.steps.is_empty())
    }

    pub fn act(&mut self, action: &Action) -> Checked {
        match *action {
            Action::Deliver(place) => {
                let wire = self.wires.remove(place);
                self.deliver(wire)?;
            }
            Action::LoseRequest(place) => {
                let wire = self.wires.remove(place);
                self.give_up(&wire);
            }
            Action::LoseAnswer(place) => {
                let wire = self.wires.remove(place);
                self.apply(&wire);
                self.give_up(&wire);
            }
            Action::Delay(place) => {
                let wire = self.wires.remove(place);
                self.give_up(&wire);
                self.wires.push(Wire::Late { command: self.command_of(&wire) });
            }
            Action::Repeat(place) => {
                let wire = self.wires[place].clone();
                match &wire {
                    Wire::Request { .. } => {
                        let command = self.command_of(&wire);
                        self.wires[place] = Wire::Late { command };
                    }
                    _ => self.wires[place] = wire.clone(),
                }
                self.deliver(wire)?;
            }
            Action::Say(engine, id) | Action::SayLate(engine, id) => self.say(engine, id)?,
            Action::Cut(engine, id) => self.model_event(engine, id, ModelEvent::Cut)?,
            Action::RunOut(engine) => {
                self.engines[engine].run_out = true;
                self.lapses -= 1;
            }
            Action::Notice(engine) => self.tell_all(engine, &Message::LeaseLost)?,
            Action::Expire(engine) => {
                let holder = self.engines[engine].name.clone();
                let renewal = Renewal(1);
                self.shard.apply_command(ShardCommand::ExpireLease { holder, renewal });
            }
            Action::HandOver(engine) => {
                self.hand_overs -= 1;
                self.tell_all(engine, &Message::HandOver)?;
            }
            Action::Connect(caller, engine) => self.connect(caller, engine),
            Action::Break(caller, lost) => self.break_connection(caller, lost)?,
        }
        let is_fault = matches!(
            action,
            Action::LoseRequest(_)
                | Action::LoseAnswer(_)
                | Action::Delay(_)
                | Action::Repeat(_)
                | Action::Cut(..)
                | Action::SayLate(..)
                | Action::Break(..)
        );
        if is_fault {
            self.faults -= 1;
        }
        self.check_logs()?;
        self.check_budget()
    }

    fn deliver(&mut self, wire: Wire) -> Checked {
        match wire {
            Wire::Request { engine, instance, ref session, commit, .. } => {
                let reply = self.apply(&wire);
                let session = session.clone();
                self.wires.push(Wire::Reply { engine, instance, session, commit, reply });
                Ok(())
            }
            Wire::Reply { engine, instance, session, commit, reply } => {
                self.tell_instance(engine, &session, instance, Message::Committed { commit, reply })
            }
            Wire::Uncertain { engine, instance, session, commit } => {
                self.tell_instance(engine, &session, instance, Message::CommitUncertain { commit })
            }
            Wire::Late { .. } => {
                self.apply(&wire);
                Ok(())
            }
            Wire::Call { caller, engine, message } => self.arrive(caller, engine, message),
            Wire::Take { engine, .. } => {
                if let ShardReply::Session(record) = self.apply(&wire) {
                    self.wires.push(Wire::Load { engine, record: Box::new(record) });
                }
                Ok(())
            }
            Wire::Load { engine, record } => {
                self.load(engine, &record);
                Ok(())
            }
        }
    }

    fn command_of(&self, wire: &Wire) -> ShardCommand {
        match wire {
            Wire::Request { command, .. } | Wire::Late { command } => command.clone(),
            Wire::Take { engine, record } => ShardCommand::TakeSession(TakeSession {
                key: record.key.clone(),
                expected_epoch: record.epoch,
                new_owner: self.engines[*engine].name.clone(),
                version: record.version.clone(),
            }),
            other => unreachable!("no command: {other:?}"),
        }
    }

    fn apply(&mut self, wire: &Wire) -> ShardReply {
        let command = self.command_of(wire);
        self.shard.apply_command(command)
    }

    /// The sender of a request learns that it may or may not have been applied.
    fn give_up(&mut self, wire: &Wire) {
        if let Wire::Request { engine, instance, session, commit, .. } = wire.clone() {
            self.wires.push(Wire::Uncertain { engine, instance, session, commit });
        }
    }

    /// Runs a loop for a session that the engine owns, if what it reads fits together.
    fn load(&mut self, engine: usize, seen: &SessionRecord) {
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

    fn tell_all(&mut self, engine: usize, message: &Message) -> Checked {
        let sessions: Vec<_> = self.engines[engine].loops.keys().cloned().collect();
        sessions.iter().try_for_each(|session| self.tell(engine, session, message.clone()))
    }

    fn tell_instance(
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

    fn say(&mut self, engine: usize, id: GenerationId) -> Checked {
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

    fn model_event(&mut self, engine: usize, id: GenerationId, event: ModelEvent) -> Checked {
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

    fn connect(&mut self, number: usize, engine: usize) {
        let record = self.record(&self.callers[number].session);
        let owns = record.owner.as_ref() == Some(&self.engines[engine].name);
        let holds = self.engines[engine].loops.contains_key(&record.key.session);
        if !owns {
            self.wires.push(Wire::Take { engine, record: Box::new(record) });
        } else if !holds && !self.engines[engine].run_out {
            // An earlier answer was lost: the engine takes up what is its own.
            self.load(engine, &record);
        } else {
            let message = self.callers[number].message(number);
            self.callers[number].connected = Some(engine);
            self.wires.push(Wire::Call { caller: number, engine, message });
        }
    }

    fn arrive(&mut self, number: usize, engine: usize, message: Message) -> Checked {
        let session = self.callers[number].session.clone();
        let is_old = message != self.callers[number].message(number)
            || self.callers[number].connected != Some(engine);
        if !self.engines[engine].loops.contains_key(&session) && !is_old {
            self.callers[number].connected = None;
            return Ok(());
        }
        let left = match &message {
            Message::RunTurn { client, .. } | Message::Join { client, .. } if is_old => {
                Some(*client)
            }
            _ => None,
        };
        self.tell(engine, &session, message)?;
        match left {
            Some(client) => self.tell(engine, &session, Message::Leave { client }),
            None => Ok(()),
        }
    }

    fn break_connection(&mut self, number: usize, lost: usize) -> Checked {
        let client = self.callers[number].client(number);
        let session = self.callers[number].session.clone();
        let engine = self.callers[number].connected.take();
        let caller = &mut self.callers[number];
        caller.line += 1;
        caller.batches.truncate(caller.batches.len().saturating_sub(lost));
        match engine {
            Some(engine) => self.tell(engine, &session, Message::Leave { client }),
            None => Ok(()),
        }
    }

    pub fn ledger(&self) -> (u64, u64) {
        match self.shard.answer(&ShardQuery::Program(program())) {
            ShardAnswer::Program(Some(record)) => (record.spent.0, record.reserved.0),
            other => unreachable!("{other:?}"),
        }
    }

    pub fn record(&self, session: &SessionId) -> SessionRecord {
        match self.shard.answer(&ShardQuery::Session(key(session))) {
            ShardAnswer::Session(Some(record)) => record,
            other => unreachable!("{other:?}"),
        }
    }

    pub fn log(&self, session: &SessionId) -> Vec<Event> {
        let query = ShardQuery::Events { key: key(session), after: EventSeq(0), limit: 1_000 };
        match self.shard.answer(&query) {
            ShardAnswer::Events { events, .. } => events,
            other => unreachable!("{other:?}"),
        }
    }

    pub fn has_expired(&self, holder: &EngineIncarnation) -> bool {
        let answer = self.shard.answer(&ShardQuery::Lease(holder.clone()));
        matches!(answer, ShardAnswer::Lease(Some(lease)) if lease.expired)
    }
}

impl EngineModel {
    fn new(name: &str, shard: &mut ShardMachine) -> Self {
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
