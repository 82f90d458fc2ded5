//! Builders of commands with default values, shared by the tests.
#![allow(dead_code)] // each test file uses a different subset

use std::time::Duration;

use hooklug_state::shard::{
    BeginCall, BeginTurn, EventBody, FinishTurn, OpenSession, ProgramRecord, PutProgram,
    SessionRecord, ShardAnswer, ShardCommand, ShardMachine, ShardQuery, ShardRefusal, ShardReply,
    TakeSession, TurnGrant, TurnRecord,
};
use hooklug_types::{
    CallAttempt, CallId, CallOutcome, Digest, EndReason, EngineId, EngineIncarnation, EventSeq,
    Incarnation, ProgramId, RouteName, ServiceName, ServiceVersion, SessionEpoch, SessionId,
    SessionKey, TenantId, TokenCount, TurnId, UnixMillis,
};

pub const RETENTION: Duration = Duration::from_secs(100);
pub const RETENTION_MS: u64 = 100_000;
pub const PROGRAM_END: u64 = 1_000_000;
pub const BUDGET: u64 = 100;

pub fn program() -> ProgramId {
    ProgramId::new("p").unwrap()
}

pub fn key(session: &str) -> SessionKey {
    SessionKey { program: program(), session: SessionId::new(session).unwrap() }
}

pub fn turn(name: &str) -> TurnId {
    TurnId::new(name).unwrap()
}

pub fn engine(name: &str) -> EngineIncarnation {
    EngineIncarnation { engine: EngineId::new(name).unwrap(), incarnation: Incarnation(1) }
}

pub fn put_program(budget: u64) -> ShardCommand {
    ShardCommand::PutProgram(PutProgram {
        program: program(),
        tenant: TenantId::new("farm").unwrap(),
        group: None,
        token_budget: TokenCount(budget),
        end_time: UnixMillis(PROGRAM_END),
    })
}

pub fn open(session: &str, owner: &str) -> ShardCommand {
    ShardCommand::OpenSession(OpenSession {
        key: key(session),
        owner: engine(owner),
        service: ServiceName::new("advisor").unwrap(),
        version: ServiceVersion::new("v1").unwrap(),
        prefix: None,
    })
}

pub fn take(session: &str, expected: u64, owner: &str) -> ShardCommand {
    ShardCommand::TakeSession(TakeSession {
        key: key(session),
        expected_epoch: SessionEpoch(expected),
        new_owner: engine(owner),
        version: ServiceVersion::new("v2").unwrap(),
    })
}

pub fn begin(epoch: u64, name: &str, after: Option<&str>, max_tokens: u64) -> ShardCommand {
    begin_in("s", epoch, name, after, max_tokens)
}

pub fn begin_in(
    session: &str,
    epoch: u64,
    name: &str,
    after: Option<&str>,
    max_tokens: u64,
) -> ShardCommand {
    ShardCommand::BeginTurn(BeginTurn {
        key: key(session),
        epoch: SessionEpoch(epoch),
        turn: turn(name),
        after: after.map(turn),
        digest: Digest::of(format!("{name} {max_tokens}").as_bytes()),
        input: format!("input of {name}"),
        max_tokens: TokenCount(max_tokens),
    })
}

pub fn tokens(count: u64) -> EventBody {
    EventBody::Tokens { text: format!("{count} tokens"), count: TokenCount(count) }
}

pub fn result(call: &str, result: &str) -> EventBody {
    EventBody::ToolResult { call: call.to_owned(), result: result.to_owned() }
}

pub fn append(
    epoch: u64,
    turn_name: Option<&str>,
    first: u64,
    bodies: Vec<EventBody>,
) -> ShardCommand {
    append_in("s", epoch, turn_name, first, bodies)
}

pub fn append_in(
    session: &str,
    epoch: u64,
    turn_name: Option<&str>,
    first: u64,
    bodies: Vec<EventBody>,
) -> ShardCommand {
    ShardCommand::AppendEvents {
        key: key(session),
        epoch: SessionEpoch(epoch),
        turn: turn_name.map(turn),
        first_seq: EventSeq(first),
        bodies,
    }
}

pub fn finish(epoch: u64, name: &str) -> ShardCommand {
    finish_in("s", epoch, name, EndReason::Finished)
}

pub fn finish_in(session: &str, epoch: u64, name: &str, reason: EndReason) -> ShardCommand {
    ShardCommand::FinishTurn(FinishTurn {
        key: key(session),
        epoch: SessionEpoch(epoch),
        turn: turn(name),
        reason,
    })
}

pub fn hand_over(epoch: u64) -> ShardCommand {
    ShardCommand::HandOver { key: key("s"), epoch: SessionEpoch(epoch) }
}

pub fn close(epoch: u64) -> ShardCommand {
    ShardCommand::CloseSession { key: key("s"), epoch: SessionEpoch(epoch) }
}

pub fn call() -> CallId {
    CallId::new("c").unwrap()
}

pub fn attempt(name: &str) -> CallAttempt {
    CallAttempt::new(name).unwrap()
}

pub fn begin_call(attempt_name: &str, content: &str) -> ShardCommand {
    ShardCommand::BeginCall(BeginCall {
        program: program(),
        call: call(),
        attempt: attempt(attempt_name),
        digest: Digest::of(content.as_bytes()),
        route: RouteName::new("alarms").unwrap(),
    })
}

pub fn finish_call(attempt_name: &str, outcome: CallOutcome) -> ShardCommand {
    ShardCommand::FinishCall {
        program: program(),
        call: call(),
        attempt: attempt(attempt_name),
        outcome,
    }
}

pub fn seal_call(content: &str) -> ShardCommand {
    ShardCommand::SealCall {
        program: program(),
        call: call(),
        digest: Digest::of(content.as_bytes()),
    }
}

pub fn answered(text: &str) -> CallOutcome {
    CallOutcome::Answered { status: 200, body: text.as_bytes().to_vec() }
}

pub fn advance_clock(now: u64) -> ShardCommand {
    ShardCommand::AdvanceClock { now: UnixMillis(now) }
}

/// Returns a shard with the program and with session `s`, owned by `e1` under epoch 1.
pub fn shard_with_session() -> ShardMachine {
    let mut shard = ShardMachine::new(RETENTION);
    shard.apply_command(advance_clock(1_000));
    shard.apply_command(put_program(BUDGET));
    shard.apply_command(open("s", "e1"));
    shard
}

pub trait Commands {
    /// Applies a command and asserts that it is accepted.
    fn apply_accepted(&mut self, command: ShardCommand) -> ShardReply;
    /// Applies a command and asserts that it is refused and changes nothing, except for a recorded
    /// refusal.
    fn apply_refused(&mut self, command: ShardCommand) -> ShardRefusal;
    /// Applies a command twice and asserts that the second time does not change the state.
    fn apply_twice(&mut self, command: ShardCommand) -> (ShardReply, ShardReply);
    fn session(&self) -> SessionRecord;
    fn program_record(&self) -> ProgramRecord;
    fn turn_record(&self, name: &str) -> Option<TurnRecord>;
}

impl Commands for ShardMachine {
    fn apply_accepted(&mut self, command: ShardCommand) -> ShardReply {
        let shown = format!("{command:?}");
        let reply = self.apply_command(command);
        assert!(!matches!(reply, ShardReply::Refused(_)), "{shown}: {reply:?}");
        reply
    }

    fn apply_refused(&mut self, command: ShardCommand) -> ShardRefusal {
        let (program, session) = (self.program_record(), self.session());
        let reply = self.apply_command(command.clone());
        let ShardReply::Refused(refusal) = reply else { panic!("{command:?}: {reply:?}") };
        assert_eq!((program, session), (self.program_record(), self.session()));
        refusal
    }

    fn apply_twice(&mut self, command: ShardCommand) -> (ShardReply, ShardReply) {
        use hooklug_state::StateMachine;
        let first = self.apply_command(command.clone());
        let before = self.digest();
        let second = self.apply_command(command);
        assert_eq!(before, self.digest(), "a resend changed the state");
        (first, second)
    }

    fn session(&self) -> SessionRecord {
        match self.answer(&ShardQuery::Session(key("s"))) {
            ShardAnswer::Session(Some(record)) => record,
            other => panic!("{other:?}"),
        }
    }

    fn program_record(&self) -> ProgramRecord {
        match self.answer(&ShardQuery::Program(program())) {
            ShardAnswer::Program(Some(record)) => record,
            other => panic!("{other:?}"),
        }
    }

    fn turn_record(&self, name: &str) -> Option<TurnRecord> {
        match self.answer(&ShardQuery::Turn { key: key("s"), turn: turn(name) }) {
            ShardAnswer::Turn(record) => record,
            other => panic!("{other:?}"),
        }
    }
}

pub fn grant(reply: ShardReply) -> TurnGrant {
    match reply {
        ShardReply::Turn(grant) => grant,
        other => panic!("{other:?}"),
    }
}
