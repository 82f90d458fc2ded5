//! Programs and sessions: open, takeover, hand-over and close; refusals and resends.

mod common;

use common::*;
use hooklug_state::shard::{
    EventBody, ShardAnswer, ShardMachine, ShardQuery, ShardRefusal, ShardReply, TurnState,
};
use hooklug_types::{EndReason, EventSeq, SessionEpoch, TokenCount};

#[test]
fn a_program_is_declared_once() {
    let mut shard = ShardMachine::new(RETENTION);
    let (first, second) = shard.apply_twice(put_program(BUDGET));
    assert_eq!(first, second);
    assert_eq!(
        shard.apply_command(put_program(BUDGET + 1)),
        ShardReply::Refused(ShardRefusal::ProgramDiffers)
    );
}

#[test]
fn commands_report_a_missing_program_or_session() {
    let mut shard = ShardMachine::new(RETENTION);
    let refused = |shard: &mut ShardMachine, command| match shard.apply_command(command) {
        ShardReply::Refused(refusal) => refusal,
        other => panic!("{other:?}"),
    };
    for command in [open("s", "e1"), begin(1, "t1", None, 5), begin_call("a", "x"), seal_call("x")]
    {
        assert_eq!(refused(&mut shard, command), ShardRefusal::NoProgram);
    }
    shard.apply_accepted(put_program(BUDGET));
    for command in [begin(1, "t1", None, 5), take("s", 1, "e2"), hand_over(1), close(1)] {
        assert_eq!(refused(&mut shard, command), ShardRefusal::NoSession);
    }
}

#[test]
fn the_first_to_open_a_session_owns_it() {
    let mut shard = shard_with_session();
    let (first, second) = shard.apply_twice(open("s", "e2"));
    assert_eq!(first, second);
    assert_eq!(first, ShardReply::Session(shard.session()));
    assert_eq!(shard.session().owner, Some(engine("e1")));
    assert_eq!(shard.session().epoch, SessionEpoch(1));
}

#[test]
fn opening_an_unowned_session_assigns_a_new_epoch() {
    let mut shard = shard_with_session();
    shard.apply_accepted(hand_over(1));
    shard.apply_accepted(open("s", "e2"));
    assert_eq!(shard.session().owner, Some(engine("e2")));
    assert_eq!(shard.session().epoch, SessionEpoch(3));
}

#[test]
fn a_taker_fences_the_former_owner() {
    let mut shard = shard_with_session();
    let (first, second) = shard.apply_twice(take("s", 1, "e2"));
    assert_eq!(first, second);
    assert_eq!(shard.session().epoch, SessionEpoch(2));
    let stale = [
        begin(1, "t1", None, 5),
        append(1, None, 1, vec![result("c", "1")]),
        finish(1, "t1"),
        hand_over(1),
        close(1),
        take("s", 1, "e3"),
    ];
    for command in stale {
        let refusal = shard.apply_refused(command);
        assert_eq!(refusal, ShardRefusal::StaleEpoch { record: Box::new(shard.session()) });
    }
}

#[test]
fn taking_over_seals_the_open_turn_and_settles_its_reservation() {
    let mut shard = shard_with_session();
    shard.apply_accepted(begin(1, "t1", None, 60));
    shard.apply_accepted(append(1, Some("t1"), 2, vec![tokens(7), tokens(4)]));
    shard.apply_accepted(take("s", 1, "e2"));
    let ended = shard.turn_record("t1").unwrap();
    assert_eq!(ended.tokens, TokenCount(11));
    let interrupted = TurnState::Ended { reason: EndReason::Interrupted, last_seq: EventSeq(4) };
    assert_eq!(ended.state, interrupted);
    assert_eq!(shard.session().head, Some(turn("t1")));
    let program = shard.program_record();
    assert_eq!((program.spent, program.reserved), (TokenCount(11), TokenCount(0)));
    let all = ShardQuery::Events { key: key("s"), after: EventSeq(0), limit: 100 };
    let ShardAnswer::Events { events, more } = shard.answer(&all) else { panic!() };
    assert!(!more && events.iter().map(|e| e.seq.0).eq(1..=4));
    let sealed = EventBody::TurnEnded { reason: EndReason::Interrupted, tokens: TokenCount(11) };
    assert_eq!(events[3].body, sealed);
    shard.apply_accepted(begin(2, "t2", Some("t1"), 5));
}

#[test]
fn hand_over_happens_between_turns_only() {
    let mut shard = shard_with_session();
    shard.apply_accepted(begin(1, "t1", None, 5));
    assert_eq!(shard.apply_refused(hand_over(1)), ShardRefusal::TurnOpen { turn: turn("t1") });
    assert_eq!(shard.apply_refused(close(1)), ShardRefusal::TurnOpen { turn: turn("t1") });
    shard.apply_accepted(finish(1, "t1"));
    let (first, second) = shard.apply_twice(hand_over(1));
    assert_eq!(first, second);
    assert_eq!((shard.session().owner, shard.session().epoch), (None, SessionEpoch(2)));
    for command in [begin(1, "t2", Some("t1"), 5), begin(2, "t2", Some("t1"), 5)] {
        assert!(matches!(shard.apply_refused(command), ShardRefusal::StaleEpoch { .. }));
    }
    shard.apply_accepted(take("s", 2, "e2"));
    assert!(matches!(shard.apply_refused(hand_over(1)), ShardRefusal::StaleEpoch { .. }));
}

#[test]
fn a_closed_session_refuses_all_commands() {
    let mut shard = shard_with_session();
    let (first, second) = shard.apply_twice(close(1));
    assert_eq!(first, second);
    assert!(shard.session().closed && shard.session().owner.is_none());
    let later = [
        open("s", "e1"),
        take("s", 1, "e2"),
        begin(1, "t1", None, 5),
        append(1, None, 2, vec![result("c", "1")]),
        hand_over(1),
    ];
    for command in later {
        assert_eq!(shard.apply_refused(command), ShardRefusal::SessionClosed);
    }
    let open_ones = ShardQuery::OpenSessions { after: None, limit: 9 };
    assert_eq!(shard.answer(&open_ones), ShardAnswer::OpenSessions(vec![]));
}

#[test]
fn open_sessions_are_listed_in_pages() {
    let mut shard = shard_with_session();
    shard.apply_accepted(open("a", "e1"));
    shard.apply_accepted(open("t", "e1"));
    let page = |after: Option<&str>, limit| match shard
        .answer(&ShardQuery::OpenSessions { after: after.map(key), limit })
    {
        ShardAnswer::OpenSessions(found) => {
            found.into_iter().map(|s| s.key.session.to_string()).collect::<Vec<_>>()
        }
        other => panic!("{other:?}"),
    };
    assert_eq!(page(None, 2), ["a", "s"]);
    assert_eq!(page(Some("s"), 2), ["t"]);
}
