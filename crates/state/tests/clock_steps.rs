//! Steps of a shard's clock: what is measured of them, and how stores of the build before read them.

mod common;

use common::{
    Commands, RETENTION_MS, advance_clock, answered, begin_call, call, finish_call, program,
    shard_with_session,
};
use hooklug_state::shard::{
    ClockStep, MeasuredTime, ShardAnswer, ShardCommand, ShardMachine, ShardQuery, StepDetails,
};
use hooklug_state::{StateMachine, decode, encode};
use hooklug_types::UnixMillis;

const START: u64 = 1_000;

fn step(now: u64, from: u64, elapsed_ms: u64) -> Vec<u8> {
    let measured = Some(MeasuredTime { from: UnixMillis(from), elapsed_ms });
    step_with(now, StepDetails { staleness_ms: 0, measured })
}

fn step_with(now: u64, details: StepDetails) -> Vec<u8> {
    ClockStep { now: UnixMillis(now), details: Some(details) }.encode()
}

fn apply(shard: &mut ShardMachine, command: &[u8]) {
    shard.apply(command).expect("a command");
}

/// A shard at [`START`] with a call whose record is kept for the retention time.
fn shard_with_call() -> ShardMachine {
    let mut shard = shard_with_session();
    shard.apply_accepted(begin_call("a", "content"));
    shard.apply_accepted(finish_call("a", answered("done")));
    assert_eq!(shard.clock(), UnixMillis(START));
    shard
}

fn has_call(shard: &ShardMachine) -> bool {
    let query = ShardQuery::Call { program: program(), call: call() };
    shard.answer(&query) != ShardAnswer::Call(None)
}

/// Guards against a jump of the clock that counts as time for which a record was kept.
#[test]
fn only_the_measured_part_of_a_step_counts_for_retention_times() {
    let mut shard = shard_with_call();
    let jumped = START + 3_600_000;
    apply(&mut shard, &step(jumped, START, RETENTION_MS - 10));
    assert_eq!(shard.clock(), UnixMillis(jumped));
    assert!(has_call(&shard), "10 ms of its time are left");
    apply(&mut shard, &encode(&advance_clock(jumped + 9)));
    assert!(has_call(&shard), "later steps are measured");
    apply(&mut shard, &encode(&advance_clock(jumped + 10)));
    assert!(!has_call(&shard));
}

/// Guards against a leader that measured from a step before the newest one, which it had not applied.
#[test]
fn time_that_was_measured_from_another_step_does_not_count() {
    let mut shard = shard_with_call();
    apply(&mut shard, &step(START + RETENTION_MS, START - 1, RETENTION_MS + 1));
    assert_eq!(shard.clock(), UnixMillis(START + RETENTION_MS));
    assert!(has_call(&shard));
}

/// Guards against two steps after which the clock has the same value, so that a leader which has
/// applied only the first would measure from a time before the second.
#[test]
fn each_step_with_a_measured_time_gives_the_clock_a_value_of_its_own() {
    let mut shard = shard_with_call();
    apply(&mut shard, &step(START - 500, START, 0));
    assert_eq!(shard.clock(), UnixMillis(START + 1));
    apply(&mut shard, &step(START + RETENTION_MS, START, RETENTION_MS));
    assert!(has_call(&shard), "measured from the step before");
    apply(&mut shard, &encode(&advance_clock(START)));
    assert_eq!(shard.clock(), UnixMillis(START + RETENTION_MS), "other steps never go back");
}

/// Guards against a record that is deleted early because its end was applied at the time of an earlier
/// step.
#[test]
fn records_are_kept_for_as_long_as_the_clock_may_have_been_behind() {
    let mut shard = shard_with_call();
    let details = StepDetails { staleness_ms: 1_000, measured: None };
    apply(&mut shard, &step_with(START + RETENTION_MS + 999, details));
    assert!(has_call(&shard));
    apply(&mut shard, &step_with(START + RETENTION_MS + 1_000, details));
    assert!(!has_call(&shard));
}

/// Guards against log entries that the build before would read in another way than this one.
#[test]
fn stores_of_the_build_before_read_a_step_as_a_step_to_the_same_time() {
    let jumped = START + RETENTION_MS;
    let bytes = step(jumped, START, 5);
    let read: ShardCommand = decode("shard command", &bytes).expect("a command");
    assert_eq!(read, advance_clock(jumped));
    // Entries without details have the bytes and the effect that they had.
    let plain = ClockStep { now: UnixMillis(jumped), details: None }.encode();
    assert_eq!(plain, encode(&advance_clock(jumped)));
    let (mut logged, mut applied) = (shard_with_call(), shard_with_call());
    apply(&mut logged, &plain);
    applied.apply_command(advance_clock(jumped));
    assert_eq!(logged.digest(), applied.digest());
    assert!(!has_call(&logged));
}

/// Guards against replicas that differ after a jump, one of which has restored a snapshot.
#[test]
fn a_snapshot_after_a_jump_holds_the_extended_times() {
    let mut shard = shard_with_call();
    apply(&mut shard, &step(START + 3_600_000, START, 5));
    let mut restored = ShardMachine::new(common::RETENTION);
    restored.restore(&shard.snapshot()).expect("a snapshot");
    for machine in [&mut shard, &mut restored] {
        apply(machine, &encode(&advance_clock(START + 3_600_000 + RETENTION_MS - 6)));
        assert!(has_call(machine));
        apply(machine, &encode(&advance_clock(START + 3_600_000 + RETENTION_MS - 5)));
        assert!(!has_call(machine));
    }
    assert_eq!(shard.digest(), restored.digest());
}
