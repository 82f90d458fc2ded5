//! A state of the model: two engines, the shard, callers behind two gateways, and the messages in
//! transit.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::LazyLock;
use std::time::{Duration, Instant};

use hooklug_session::{Message, ModelEvent};
use hooklug_state::StateMachine;
use hooklug_state::shard::{
    Event, OpenSession, PutProgram, SessionRecord, ShardAnswer, ShardCommand, ShardMachine,
    ShardQuery, ShardReply,
};
use hooklug_types::{
    EngineIncarnation, EventSeq, ProgramId, Renewal, SessionId, SessionKey, TenantId, TokenCount,
    TurnId, UnixMillis,
};

use crate::actions::Action;
use crate::caller::Caller;
use crate::engines::EngineModel;
use crate::network::InTransit;
use crate::scenario::{Rules, Scenario};

/// The single instant at which everything happens; an expired lease ends at this instant.
pub static NOW: LazyLock<Instant> = LazyLock::new(Instant::now);

#[derive(Debug, Clone)]
pub struct World {
    pub shard: ShardMachine,
    pub engines: Vec<EngineModel>,
    pub callers: Vec<Caller>,
    pub in_transit: Vec<InTransit>,
    pub lease_expiries: u8,
    pub hand_overs: u8,
    pub faults: u8,
    pub tokens: u64,
    pub budget: u64,
    pub rules: Rules,
}

pub type CheckResult = Result<(), String>;

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
            in_transit: Vec::new(),
            lease_expiries: scenario.lease_expiries,
            hand_overs: scenario.hand_overs,
            faults: scenario.faults,
            tokens: scenario.tokens,
            budget: scenario.budget,
            rules: scenario.rules,
        };
        world.open_sessions();
        world
    }

    /// Opens the callers' sessions, distributed over the engines.
    fn open_sessions(&mut self) {
        let mut sessions: Vec<SessionId> = self.callers.iter().map(|c| c.session.clone()).collect();
        sessions.dedup();
        for (index, session) in sessions.iter().enumerate() {
            let engine = index % self.engines.len();
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
        let mut in_transit: Vec<String> =
            self.in_transit.iter().map(|w| format!("{w:?}")).collect();
        in_transit.sort_unstable();
        let rest = (&self.engines, &self.callers);
        let text = format!(
            "{rest:?}{in_transit:?}{:?}",
            (self.lease_expiries, self.hand_overs, self.faults)
        );
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

    pub fn apply_action(&mut self, action: &Action) -> CheckResult {
        match *action {
            Action::Deliver(index) => {
                let message = self.in_transit.remove(index);
                self.deliver(message)?;
            }
            Action::LoseRequest(index) => {
                let message = self.in_transit.remove(index);
                self.report_uncertain(&message);
            }
            Action::LoseAnswer(index) => {
                let message = self.in_transit.remove(index);
                self.apply(&message);
                self.report_uncertain(&message);
            }
            Action::Delay(index) => {
                let message = self.in_transit.remove(index);
                self.report_uncertain(&message);
                self.in_transit.push(InTransit::Late { command: self.command_of(&message) });
            }
            Action::Repeat(index) => {
                let message = self.in_transit[index].clone();
                match &message {
                    InTransit::Request { .. } => {
                        let command = self.command_of(&message);
                        self.in_transit[index] = InTransit::Late { command };
                    }
                    _ => self.in_transit[index] = message.clone(),
                }
                self.deliver(message)?;
            }
            Action::Generate(engine, id) | Action::GenerateLate(engine, id) => {
                self.generate(engine, id)?;
            }
            Action::Cut(engine, id) => self.model_event(engine, id, ModelEvent::Truncated)?,
            Action::LeaseTimeout(engine) => {
                self.engines[engine].lease_expired = true;
                self.lease_expiries -= 1;
            }
            Action::NotifyLeaseLost(engine) => self.send_to_all(engine, &Message::LeaseLost)?,
            Action::Expire(engine) => {
                let holder = self.engines[engine].name.clone();
                let renewal = Renewal(1);
                self.shard.apply_command(ShardCommand::ExpireLease { holder, renewal });
            }
            Action::HandOver(engine) => {
                self.hand_overs -= 1;
                self.send_to_all(engine, &Message::HandOver)?;
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
                | Action::GenerateLate(..)
                | Action::Break(..)
        );
        if is_fault {
            self.faults -= 1;
        }
        self.check_logs()?;
        self.check_budget()
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
