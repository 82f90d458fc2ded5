//! Non-repeatable calls, leases, and deletion of expired items.

mod common;

use common::*;
use hooklug_state::shard::{
    ITEMS_PER_STEP, LeaseRecord, ShardAnswer, ShardCommand, ShardMachine, ShardQuery, ShardRefusal,
    ShardReply,
};
use hooklug_types::{CallOutcome, Renewal, SessionEpoch, UnixMillis};

fn call_outcome(shard: &ShardMachine) -> Option<CallOutcome> {
    match shard.answer(&ShardQuery::Call { program: program(), call: call() }) {
        ShardAnswer::Call(record) => record.unwrap().outcome,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_call_is_granted_to_one_attempt_only() {
    let mut shard = shard_with_session();
    let (first, second) = shard.apply_twice(begin_call("a", "x"));
    assert_eq!((first, second), (ShardReply::CallGranted, ShardReply::CallGranted));
    assert!(matches!(shard.apply_refused(begin_call("b", "x")), ShardRefusal::CallHeld { .. }));
    assert_eq!(shard.apply_refused(begin_call("a", "y")), ShardRefusal::CallDiffers);
    let foreign = finish_call("b", answered("done"));
    assert!(matches!(shard.apply_refused(foreign), ShardRefusal::CallHeld { .. }));
    assert_eq!(call_outcome(&shard), None);
}

#[test]
fn an_ended_call_is_not_granted_again_and_an_answer_replaces_unknown() {
    let mut shard = shard_with_session();
    assert_eq!(shard.apply_refused(finish_call("a", CallOutcome::Unknown)), ShardRefusal::NoCall);
    shard.apply_accepted(begin_call("a", "x"));
    let (first, second) = shard.apply_twice(finish_call("a", CallOutcome::Unknown));
    assert_eq!(first, second);
    for name in ["a", "b"] {
        let reply = shard.apply_accepted(begin_call(name, "x"));
        assert!(matches!(reply, ShardReply::Call(_)), "{reply:?}");
    }
    shard.apply_accepted(finish_call("a", answered("done")));
    shard.apply_accepted(finish_call("a", answered("crossed")));
    shard.apply_accepted(finish_call("a", CallOutcome::Unknown));
    assert_eq!(call_outcome(&shard), Some(answered("done")));
}

#[test]
fn a_call_that_never_began_can_be_sealed_as_not_run() {
    let mut shard = shard_with_session();
    let (first, second) = shard.apply_twice(seal_call("x"));
    assert_eq!(first, second);
    assert_eq!(call_outcome(&shard), Some(CallOutcome::NotRun));
    assert_eq!(shard.apply_refused(seal_call("y")), ShardRefusal::CallDiffers);
    let reply = shard.apply_accepted(begin_call("a", "x"));
    assert!(matches!(reply, ShardReply::Call(ref r) if r.outcome == Some(CallOutcome::NotRun)));
    let late = finish_call("a", answered("done"));
    assert!(matches!(shard.apply_refused(late), ShardRefusal::CallHeld { .. }));
}

#[test]
fn a_begun_call_cannot_be_sealed_or_recorded_as_not_run() {
    let mut shard = shard_with_session();
    shard.apply_accepted(begin_call("a", "x"));
    let commands = [seal_call("x"), finish_call("a", CallOutcome::NotRun)];
    for command in commands.clone() {
        assert!(matches!(shard.apply_refused(command), ShardRefusal::CallHeld { .. }));
    }
    shard.apply_accepted(finish_call("a", CallOutcome::Unknown));
    for command in commands {
        assert!(matches!(shard.apply_refused(command), ShardRefusal::CallHeld { .. }));
    }
    assert_eq!(call_outcome(&shard), Some(CallOutcome::Unknown));
}

fn renew(holder: &str) -> ShardCommand {
    ShardCommand::RenewLease { holder: engine(holder) }
}

fn expire(holder: &str, renewal: u64) -> ShardCommand {
    ShardCommand::ExpireLease { holder: engine(holder), renewal: Renewal(renewal) }
}

#[test]
fn a_lease_expires_permanently_and_only_at_the_expected_renewal() {
    let mut shard = shard_with_session();
    shard.apply_accepted(renew("e1"));
    let renewed = shard.apply_accepted(renew("e1"));
    let expected = LeaseRecord { holder: engine("e1"), renewal: Renewal(2), expired: false };
    assert_eq!(renewed, ShardReply::Lease(expected));
    assert_eq!(shard.apply_refused(expire("e1", 1)), ShardRefusal::LeaseRenewed);
    let (first, second) = shard.apply_twice(expire("e1", 2));
    assert_eq!(first, second);
    assert_eq!(shard.apply_refused(renew("e1")), ShardRefusal::LeaseExpired);
}

#[test]
fn a_lease_never_granted_can_be_expired_and_not_started_afterwards() {
    let mut shard = shard_with_session();
    let (first, second) = shard.apply_twice(expire("e9", 0));
    assert_eq!(first, second);
    assert_eq!(shard.apply_refused(renew("e9")), ShardRefusal::LeaseExpired);
}

#[test]
fn the_clock_is_monotonic_and_expires_a_bounded_number_of_items_per_step() {
    let mut shard = shard_with_session();
    let turns = ITEMS_PER_STEP + 10;
    let mut after = None;
    for n in 0..turns {
        let name = format!("t{n}");
        shard.apply_accepted(begin(1, &name, after.as_deref(), 0));
        shard.apply_accepted(finish(1, &name));
        after = Some(name);
    }
    shard.apply_accepted(advance_clock(500));
    assert_eq!(shard.clock(), UnixMillis(1_000));
    shard.apply_accepted(advance_clock(1_000 + RETENTION_MS));
    let left = (0..turns).filter(|n| shard.turn_record(&format!("t{n}")).is_some()).count();
    assert_eq!(left, 10);
    shard.apply_accepted(advance_clock(1_001 + RETENTION_MS));
    assert!((0..turns).all(|n| shard.turn_record(&format!("t{n}")).is_none()));
}

#[test]
fn calls_and_closed_sessions_are_removed_after_the_retention_time() {
    let mut shard = shard_with_session();
    shard.apply_accepted(take("s", 1, "e2"));
    shard.apply_accepted(begin_call("a", "x"));
    shard.apply_accepted(finish_call("a", CallOutcome::Unknown));
    shard.apply_accepted(advance_clock(50_000));
    shard.apply_accepted(finish_call("a", answered("done")));
    shard.apply_accepted(close(2));
    shard.apply_accepted(advance_clock(50_000 + RETENTION_MS - 1));
    assert_eq!(call_outcome(&shard), Some(answered("done")), "retained from its last outcome");
    assert!(shard.session().closed);
    shard.apply_accepted(advance_clock(50_000 + RETENTION_MS));
    let removed = shard.answer(&ShardQuery::Call { program: program(), call: call() });
    assert_eq!(removed, ShardAnswer::Call(None));
    shard.apply_accepted(open("s", "e1"));
    assert_eq!(shard.session().epoch, SessionEpoch(3), "an epoch is never reused");
}

#[test]
fn a_program_is_removed_one_retention_time_after_its_last_turn_end() {
    let mut shard = shard_with_session();
    shard.apply_accepted(begin(1, "t1", None, 50));
    let first_check = PROGRAM_END + RETENTION_MS;
    shard.apply_accepted(advance_clock(first_check));
    assert!(shard.session().open_turn.is_none(), "a turn left open is sealed");
    shard.apply_accepted(advance_clock(first_check + RETENTION_MS - 1));
    assert!(shard.turn_record("t1").is_some());
    shard.apply_accepted(advance_clock(first_check + RETENTION_MS));
    assert_eq!(shard.answer(&ShardQuery::Program(program())), ShardAnswer::Program(None));
}

#[test]
fn a_batch_returns_one_reply_per_command() {
    let mut shard = ShardMachine::new(RETENTION);
    let batch = ShardCommand::Batch(vec![open("s", "e1"), put_program(BUDGET), open("s", "e1")]);
    let ShardReply::Batch(replies) = shard.apply_command(batch) else { panic!() };
    assert_eq!(replies[0], ShardReply::Refused(ShardRefusal::NoProgram));
    assert!(matches!(replies[1..], [ShardReply::Program(_), ShardReply::Session(_)]));
}
