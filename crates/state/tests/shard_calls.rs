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
fn one_attempt_holds_a_call() {
    let mut shard = opened();
    let (first, second) = shard.twice(begin_call("a", "x"));
    assert_eq!((first, second), (ShardReply::CallGranted, ShardReply::CallGranted));
    assert!(matches!(shard.refused(begin_call("b", "x")), ShardRefusal::CallHeld { .. }));
    assert_eq!(shard.refused(begin_call("a", "y")), ShardRefusal::CallDiffers);
    let foreign = finish_call("b", answered("done"));
    assert!(matches!(shard.refused(foreign), ShardRefusal::CallHeld { .. }));
    assert_eq!(call_outcome(&shard), None);
}

#[test]
fn an_outcome_is_never_granted_again_and_unknown_gives_way_to_the_answer() {
    let mut shard = opened();
    assert_eq!(shard.refused(finish_call("a", CallOutcome::Unknown)), ShardRefusal::NoCall);
    shard.accepted(begin_call("a", "x"));
    let (first, second) = shard.twice(finish_call("a", CallOutcome::Unknown));
    assert_eq!(first, second);
    for name in ["a", "b"] {
        let reply = shard.accepted(begin_call(name, "x"));
        assert!(matches!(reply, ShardReply::Call(_)), "{reply:?}");
    }
    shard.accepted(finish_call("a", answered("done")));
    shard.accepted(finish_call("a", answered("crossed")));
    shard.accepted(finish_call("a", CallOutcome::Unknown));
    assert_eq!(call_outcome(&shard), Some(answered("done")));
}

#[test]
fn only_a_call_that_never_began_is_sealed() {
    let mut shard = opened();
    let (first, second) = shard.twice(seal_call("x"));
    assert_eq!(first, second);
    assert_eq!(call_outcome(&shard), Some(CallOutcome::NotRun));
    assert_eq!(shard.refused(seal_call("y")), ShardRefusal::CallDiffers);
    let reply = shard.accepted(begin_call("a", "x"));
    assert!(matches!(reply, ShardReply::Call(ref r) if r.outcome == Some(CallOutcome::NotRun)));
    let late = finish_call("a", answered("done"));
    assert!(matches!(shard.refused(late), ShardRefusal::CallHeld { .. }));
}

#[test]
fn a_begun_call_is_neither_sealed_nor_said_not_run() {
    let mut shard = opened();
    shard.accepted(begin_call("a", "x"));
    let commands = [seal_call("x"), finish_call("a", CallOutcome::NotRun)];
    for command in commands.clone() {
        assert!(matches!(shard.refused(command), ShardRefusal::CallHeld { .. }));
    }
    shard.accepted(finish_call("a", CallOutcome::Unknown));
    for command in commands {
        assert!(matches!(shard.refused(command), ShardRefusal::CallHeld { .. }));
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
fn a_lease_expires_only_for_the_renewal_judged_and_for_ever() {
    let mut shard = opened();
    shard.accepted(renew("e1"));
    let renewed = shard.accepted(renew("e1"));
    let expected = LeaseRecord { holder: engine("e1"), renewal: Renewal(2), expired: false };
    assert_eq!(renewed, ShardReply::Lease(expected));
    assert_eq!(shard.refused(expire("e1", 1)), ShardRefusal::LeaseRenewed);
    let (first, second) = shard.twice(expire("e1", 2));
    assert_eq!(first, second);
    assert_eq!(shard.refused(renew("e1")), ShardRefusal::LeaseExpired);
}

#[test]
fn a_lease_never_granted_can_be_expired_and_not_started_afterwards() {
    let mut shard = opened();
    let (first, second) = shard.twice(expire("e9", 0));
    assert_eq!(first, second);
    assert_eq!(shard.refused(renew("e9")), ShardRefusal::LeaseExpired);
}

#[test]
fn the_clock_never_goes_back_and_does_bounded_work_a_step() {
    let mut shard = opened();
    let turns = ITEMS_PER_STEP + 10;
    let mut after = None;
    for n in 0..turns {
        let name = format!("t{n}");
        shard.accepted(begin(1, &name, after.as_deref(), 0));
        shard.accepted(finish(1, &name));
        after = Some(name);
    }
    shard.accepted(at(500));
    assert_eq!(shard.clock(), UnixMillis(1_000));
    shard.accepted(at(1_000 + KEEP_MS));
    let left = (0..turns).filter(|n| shard.turn_record(&format!("t{n}")).is_some()).count();
    assert_eq!(left, 10);
    shard.accepted(at(1_001 + KEEP_MS));
    assert!((0..turns).all(|n| shard.turn_record(&format!("t{n}")).is_none()));
}

#[test]
fn calls_and_closed_sessions_are_forgotten_after_the_keep_time() {
    let mut shard = opened();
    shard.accepted(take("s", 1, "e2"));
    shard.accepted(begin_call("a", "x"));
    shard.accepted(finish_call("a", CallOutcome::Unknown));
    shard.accepted(at(50_000));
    shard.accepted(finish_call("a", answered("done")));
    shard.accepted(close(2));
    shard.accepted(at(50_000 + KEEP_MS - 1));
    assert_eq!(call_outcome(&shard), Some(answered("done")), "retained from its last outcome");
    assert!(shard.session().closed);
    shard.accepted(at(50_000 + KEEP_MS));
    let removed = shard.answer(&ShardQuery::Call { program: program(), call: call() });
    assert_eq!(removed, ShardAnswer::Call(None));
    shard.accepted(open("s", "e1"));
    assert_eq!(shard.session().epoch, SessionEpoch(3), "an epoch is never reused");
}

#[test]
fn a_program_is_forgotten_the_keep_time_after_its_last_end() {
    let mut shard = opened();
    shard.accepted(begin(1, "t1", None, 50));
    let first_check = END + KEEP_MS;
    shard.accepted(at(first_check));
    assert!(shard.session().open_turn.is_none(), "a turn left open is sealed");
    shard.accepted(at(first_check + KEEP_MS - 1));
    assert!(shard.turn_record("t1").is_some());
    shard.accepted(at(first_check + KEEP_MS));
    assert_eq!(shard.answer(&ShardQuery::Program(program())), ShardAnswer::Program(None));
}

#[test]
fn a_batch_is_replied_to_one_by_one() {
    let mut shard = ShardMachine::new(KEEP);
    let batch = ShardCommand::Batch(vec![open("s", "e1"), put(BUDGET), open("s", "e1")]);
    let ShardReply::Batch(replies) = shard.apply_command(batch) else { panic!() };
    assert_eq!(replies[0], ShardReply::Refused(ShardRefusal::NoProgram));
    assert!(matches!(replies[1..], [ShardReply::Program(_), ShardReply::Session(_)]));
}
