//! Properties over random command sequences: replicas agree, and a budget is never exceeded.

mod common;

use common::*;
use hooklug_state::shard::{
    EventBody, ShardAnswer, ShardCommand, ShardMachine, ShardQuery, TurnState,
};
use hooklug_state::{StateMachine, encode};
use hooklug_types::{CallOutcome, EndReason, EventSeq, Renewal};
use proptest::prelude::*;

const SESSIONS: [&str; 3] = ["s", "x", "y"];
const TURNS: [&str; 4] = ["t1", "t2", "t3", "t4"];
const ENGINES: [&str; 2] = ["e1", "e2"];

fn reasons() -> impl Strategy<Value = EndReason> {
    prop_oneof![Just(EndReason::Finished), Just(EndReason::Aborted)]
}

/// Session commands over few sessions, turns and epochs, so that many of them conflict.
fn session_commands() -> impl Strategy<Value = ShardCommand> {
    let session = || prop::sample::select(&SESSIONS[..]);
    let turn_name = || prop::sample::select(&TURNS[..]);
    let owner = || prop::sample::select(&ENGINES[..]);
    let epoch = || 1_u64..5;
    let after = || prop::option::of(prop::sample::select(&TURNS[..]));
    prop_oneof![
        (session(), owner()).prop_map(|(s, o)| open(s, o)),
        (session(), epoch(), owner()).prop_map(|(s, e, o)| take(s, e, o)),
        (session(), epoch(), turn_name(), after(), 0_u64..60)
            .prop_map(|(s, e, t, a, max)| begin_in(s, e, t, a, max)),
        (session(), epoch(), turn_name(), 1_u64..12, prop::collection::vec(0_u64..30, 0..4))
            .prop_map(|(s, e, t, from, counts)| {
                append_in(s, e, Some(t), from, counts.into_iter().map(tokens).collect())
            }),
        (session(), epoch(), turn_name(), reasons())
            .prop_map(|(s, e, t, reason)| finish_in(s, e, t, reason)),
        epoch().prop_map(hand_over),
        epoch().prop_map(close),
    ]
}

fn commands() -> impl Strategy<Value = ShardCommand> {
    let attempt_name = || prop::sample::select(&["a", "b"][..]);
    prop_oneof![
        8 => session_commands(),
        1 => Just(put_program(BUDGET)),
        1 => attempt_name().prop_map(|a| begin_call(a, "x")),
        1 => attempt_name().prop_map(|a| finish_call(a, answered("done"))),
        1 => attempt_name().prop_map(|a| finish_call(a, CallOutcome::Unknown)),
        1 => Just(seal_call("x")),
        1 => prop::sample::select(&ENGINES[..])
            .prop_map(|e| ShardCommand::RenewLease { holder: engine(e) }),
        1 => (prop::sample::select(&ENGINES[..]), 0_u64..3).prop_map(|(e, r)| {
            ShardCommand::ExpireLease { holder: engine(e), renewal: Renewal(r) }
        }),
        1 => (0_u64..3 * RETENTION_MS).prop_map(advance_clock),
    ]
}

/// Returns a shard in which all sessions are open, so that random commands are not just refused
/// with `NoSession`.
fn shard_with_open_sessions() -> ShardMachine {
    let mut shard = shard_with_session();
    for session in &SESSIONS[1..] {
        shard.apply_accepted(open(session, "e1"));
    }
    shard
}

fn events_of(shard: &ShardMachine, session: &str) -> Vec<hooklug_state::shard::Event> {
    let query = ShardQuery::Events { key: key(session), after: EventSeq(0), limit: u32::MAX };
    match shard.answer(&query) {
        ShardAnswer::Events { events, .. } => events,
        other => panic!("{other:?}"),
    }
}

/// Checks the ledger against the events: `reserved` is the sum over open turns, and `spent` is the
/// number of tokens that ended turns streamed.
fn check_ledger(shard: &ShardMachine) {
    let ledger = shard.program_record();
    let (mut streamed, mut open_tokens, mut reserved) = (0, 0, 0);
    for session in SESSIONS {
        let events = events_of(shard, session);
        assert!(events.iter().map(|e| e.seq.0).eq(1..=events.len() as u64), "gap in {session}");
        let counts = events.iter().filter_map(|e| match &e.body {
            EventBody::Tokens { count, .. } => Some(count.0),
            _ => None,
        });
        streamed += counts.sum::<u64>();
        for name in TURNS {
            let query = ShardQuery::Turn { key: key(session), turn: turn(name) };
            let ShardAnswer::Turn(Some(record)) = shard.answer(&query) else { continue };
            assert!(record.tokens <= record.reserved);
            if record.state == TurnState::Open {
                reserved += record.reserved.0;
                open_tokens += record.tokens.0;
            }
        }
    }
    assert!(streamed <= ledger.token_budget.0, "streamed {streamed} of {}", ledger.token_budget);
    assert_eq!(ledger.reserved.0, reserved);
    assert_eq!(ledger.spent.0 + open_tokens, streamed);
    assert!(ledger.spent.0 + ledger.reserved.0 <= ledger.token_budget.0);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(512) })]

    #[test]
    fn replicas_agree_after_a_snapshot_restore(
        sequence in prop::collection::vec(commands(), 0..120),
        cut in 0_usize..120,
    ) {
        let (mut one, mut two) = (shard_with_open_sessions(), shard_with_open_sessions());
        for (index, command) in sequence.iter().enumerate() {
            if index == cut {
                let snapshot = two.snapshot();
                two = ShardMachine::new(RETENTION);
                two.restore(&snapshot).unwrap();
            }
            let bytes = encode(command);
            prop_assert_eq!(one.apply(&bytes).unwrap(), two.apply(&bytes).unwrap());
            prop_assert_eq!(one.digest(), two.digest());
        }
    }

    #[test]
    fn a_budget_is_never_overdrawn(sequence in prop::collection::vec(session_commands(), 0..200)) {
        let mut shard = shard_with_open_sessions();
        for command in sequence {
            shard.apply_command(command);
            check_ledger(&shard);
        }
    }

    #[test]
    fn a_resent_command_changes_nothing(sequence in prop::collection::vec(session_commands(), 0..80)) {
        let mut shard = shard_with_open_sessions();
        for command in sequence {
            let ownership = matches!(command, ShardCommand::TakeSession(_));
            let first = shard.apply_command(command.clone());
            let before = shard.digest();
            let second = shard.apply_command(command);
            prop_assert_eq!(before, shard.digest());
            if ownership {
                prop_assert_eq!(first, second);
            }
        }
    }
}

#[test]
fn malformed_bytes_are_refused_without_a_state_change() {
    let mut shard = shard_with_open_sessions();
    let before = shard.digest();
    assert!(shard.apply(&[0xff; 9]).is_err());
    assert!(shard.query(&[0xff; 9]).is_err());
    assert!(shard.restore(&[0xff; 9]).is_err());
    assert_eq!(before, shard.digest());
}
