//! Turns, events and budgets: refusals and resends.

mod common;

use common::*;
use hooklug_state::shard::{
    EventBody, ShardAnswer, ShardQuery, ShardRefusal, ShardReply, TurnState,
};
use hooklug_types::{EndReason, EventSeq, TokenCount};

fn not_head(head: Option<&str>, after_known: bool) -> ShardRefusal {
    ShardRefusal::NotHead { head: head.map(turn), after_known }
}

#[test]
fn resending_a_turn_returns_the_existing_record() {
    let mut shard = shard_with_session();
    let (first, second) = shard.apply_twice(begin(1, "t1", None, 60));
    let (first, second) = (grant(first), grant(second));
    assert_eq!(
        (first.reserved, first.started, first.existing),
        (TokenCount(60), EventSeq(1), None)
    );
    assert_eq!(second.existing, shard.turn_record("t1"));
    assert_eq!(shard.apply_refused(begin(1, "t1", None, 61)), ShardRefusal::TurnDiffers);
    shard.apply_accepted(finish(1, "t1"));
    let resent = grant(shard.apply_accepted(begin(1, "t1", None, 60)));
    assert_eq!(resent.existing, shard.turn_record("t1"));
}

#[test]
fn a_turn_must_continue_from_the_session_head() {
    let mut shard = shard_with_session();
    assert_eq!(shard.apply_refused(begin(1, "t1", Some("t0"), 5)), not_head(None, false));
    shard.apply_accepted(begin(1, "t1", None, 5));
    assert_eq!(
        shard.apply_refused(begin(1, "t2", Some("t1"), 5)),
        ShardRefusal::TurnOpen { turn: turn("t1") }
    );
    shard.apply_accepted(finish(1, "t1"));
    shard.apply_accepted(begin(1, "t2", Some("t1"), 5));
    shard.apply_accepted(finish(1, "t2"));
    assert_eq!(shard.apply_refused(begin(1, "t3", Some("t1"), 5)), not_head(Some("t2"), true));
    assert_eq!(shard.apply_refused(begin(1, "t3", None, 5)), not_head(Some("t2"), true));
    assert_eq!(shard.turn_record("t3"), None, "these refusals are not recorded");
    shard.apply_accepted(begin(1, "t3", Some("t2"), 5));
}

#[test]
fn an_earlier_turn_is_known_for_the_retention_time() {
    let mut shard = shard_with_session();
    for (name, after) in [("t1", None), ("t2", Some("t1"))] {
        shard.apply_accepted(begin(1, name, after, 5));
        shard.apply_accepted(finish(1, name));
    }
    shard.apply_accepted(advance_clock(1_000 + RETENTION_MS - 1));
    assert_eq!(shard.apply_refused(begin(1, "t3", Some("t1"), 5)), not_head(Some("t2"), true));
    shard.apply_accepted(advance_clock(1_000 + RETENTION_MS));
    assert_eq!(shard.apply_refused(begin(1, "t3", Some("t1"), 5)), not_head(Some("t2"), false));
    shard.apply_accepted(begin(1, "t3", Some("t2"), 5));
}

#[test]
fn a_spent_budget_is_final_and_recorded() {
    let mut shard = shard_with_session();
    shard.apply_accepted(begin(1, "t1", None, 1_000));
    shard.apply_accepted(append(1, Some("t1"), 2, vec![tokens(BUDGET)]));
    shard.apply_accepted(finish(1, "t1"));
    let (first, second) = shard.apply_twice(begin(1, "t2", Some("t1"), 5));
    assert_eq!(first, ShardReply::Refused(ShardRefusal::BudgetSpent));
    assert_eq!(first, second);
    let recorded = shard.turn_record("t2").unwrap();
    assert_eq!(recorded.state, TurnState::Refused(ShardRefusal::BudgetSpent));
    assert_eq!(shard.session().head, Some(turn("t1")), "a refused turn is not the head");
    assert_eq!(shard.apply_refused(begin(1, "t2", Some("t1"), 6)), ShardRefusal::TurnDiffers);
}

#[test]
fn a_turn_after_the_program_end_time_is_refused_permanently() {
    let mut shard = shard_with_session();
    shard.apply_accepted(advance_clock(PROGRAM_END));
    assert_eq!(shard.apply_refused(begin(1, "t1", None, 5)), ShardRefusal::ProgramEnded);
    let recorded = shard.turn_record("t1").unwrap();
    assert_eq!(recorded.state, TurnState::Refused(ShardRefusal::ProgramEnded));
}

#[test]
fn a_turn_refused_for_reserved_budget_can_be_retried() {
    let mut shard = shard_with_session();
    shard.apply_accepted(open("other", "e2"));
    shard.apply_accepted(begin_in("other", 1, "o1", None, 90));
    let granted = grant(shard.apply_accepted(begin(1, "t1", None, 50)));
    assert_eq!(granted.reserved, TokenCount(10), "what is left");
    shard.apply_accepted(append(1, Some("t1"), 2, vec![tokens(10)]));
    shard.apply_accepted(finish(1, "t1"));
    assert_eq!(shard.apply_refused(begin(1, "t2", Some("t1"), 5)), ShardRefusal::BudgetReserved);
    assert_eq!(shard.turn_record("t2"), None);
    shard.apply_accepted(finish_in("other", 1, "o1", EndReason::Aborted));
    shard.apply_accepted(begin(1, "t2", Some("t1"), 5));
}

#[test]
fn tokens_beyond_the_reservation_are_refused() {
    let mut shard = shard_with_session();
    shard.apply_accepted(begin(1, "t1", None, 10));
    shard.apply_accepted(append(1, Some("t1"), 2, vec![tokens(8)]));
    let left = ShardRefusal::ReservationExceeded { left: TokenCount(2) };
    assert_eq!(shard.apply_refused(append(1, Some("t1"), 3, vec![tokens(1), tokens(2)])), left);
    assert_eq!(
        shard.apply_refused(append(1, Some("t1"), 3, vec![tokens(u64::MAX), tokens(1)])),
        left
    );
    shard.apply_accepted(append(1, Some("t1"), 3, vec![tokens(2)]));
}

#[test]
fn a_repeated_append_changes_nothing_and_a_gap_is_refused() {
    let mut shard = shard_with_session();
    shard.apply_accepted(begin(1, "t1", None, 50));
    let (first, second) = shard.apply_twice(append(1, Some("t1"), 2, vec![tokens(1), tokens(2)]));
    assert_eq!(first, second);
    assert_eq!(first, ShardReply::Appended { next_seq: EventSeq(4) });
    let gap = ShardRefusal::Gap { next_seq: EventSeq(4) };
    for (from, bodies) in [
        (5, vec![tokens(1)]),
        (0, vec![tokens(1)]),
        (2, vec![tokens(1), tokens(3)]),
        (3, vec![tokens(2), tokens(3)]),
    ] {
        assert_eq!(shard.apply_refused(append(1, Some("t1"), from, bodies)), gap);
    }
    shard.apply_accepted(finish(1, "t1"));
    shard.apply_accepted(append(1, Some("t1"), 2, vec![tokens(1), tokens(2)]));
    assert_eq!(shard.program_record().spent, TokenCount(3));
}

#[test]
fn events_are_accepted_only_for_the_open_turn() {
    let mut shard = shard_with_session();
    let refusal =
        |shard: &mut _, name, body| Commands::apply_refused(shard, append(1, name, 2, vec![body]));
    assert_eq!(refusal(&mut shard, Some("t1"), tokens(1)), ShardRefusal::NoOpenTurn);
    assert_eq!(refusal(&mut shard, None, tokens(1)), ShardRefusal::NoOpenTurn);
    shard.apply_accepted(begin(1, "t1", None, 50));
    let forged = EventBody::TurnEnded { reason: EndReason::Finished, tokens: TokenCount(0) };
    assert_eq!(refusal(&mut shard, Some("t1"), forged), ShardRefusal::NoOpenTurn);
    assert_eq!(refusal(&mut shard, Some("t2"), tokens(1)), ShardRefusal::NoOpenTurn);
    let open = ShardRefusal::TurnOpen { turn: turn("t1") };
    assert_eq!(refusal(&mut shard, None, result("c", "1")), open);
    assert_eq!(shard.apply_refused(finish(1, "t2")), ShardRefusal::NoOpenTurn);
}

#[test]
fn a_tool_result_counts_once() {
    let mut shard = shard_with_session();
    let (first, second) = shard.apply_twice(append(1, None, 1, vec![result("c", "1")]));
    assert_eq!(first, second);
    shard.apply_accepted(begin(1, "t1", None, 50));
    let again = shard.apply_accepted(append(1, Some("t1"), 3, vec![result("c", "another")]));
    assert_eq!(again, ShardReply::Appended { next_seq: EventSeq(3) });
    let mixed = append(1, Some("t1"), 3, vec![tokens(1), result("c", "another")]);
    assert_eq!(shard.apply_refused(mixed), ShardRefusal::Gap { next_seq: EventSeq(3) });
}

#[test]
fn a_turn_ends_once() {
    let mut shard = shard_with_session();
    shard.apply_accepted(begin(1, "t1", None, 50));
    let (first, second) = shard.apply_twice(finish(1, "t1"));
    assert_eq!(first, second);
    shard.apply_accepted(finish_in("s", 1, "t1", EndReason::Aborted));
    let finished = TurnState::Ended { reason: EndReason::Finished, last_seq: EventSeq(2) };
    assert_eq!(shard.turn_record("t1").unwrap().state, finished);
}

#[test]
fn events_are_read_in_pages() {
    let mut shard = shard_with_session();
    shard.apply_accepted(begin(1, "t1", None, 50));
    shard.apply_accepted(append(1, Some("t1"), 2, vec![tokens(1), tokens(2), tokens(3)]));
    let page = |after, limit| {
        let query = ShardQuery::Events { key: key("s"), after: EventSeq(after), limit };
        match shard.answer(&query) {
            ShardAnswer::Events { events, more } => {
                (events.iter().map(|e| e.seq.0).collect::<Vec<_>>(), more)
            }
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(page(0, 2), (vec![1, 2], true));
    assert_eq!(page(2, 2), (vec![3, 4], false));
    assert_eq!(page(9, 2), (vec![], false));
}
