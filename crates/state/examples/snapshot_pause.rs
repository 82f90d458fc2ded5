//! Measures how long a snapshot blocks a shard.
//!
//! `cargo run --release -p hooklug-state --example snapshot_pause`
//!
//! For shards of several sizes, it prints the time to encode the state, which would block the
//! thread that applies commands if that thread encoded the snapshot itself; the time to take a
//! frozen copy, which does block it; and the longest and the total time of one write to each
//! program while the copy is held, since such writes copy the data that they change.

use std::time::{Duration, Instant};

use hooklug_state::StateMachine;
use hooklug_state::shard::{
    BeginTurn, EventBody, OpenSession, PutProgram, ShardCommand, ShardMachine, ShardReply,
};
use hooklug_types::{
    Digest, EngineId, EngineIncarnation, EventSeq, Incarnation, ProgramId, ServiceName,
    ServiceVersion, SessionEpoch, SessionId, SessionKey, TenantId, TokenCount, TurnId, UnixMillis,
};

/// Number of programs, and number of one-token events of each program.
const SIZES: [(usize, u64); 5] =
    [(3_000, 0), (16_000, 50), (3_000, 1_000), (300, 10_000), (5, 600_000)];
/// Number of events per command.
const EVENTS_PER_COMMAND: u64 = 50;

fn main() {
    println!("programs events_each bytes encode_us freeze_us longest_write_us all_writes_us");
    for (programs, events) in SIZES {
        measure(programs, events);
    }
}

fn measure(programs: usize, events: u64) {
    let mut shard = ShardMachine::new(Duration::from_secs(86_400));
    for number in 0..programs {
        fill(&mut shard, &key(number), events);
    }
    let (bytes, encode) = timed(|| shard.snapshot().len());
    let (frozen, freeze) = timed(|| shard.freeze());
    let (mut longest, mut all) = (Duration::ZERO, Duration::ZERO);
    for number in 0..programs {
        let command = append(&key(number), events + 2, 1);
        let (_, time) = timed(|| apply(&mut shard, command));
        (longest, all) = (longest.max(time), all + time);
    }
    assert_eq!(frozen().len(), bytes, "the copy has not changed");
    let [encode, freeze, longest, all] = [encode, freeze, longest, all].map(|t| t.as_micros());
    println!("{programs:8} {events:11} {bytes} {encode} {freeze} {longest} {all}");
}

fn timed<T>(work: impl FnOnce() -> T) -> (T, Duration) {
    let started = Instant::now();
    let result = work();
    (result, started.elapsed())
}

fn key(number: usize) -> SessionKey {
    let program = ProgramId::new(format!("program-{number:08}")).expect("a name");
    SessionKey { program, session: SessionId::new("main").expect("a name") }
}

fn turn() -> TurnId {
    TurnId::new("turn-1").expect("a name")
}

/// Adds a program with a session, an open turn and its events.
fn fill(shard: &mut ShardMachine, key: &SessionKey, events: u64) {
    apply(
        shard,
        ShardCommand::PutProgram(PutProgram {
            program: key.program.clone(),
            tenant: TenantId::new("tenant").expect("a name"),
            group: None,
            token_budget: TokenCount(u64::MAX),
            end_time: UnixMillis(u64::MAX / 2),
        }),
    );
    let engine = EngineId::new("engine-1").expect("a name");
    apply(
        shard,
        ShardCommand::OpenSession(OpenSession {
            key: key.clone(),
            owner: EngineIncarnation { engine, incarnation: Incarnation(1) },
            service: ServiceName::new("model").expect("a name"),
            version: ServiceVersion::new("v1").expect("a name"),
            prefix: None,
        }),
    );
    apply(
        shard,
        ShardCommand::BeginTurn(BeginTurn {
            key: key.clone(),
            epoch: SessionEpoch(1),
            turn: turn(),
            after: None,
            digest: Digest::of(b"input"),
            input: "input".to_owned(),
            max_tokens: TokenCount(1 << 40),
        }),
    );
    for first in (0..events).step_by(EVENTS_PER_COMMAND as usize) {
        apply(shard, append(key, first + 2, EVENTS_PER_COMMAND.min(events - first)));
    }
}

fn append(key: &SessionKey, first: u64, count: u64) -> ShardCommand {
    let body = EventBody::Tokens { text: " token".to_owned(), count: TokenCount(1) };
    ShardCommand::AppendEvents {
        key: key.clone(),
        epoch: SessionEpoch(1),
        turn: Some(turn()),
        first_seq: EventSeq(first),
        bodies: vec![body; count as usize],
    }
}

fn apply(shard: &mut ShardMachine, command: ShardCommand) {
    let reply = shard.apply_command(command);
    assert!(!matches!(reply, ShardReply::Refused(_)), "{reply:?}");
}
