//! Frozen copies of a shard, which share data with it, and the chunked event log.

mod common;

use common::*;
use hooklug_state::shard::{EventLog, ShardCommand, ShardMachine};
use hooklug_state::{StateMachine, decode, encode};
use hooklug_types::EventSeq;
use proptest::prelude::*;

/// Number of events, which fill more than two chunks of the log.
const MANY_EVENTS: u64 = 600;

fn populated_shard() -> ShardMachine {
    let mut shard = ShardMachine::new(RETENTION);
    shard.apply_accepted(put_program(u64::MAX));
    shard.apply_accepted(open("s", "e1"));
    shard.apply_accepted(begin(1, "t1", None, MANY_EVENTS * 2));
    shard.apply_accepted(begin_call("a", "x"));
    shard
}

/// Commands that write to every part of the state that a frozen copy shares.
fn writes(first_seq: u64) -> Vec<ShardCommand> {
    vec![
        append(1, Some("t1"), first_seq, vec![tokens(1); 300]),
        finish(1, "t1"),
        finish_call("a", answered("done")),
        open("x", "e2"),
        close(1),
        advance_clock(PROGRAM_END + RETENTION_MS),
        advance_clock(PROGRAM_END + 3 * RETENTION_MS),
    ]
}

#[test]
fn a_frozen_copy_is_unaffected_by_later_writes() {
    let mut shard = populated_shard();
    let mut kept = Vec::new();
    for command in writes(2) {
        kept.push((shard.snapshot(), shard.freeze()));
        shard.apply_command(command);
    }
    for (snapshot, frozen) in kept {
        assert!(frozen() == snapshot);
    }
}

#[test]
fn a_machine_restored_from_a_frozen_copy_matches_its_source() {
    let mut one = populated_shard();
    one.apply_accepted(append(1, Some("t1"), 2, vec![tokens(1); MANY_EVENTS as usize]));
    let mut two = ShardMachine::new(RETENTION);
    two.restore(&one.freeze()()).unwrap();
    for command in writes(MANY_EVENTS + 2) {
        assert_eq!(one.apply_command(command.clone()), two.apply_command(command));
        assert_eq!(one.digest(), two.digest());
    }
}

proptest! {
    #[test]
    fn the_chunked_event_log_matches_a_plain_list(count in 0_u64..MANY_EVENTS, after in 0_u64..700) {
        let mut log = EventLog::default();
        for number in 0..count {
            prop_assert_eq!(log.push(None, tokens(number)), EventSeq(number + 1));
        }
        let log: EventLog = decode("log", &encode(&log)).unwrap();
        let found: Vec<u64> = log.after(EventSeq(after)).map(|event| event.seq.0).collect();
        prop_assert_eq!(found, (after + 1..=count).collect::<Vec<_>>());
        prop_assert_eq!(log.next_seq(), EventSeq(count + 1));
        let last = [tokens(count.saturating_sub(1))];
        prop_assert_eq!(log.contains_at(EventSeq(count), None, &last), count > 0);
        prop_assert!(!log.contains_at(EventSeq(count + 1), None, &last));
    }
}
