//! Chained sessions: trees of turns, budgets over all turns of a program, and change of ownership
//! with each turn.

mod common;

use bytes::Bytes;
use common::{advance_clock, key, program, turn};
use hooklug_state::StateMachine;
use hooklug_state::shard::{
    EndChainedTurn, ShardAnswer, ShardCommand, ShardMachine, ShardQuery, ShardRefusal, ShardReply,
    StartChainedTurn, StartedChainedTurn,
};
use hooklug_types::{NodeId, SessionEpoch, TokenCount};
use proptest::prelude::*;

const TIME_LIMIT_MS: u64 = 5_000;
const RETENTION_MS: u64 = 60_000;

fn start(session: &str, name: &str) -> StartChainedTurn {
    StartChainedTurn {
        key: key(session),
        turn: turn(name),
        host: NodeId(1),
        after: None,
        token_budget: Some(TokenCount(100)),
        max_tokens: TokenCount(40),
        input: Some(Bytes::from(format!("[{name} asks]"))),
        include_history: true,
        imported: None,
        time_limit_ms: TIME_LIMIT_MS,
        keep_ms: RETENTION_MS,
    }
}

fn after(session: &str, name: &str, earlier: &str) -> StartChainedTurn {
    StartChainedTurn { after: Some(turn(earlier)), ..start(session, name) }
}

fn end(session: &str, name: &str, epoch: u64, tokens: u64) -> EndChainedTurn {
    EndChainedTurn {
        key: key(session),
        turn: turn(name),
        epoch: SessionEpoch(epoch),
        tokens: TokenCount(tokens),
        output: Some(Bytes::from(format!("({name} says)"))),
    }
}

fn machine() -> ShardMachine {
    ShardMachine::new(common::RETENTION)
}

fn start_turn(shard: &mut ShardMachine, command: StartChainedTurn) -> StartedChainedTurn {
    match shard.apply_command(ShardCommand::StartChainedTurn(command)) {
        ShardReply::ChainedTurnStarted(started) => started,
        other => panic!("not started: {other:?}"),
    }
}

fn apply_refused(shard: &mut ShardMachine, command: ShardCommand) -> ShardRefusal {
    match shard.apply_command(command) {
        ShardReply::Refused(refusal) => refusal,
        other => panic!("not refused: {other:?}"),
    }
}

fn end_turn(shard: &mut ShardMachine, command: EndChainedTurn) {
    assert_eq!(shard.apply_command(ShardCommand::EndChainedTurn(command)), ShardReply::Done);
}

fn text(history: Option<Bytes>) -> String {
    String::from_utf8(history.expect("a history").to_vec()).expect("text")
}

#[test]
fn several_turns_can_continue_from_one_turn_with_separate_histories() {
    let mut shard = machine();
    let first = start_turn(&mut shard, start("s", "t1"));
    assert_eq!(first.history, None);
    end_turn(&mut shard, end("s", "t1", first.epoch.0, 10));
    let second = start_turn(&mut shard, after("s", "t2", "t1"));
    assert_eq!(text(second.history), "[t1 asks](t1 says)");
    end_turn(&mut shard, end("s", "t2", second.epoch.0, 10));
    // A sub-agent in its own session also continues from the first turn.
    let other = start_turn(&mut shard, after("x", "t3", "t1"));
    assert_eq!(text(other.history), "[t1 asks](t1 says)");
    let third = start_turn(&mut shard, after("s", "t4", "t2"));
    assert_eq!(text(third.history), "[t1 asks](t1 says)[t2 asks](t2 says)");
}

#[test]
fn a_turn_cannot_continue_from_an_open_interrupted_or_unknown_turn() {
    let mut shard = machine();
    let unknown = ShardCommand::StartChainedTurn(after("s", "t2", "t1"));
    assert_eq!(apply_refused(&mut shard, unknown.clone()), ShardRefusal::UnknownTurn);
    let first = start_turn(&mut shard, start("s", "t1"));
    // The turn has not ended yet.
    assert_eq!(apply_refused(&mut shard, unknown.clone()), ShardRefusal::UnknownTurn);
    let cut = EndChainedTurn { output: None, ..end("s", "t1", first.epoch.0, 10) };
    end_turn(&mut shard, cut);
    // The turn was interrupted, so its output is not retained.
    assert_eq!(apply_refused(&mut shard, unknown), ShardRefusal::UnknownTurn);
}

#[test]
fn a_later_turn_of_the_session_fences_the_earlier_one() {
    let mut shard = machine();
    let former = start_turn(&mut shard, start("s", "t1"));
    let present = start_turn(&mut shard, StartChainedTurn { host: NodeId(2), ..start("s", "t2") });
    assert!(present.epoch > former.epoch);
    let late = ShardCommand::EndChainedTurn(end("s", "t1", former.epoch.0, 10));
    assert_eq!(apply_refused(&mut shard, late.clone()), ShardRefusal::Superseded);
    assert_eq!(apply_refused(&mut shard, late), ShardRefusal::Superseded, "resent");
    let on = ShardCommand::StartChainedTurn(after("s", "t3", "t1"));
    assert_eq!(apply_refused(&mut shard, on), ShardRefusal::UnknownTurn);
    end_turn(&mut shard, end("s", "t2", present.epoch.0, 10));
}

#[test]
fn commands_may_be_repeated() {
    let mut shard = machine();
    let first = start_turn(&mut shard, start("s", "t1"));
    assert_eq!(start_turn(&mut shard, start("s", "t1")), first);
    let whole = end("s", "t1", first.epoch.0, 90);
    end_turn(&mut shard, whole.clone());
    end_turn(&mut shard, whole);
    // The tokens were charged once: 10 are left, and one more turn may start.
    start_turn(&mut shard, start("s", "t2"));
    let again = ShardCommand::StartChainedTurn(start("s", "t1"));
    assert_eq!(
        apply_refused(&mut shard, again),
        ShardRefusal::TurnDiffers,
        "an ended turn never runs"
    );
}

#[test]
fn running_turns_reserve_their_maximum_tokens() {
    let mut shard = machine();
    for name in ["t1", "t2", "t3"] {
        start_turn(&mut shard, start(name, name));
    }
    let fourth = ShardCommand::StartChainedTurn(start("t4", "t4"));
    assert_eq!(apply_refused(&mut shard, fourth.clone()), ShardRefusal::BudgetReserved);
    // A turn that has reached its time limit without an end, as when its host failed, is charged
    // permanently with its maximum.
    shard.apply_command(advance_clock(TIME_LIMIT_MS));
    assert_eq!(apply_refused(&mut shard, fourth), ShardRefusal::BudgetSpent);
}

#[test]
fn an_interrupted_turn_is_charged_for_streamed_tokens_only() {
    let mut shard = machine();
    let first = start_turn(&mut shard, start("s", "t1"));
    end_turn(&mut shard, EndChainedTurn { output: None, ..end("s", "t1", first.epoch.0, 4) });
    for name in ["t2", "t3", "t4"] {
        start_turn(&mut shard, start(name, name));
    }
    let fifth = ShardCommand::StartChainedTurn(start("t5", "t5"));
    assert_eq!(apply_refused(&mut shard, fifth), ShardRefusal::BudgetReserved);
}

#[test]
fn a_turn_can_continue_from_an_imported_history() {
    let mut shard = machine();
    let first = start_turn(&mut shard, start("s", "t1"));
    end_turn(&mut shard, end("s", "t1", first.epoch.0, 10));
    let ShardAnswer::History(history) = shard.answer(&ShardQuery::History(turn("t1"))) else {
        panic!("no history");
    };
    assert_eq!(text(history.clone()), "[t1 asks](t1 says)");
    let mut other = machine();
    let imported = StartChainedTurn { imported: history, ..after("z", "t2", "t1") };
    assert_eq!(text(start_turn(&mut other, imported).history), "[t1 asks](t1 says)");
}

#[test]
fn a_program_in_use_is_not_removed_after_the_retention_time() {
    let mut shard = machine();
    let first = start_turn(&mut shard, start("s", "t1"));
    end_turn(&mut shard, end("s", "t1", first.epoch.0, 10));
    shard.apply_command(advance_clock(RETENTION_MS - 1));
    let second = start_turn(&mut shard, after("s", "t2", "t1"));
    end_turn(&mut shard, end("s", "t2", second.epoch.0, 10));
    shard.apply_command(advance_clock(2 * RETENTION_MS - 2));
    assert!(matches!(
        shard.answer(&ShardQuery::History(turn("t1"))),
        ShardAnswer::History(Some(_))
    ));
    shard.apply_command(advance_clock(3 * RETENTION_MS + TIME_LIMIT_MS));
    assert_eq!(shard.answer(&ShardQuery::History(turn("t1"))), ShardAnswer::History(None));
    // An epoch is never reused.
    assert!(start_turn(&mut shard, start("s", "t9")).epoch > second.epoch);
}

fn commands() -> impl Strategy<Value = ShardCommand> {
    let name = || prop::sample::select(&["t1", "t2", "t3", "t4", "t5", "t6"][..]);
    let session = || prop::sample::select(&["s", "x"][..]);
    let earlier = prop::option::of(name());
    prop_oneof![
        3 => (session(), name(), earlier, 1_u64..60).prop_map(|(s, t, a, max)| {
            let max_tokens = TokenCount(max);
            let after = a.map(turn);
            ShardCommand::StartChainedTurn(StartChainedTurn { max_tokens, after, ..start(s, t) })
        }),
        3 => (session(), name(), 0_u64..8, any::<bool>()).prop_map(|(s, t, epoch, whole)| {
            let command = end(s, t, epoch, 0);
            let output = command.output.clone().filter(|_| whole);
            ShardCommand::EndChainedTurn(EndChainedTurn { output, ..command })
        }),
        1 => (0_u64..3 * RETENTION_MS).prop_map(advance_clock),
    ]
}

proptest! {
    /// For any sequence of commands, the tokens streamed to callers stay below the budget plus the
    /// maximum of one turn.
    #[test]
    fn a_budget_is_overdrawn_by_less_than_one_turn(commands in prop::collection::vec(commands(), 1..80)) {
        let mut shard = machine();
        let mut max_of = std::collections::BTreeMap::new();
        let (mut streamed, mut clock) = (0, 0);
        for command in commands {
            match command {
                ShardCommand::StartChainedTurn(start) => {
                    let (name, max) = (start.turn.clone(), start.max_tokens.0);
                    let reply = shard.apply_command(ShardCommand::StartChainedTurn(start));
                    if matches!(reply, ShardReply::ChainedTurnStarted(_)) {
                        max_of.entry(name).or_insert((max, clock));
                    }
                }
                ShardCommand::EndChainedTurn(end) => {
                    // Each turn streams its maximum, once, within its time limit.
                    let (max, _) = max_of.remove(&end.turn).unwrap_or((0, 0));
                    streamed += max;
                    let tokens = TokenCount(max);
                    shard.apply_command(ShardCommand::EndChainedTurn(EndChainedTurn { tokens, ..end }));
                }
                other => {
                    if let ShardCommand::AdvanceClock { now } = &other {
                        clock = now.0;
                    }
                    // The program must not expire in the meantime, since its budget would be reset.
                    if clock < RETENTION_MS {
                        shard.apply_command(other);
                    }
                }
            }
        }
        let running: u64 = max_of.values().map(|(max, _)| max).sum();
        prop_assert!(streamed + running < 100 + 60, "{streamed} streamed, {running} running");
    }

    /// Replicas that apply the same commands agree, also if one of them was restored from a
    /// snapshot.
    #[test]
    fn a_replica_restored_from_a_snapshot_agrees(commands in prop::collection::vec(commands(), 1..60), cut in 0_usize..60) {
        let (mut one, mut two) = (machine(), machine());
        for (number, command) in commands.into_iter().enumerate() {
            if number == cut {
                two.restore(&one.snapshot()).expect("a snapshot");
            }
            let reply = one.apply_command(command.clone());
            if number >= cut {
                prop_assert_eq!(reply, two.apply_command(command));
            }
        }
        let _ = program();
    }
}
