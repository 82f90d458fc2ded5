//! Two engines, the shard, callers behind two gateways, and what is on its way between them.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::LazyLock;
use std::time::{Duration, Instant};

use hooklug_session::{
    Answer, ClientId, ClientItem, CommitId, Effect, GenerationId, LoadedSession, Message, ModelEnd,
    ModelEvent, Moment, ReplyId, Session, SessionConfig, SessionRefusal, TurnRequest,
};
use hooklug_state::StateMachine;
use hooklug_state::shard::{
    Event, EventBody, OpenSession, PutProgram, SessionRecord, ShardAnswer, ShardCommand,
    ShardMachine, ShardQuery, ShardRefusal, ShardReply, TakeSession,
};
use hooklug_types::{
    Digest, EngineIncarnation, EventSeq, Incarnation, ProgramId, Renewal, SessionEpoch, SessionId,
    SessionKey, TenantId, TokenCount, TurnId, UnixMillis,
};

/// The one instant at which everything happens; a lease that has run out ends now.
static NOW: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Rules broken on purpose, to see that the search reports it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Rules {
    /// Events go to clients when their commit is sent.
    pub release_before_commit: bool,
    /// A session is taken although its owner's lease is held.
    pub take_without_expiry: bool,
    /// After a lost answer the events are appended anew, behind what may be there already.
    pub renumber_repeats: bool,
}

/// One thing that a caller wants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Run a turn to its end.
    Turn(&'static str),
    /// Tell the result of a tool call.
    Tool(&'static str),
    /// Abort a turn that another caller runs.
    Abort(&'static str),
    /// Follow the session until a turn has ended.
    Join(&'static str),
}

/// A small case.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Each caller's session and what it wants, one after the other; each behind a gateway of its own.
    pub callers: Vec<(&'static str, Vec<Step>)>,
    /// Leases that may run out.
    pub lapses: u8,
    /// Hand-overs that an engine may be asked for.
    pub hand_overs: u8,
    /// Messages that may be lost, late or repeated, connections that may break.
    pub faults: u8,
    /// Tokens that the model says a turn.
    pub tokens: u64,
    /// Token budget of the program.
    pub budget: u64,
    pub rules: Rules,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            callers: Vec::new(),
            lapses: 0,
            hand_overs: 0,
            faults: 0,
            tokens: 2,
            budget: 100,
            rules: Rules::default(),
        }
    }
}

/// Something that happens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// A message on its way arrives.
    Deliver(usize),
    /// A request is lost; its sender learns nothing.
    LoseRequest(usize),
    /// A request is applied, its answer is lost.
    LoseAnswer(usize),
    /// A request is late: its sender gives up first, then it arrives.
    Delay(usize),
    /// A request or reply arrives and arrives again later.
    Repeat(usize),
    /// The model says the next thing in a generation.
    Say(usize, GenerationId),
    /// The model's answer is cut.
    Cut(usize, GenerationId),
    /// A generation that was stopped says one thing more.
    SayLate(usize, GenerationId),
    /// An engine's lease runs out by its own clock.
    RunOut(usize),
    /// An engine's loops learn that its lease has run out.
    Notice(usize),
    /// The shard expires the lease of an engine.
    Expire(usize),
    /// An engine is asked to hand its sessions over.
    HandOver(usize),
    /// A caller connects to the session's owner, or has an engine take the session.
    Connect(usize, usize),
    /// A caller's connection breaks; so many of the last pieces never arrived.
    Break(usize, usize),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Wire {
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

#[derive(Debug, Clone)]
struct Generation {
    id: GenerationId,
    instance: u8,
    session: SessionId,
    said: u64,
    stopped: bool,
}

#[derive(Debug, Clone)]
struct EngineModel {
    name: EngineIncarnation,
    loops: BTreeMap<SessionId, (u8, Session)>,
    generations: Vec<Generation>,
    run_out: bool,
    last_instance: u8,
}

#[derive(Debug, Clone)]
struct Caller {
    session: SessionId,
    steps: Vec<Step>,
    /// Engine that it is connected to, or waits for an answer from.
    connected: Option<usize>,
    /// Grows with every broken connection, so that what is late for an old one is told apart.
    line: u64,
    /// Events of the present step, by batch as they arrived.
    batches: Vec<Vec<Event>>,
    /// The ledger when budget was refused as reserved; asked again only once it has changed.
    refused_at: Option<(u64, u64)>,
}

#[derive(Debug, Clone)]
pub struct World {
    shard: ShardMachine,
    engines: Vec<EngineModel>,
    callers: Vec<Caller>,
    wires: Vec<Wire>,
    lapses: u8,
    hand_overs: u8,
    faults: u8,
    tokens: u64,
    budget: u64,
    rules: Rules,
}

type Checked = Result<(), String>;

fn program() -> ProgramId {
    ProgramId::new("p1").expect("valid")
}

fn key(session: &SessionId) -> SessionKey {
    SessionKey { program: program(), session: session.clone() }
}

fn turn_id(name: &str) -> TurnId {
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

    pub fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        for (place, wire) in self.wires.iter().enumerate() {
            actions.push(Action::Deliver(place));
            if self.faults == 0 {
                continue;
            }
            match wire {
                Wire::Request { .. } => actions.extend([
                    Action::LoseRequest(place),
                    Action::LoseAnswer(place),
                    Action::Delay(place),
                    Action::Repeat(place),
                ]),
                Wire::Take { .. } => {
                    actions.extend([
                        Action::LoseRequest(place),
                        Action::LoseAnswer(place),
                        Action::Delay(place),
                    ]);
                }
                Wire::Reply { .. } => actions.push(Action::Repeat(place)),
                _ => {}
            }
        }
        for (engine, model) in self.engines.iter().enumerate() {
            self.engine_actions(engine, model, &mut actions);
        }
        for (number, caller) in self.callers.iter().enumerate() {
            self.caller_actions(number, caller, &mut actions);
        }
        actions
    }

    fn engine_actions(&self, engine: usize, model: &EngineModel, actions: &mut Vec<Action>) {
        for generation in &model.generations {
            if !generation.stopped {
                actions.push(Action::Say(engine, generation.id));
                if self.faults > 0 {
                    actions.push(Action::Cut(engine, generation.id));
                }
            } else if self.faults > 0 {
                actions.push(Action::SayLate(engine, generation.id));
            }
        }
        if !model.run_out && self.lapses > 0 {
            actions.push(Action::RunOut(engine));
        }
        if model.run_out && !model.loops.is_empty() {
            actions.push(Action::Notice(engine));
        }
        if model.run_out && !self.has_expired(&model.name) {
            actions.push(Action::Expire(engine));
        }
        if self.hand_overs > 0 && !model.loops.is_empty() {
            actions.push(Action::HandOver(engine));
        }
    }

    fn caller_actions(&self, number: usize, caller: &Caller, actions: &mut Vec<Action>) {
        if caller.steps.is_empty() {
            return;
        }
        if caller.connected.is_some() {
            if self.faults > 0 {
                actions.push(Action::Break(number, 0));
                if !caller.batches.is_empty() {
                    actions.push(Action::Break(number, 1));
                }
            }
            return;
        }
        if caller.refused_at == Some(self.ledger()) {
            return;
        }
        let record = self.record(&caller.session);
        let is_moving = self.wires.iter().any(|w| match w {
            Wire::Take { record, .. } | Wire::Load { record, .. } => {
                record.key.session == caller.session
            }
            _ => false,
        });
        for engine in 0..self.engines.len() {
            let name = &self.engines[engine].name;
            let owns = record.owner.as_ref() == Some(name);
            let may_take = !self.engines[engine].run_out
                && record.owner.as_ref().is_none_or(|o| self.may_be_taken_from(o));
            if owns || (may_take && !is_moving) {
                actions.push(Action::Connect(number, engine));
            }
        }
    }

    fn may_be_taken_from(&self, owner: &EngineIncarnation) -> bool {
        self.has_expired(owner) || self.rules.take_without_expiry
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

    fn tell(&mut self, engine: usize, session: &SessionId, message: Message) -> Checked {
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

    fn carry_out(
        &mut self,
        engine: usize,
        instance: u8,
        session: &SessionId,
        effect: Effect,
    ) -> Checked {
        match effect {
            Effect::Commit { commit, command } => {
                let command = self.perhaps_renumbered(command);
                if self.rules.release_before_commit {
                    self.release_early(session, &command)?;
                }
                let session = session.clone();
                self.wires.push(Wire::Request { engine, instance, session, commit, command });
                Ok(())
            }
            Effect::RequestSlot { ticket, .. } => {
                self.tell(engine, session, Message::SlotGranted { ticket })
            }
            Effect::StartGeneration { generation, .. } => {
                let session = session.clone();
                let generation =
                    Generation { id: generation, instance, session, said: 0, stopped: false };
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
            Effect::LookUpTurn { look_up, turn } => {
                let query = ShardQuery::Turn { key: key(session), turn };
                let ShardAnswer::Turn(record) = self.shard.answer(&query) else { return Ok(()) };
                self.tell(engine, session, Message::TurnLookedUp { look_up, record })
            }
            Effect::Send { client, item } => self.receive(session, client, item),
            Effect::Reply { reply, answer } => self.answered(reply, answer),
            Effect::EndClient { client } => {
                if let Some(number) = self.caller_of(client.0) {
                    self.callers[number].connected = None;
                }
                Ok(())
            }
            Effect::ReleaseSlot { .. } | Effect::Ended(_) => Ok(()),
        }
    }

    fn perhaps_renumbered(&self, command: ShardCommand) -> ShardCommand {
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

    fn release_early(&mut self, session: &SessionId, command: &ShardCommand) -> Checked {
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

    /// The caller with a client or reply id, if the id is not of a connection that broke.
    fn caller_of(&self, id: u64) -> Option<usize> {
        (0..self.callers.len()).find(|n| self.callers[*n].client(*n).0 == id)
    }

    fn receive(&mut self, session: &SessionId, client: ClientId, item: ClientItem) -> Checked {
        let events = match item {
            ClientItem::Events(events) => events,
            ClientItem::Sync { history, .. } => history,
            ClientItem::Accepted(_) => return Ok(()),
            ClientItem::Refused(refusal) => return self.refused(client, &refusal),
        };
        let log = self.log(session);
        for event in &events {
            if log.get(event.seq.0 as usize - 1) != Some(event) {
                return Err(format!("released, but not committed: {event:?}"));
            }
        }
        match self.caller_of(client.0) {
            Some(number) => self.callers[number].take_events(events, &log),
            None => Ok(()),
        }
    }

    fn refused(&mut self, client: ClientId, refusal: &SessionRefusal) -> Checked {
        let Some(number) = self.caller_of(client.0) else { return Ok(()) };
        let (spent, reserved) = self.ledger();
        match refusal {
            SessionRefusal::Ledger(ShardRefusal::BudgetSpent) if spent == self.budget => {
                self.callers[number].next_step();
                Ok(())
            }
            SessionRefusal::Ledger(ShardRefusal::BudgetReserved) => {
                self.callers[number].refused_at = Some((spent, reserved));
                Ok(())
            }
            SessionRefusal::Ledger(other) => Err(format!("wrongly refused: {other:?}")),
            _ => Ok(()),
        }
    }

    fn answered(&mut self, reply: ReplyId, answer: Result<Answer, SessionRefusal>) -> Checked {
        let Some(number) = self.caller_of(reply.0) else { return Ok(()) };
        let session = self.callers[number].session.clone();
        let log = self.log(&session);
        let caller = &mut self.callers[number];
        caller.connected = None;
        match (caller.steps.first(), answer) {
            (Some(Step::Tool(name)), Ok(Answer::ToolResult(seq))) => {
                let there = log.get(seq.0 as usize - 1).map(|e| &e.body);
                if !matches!(there, Some(EventBody::ToolResult { call, .. }) if call == name) {
                    return Err(format!("no result of {name} at {seq}"));
                }
                caller.next_step();
            }
            (Some(Step::Abort(name)), Ok(Answer::Turn(record))) => {
                let ended = log.iter().any(|e| {
                    e.turn == Some(turn_id(name)) && matches!(e.body, EventBody::TurnEnded { .. })
                });
                if !ended || record.turn != turn_id(name) {
                    return Err(format!("{name} is said to be over: {record:?}"));
                }
                caller.next_step();
            }
            // The turn may not have been asked for yet: only the shard can tell, and the caller gives up.
            (Some(Step::Abort(_)), Err(SessionRefusal::UnknownTurn)) => caller.next_step(),
            (_, Err(SessionRefusal::Ledger(refusal))) => {
                return Err(format!("wrongly refused: {refusal:?}"));
            }
            _ => {}
        }
        Ok(())
    }

    /// Each turn's committed text is the beginning of what the model said, and each result stands once.
    fn check_logs(&self) -> Checked {
        for session in self.sessions() {
            let log = self.log(session);
            let results = log.iter().filter(|e| matches!(e.body, EventBody::ToolResult { .. }));
            if results.count() > 1 {
                return Err("a tool result stands twice".to_owned());
            }
            let mut said: BTreeMap<&TurnId, usize> = BTreeMap::new();
            for event in &log {
                let (EventBody::Tokens { text, .. }, Some(turn)) = (&event.body, &event.turn)
                else {
                    continue;
                };
                let count = said.entry(turn).or_default();
                *count += 1;
                if *text != format!("w{count}") {
                    return Err(format!("not committed as the model said it: {event:?}"));
                }
            }
        }
        Ok(())
    }

    fn check_budget(&self) -> Checked {
        let (spent, reserved) = self.ledger();
        let tokens = |e: &Event| match e.body {
            EventBody::Tokens { count, .. } => count.0,
            _ => 0,
        };
        let streamed: u64 =
            self.sessions().map(|s| self.log(s).iter().map(tokens).sum::<u64>()).sum();
        if streamed > self.budget || spent + reserved > self.budget {
            return Err(format!(
                "over budget: {streamed} streamed, {spent} spent, {reserved} reserved"
            ));
        }
        Ok(())
    }

    fn sessions(&self) -> impl Iterator<Item = &SessionId> {
        let all: std::collections::BTreeSet<_> = self.callers.iter().map(|c| &c.session).collect();
        all.into_iter()
    }

    fn ledger(&self) -> (u64, u64) {
        match self.shard.answer(&ShardQuery::Program(program())) {
            ShardAnswer::Program(Some(record)) => (record.spent.0, record.reserved.0),
            other => unreachable!("{other:?}"),
        }
    }

    fn record(&self, session: &SessionId) -> SessionRecord {
        match self.shard.answer(&ShardQuery::Session(key(session))) {
            ShardAnswer::Session(Some(record)) => record,
            other => unreachable!("{other:?}"),
        }
    }

    fn log(&self, session: &SessionId) -> Vec<Event> {
        let query = ShardQuery::Events { key: key(session), after: EventSeq(0), limit: 1_000 };
        match self.shard.answer(&query) {
            ShardAnswer::Events { events, .. } => events,
            other => unreachable!("{other:?}"),
        }
    }

    fn has_expired(&self, holder: &EngineIncarnation) -> bool {
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

impl Caller {
    fn new(session: &str, steps: &[Step]) -> Self {
        Self {
            session: session.parse().expect("valid"),
            steps: steps.to_vec(),
            connected: None,
            line: 0,
            batches: Vec::new(),
            refused_at: None,
        }
    }

    fn client(&self, number: usize) -> ClientId {
        ClientId(self.line * 10 + number as u64)
    }

    fn next_step(&mut self) {
        self.steps.remove(0);
        self.batches.clear();
        self.refused_at = None;
    }

    fn last_seen(&self) -> Option<EventSeq> {
        self.batches.iter().flatten().last().map(|e| e.seq)
    }

    /// What the caller asks for now.
    fn message(&self, number: usize) -> Message {
        let client = self.client(number);
        match self.steps.first() {
            Some(Step::Turn(name)) => Message::RunTurn {
                client,
                request: request(name),
                last_seen: self.last_seen().unwrap_or_default(),
            },
            Some(Step::Join(_)) => Message::Join { client, last_seen: self.last_seen() },
            Some(Step::Tool(call)) => Message::ToolResult {
                reply: ReplyId(client.0),
                call: (*call).to_owned(),
                result: "1".to_owned(),
            },
            Some(Step::Abort(name)) => {
                Message::Abort { reply: ReplyId(client.0), turn: turn_id(name) }
            }
            None => Message::Tick,
        }
    }

    /// Takes events that arrive and checks that none is missing, twice or out of its place.
    fn take_events(&mut self, events: Vec<Event>, log: &[Event]) -> Checked {
        let (turn, whole) = match self.steps.first() {
            Some(Step::Turn(name)) => (turn_id(name), false),
            Some(Step::Join(name)) => (turn_id(name), true),
            _ => return Ok(()),
        };
        let seen = self.last_seen().unwrap_or_default();
        let wanted = |e: &&Event| e.seq > seen && (whole || e.turn.as_ref() == Some(&turn));
        let due: Vec<&Event> = log.iter().filter(wanted).take(events.len()).collect();
        if due != events.iter().collect::<Vec<_>>() {
            return Err(format!("lost, repeated or spliced: got {events:?}, due {due:?}"));
        }
        let is_over = events.iter().any(|e| {
            e.turn.as_ref() == Some(&turn) && matches!(e.body, EventBody::TurnEnded { .. })
        });
        if is_over {
            self.next_step();
            self.connected = None;
        } else if !events.is_empty() {
            self.batches.push(events);
        }
        Ok(())
    }
}

/// A turn's request; each turn follows the one with the number before.
fn request(name: &str) -> TurnRequest {
    let number: u32 = name.trim_start_matches('t').parse().expect("t and a number");
    TurnRequest {
        turn: turn_id(name),
        after: (number > 1).then(|| turn_id(&format!("t{}", number - 1))),
        input: format!("input of {name}"),
        max_tokens: TokenCount(2),
        digest: Digest::of(name.as_bytes()),
        tenant: TenantId::new("dalatek").expect("valid"),
        group: None,
        urgent: false,
        deadline: *NOW + Duration::from_secs(100),
    }
}
