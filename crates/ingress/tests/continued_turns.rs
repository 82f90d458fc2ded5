//! Turns that go on from a turn that was answered whole: at another gateway, after lost replies, after
//! a change of owner and in other programs. None of them is refused as unknown within the retention
//! time. The test sets the order of events and the time of the shards.

mod support;

use std::time::Duration;

use hooklug_ingress::unknown_turns::{Reason, read_reason};
use hooklug_ingress::{IngressAnswer, IngressRequest, Refusal};
use hooklug_state::shard::{ChainedTurnStatus, EndChainedTurn, ShardCommand, ShardReply};
use hooklug_store::{MemoryState, StateAccess};
use hooklug_types::{
    ProgramId, SessionEpoch, SessionId, SessionKey, TokenCount, TurnId, UnixMillis, shard_of,
};
use support::{Behaviour, FakeBackend, TEST_TIMEOUT, World, forwarded, turn};
use tokio::time::Instant;

const ONE: Behaviour = Behaviour::Events(&["a"]);
/// Retention time of the route.
const RETENTION: Duration = Duration::from_secs(60);
const START: UnixMillis = UnixMillis(1_800_000_000_000);

/// A turn of a program; `after` is the turn it goes on from.
fn turn_of(program: &str, id: &str, after: Option<&str>) -> IngressRequest {
    let mut request = turn("/kept/x", id, after);
    let turn = request.turn.as_mut().expect("a turn");
    turn.program = ProgramId::new(program).unwrap();
    turn.token_budget = None;
    request
}

/// Names of programs, each in a shard of its own.
fn programs(count: usize) -> Vec<String> {
    let mut names: Vec<String> = Vec::new();
    for name in (0..).map(|number| format!("program-{number}")) {
        if names.len() == count {
            break;
        }
        if names.iter().all(|other| shard_of(other) != shard_of(&name)) {
            names.push(name);
        }
    }
    names
}

async fn assert_whole(world: &World, request: &IngressRequest) {
    match world.ingress.serve(request).await {
        IngressAnswer::Refused(refusal) => panic!("{} is refused: {refusal}", request.id),
        answer => assert!(forwarded(answer).await.1.is_ok(), "{} is not whole", request.id),
    }
}

async fn engine() -> FakeBackend {
    FakeBackend::start("e1", &[ONE, ONE, ONE, ONE, ONE, ONE, ONE, ONE]).await
}

/// Two gateways on the same shards.
async fn two_gateways(engine: &FakeBackend) -> (World, World) {
    let first = World::new(&[engine]).await;
    let second = World::on(first.state.clone(), &[engine]).await;
    (first, second)
}

/// Guards against a turn that is forgotten because the reply to its end was lost, and its gateway then
/// ended it once more, as a turn without output.
#[tokio::test]
async fn a_turn_whose_recorded_end_got_no_reply_can_be_continued_at_another_gateway() {
    let engine = FakeBackend::start("e1", &[Behaviour::EventsHeld(&["a"]), ONE]).await;
    let (first, second) = two_gateways(&engine).await;
    let answer = first.ingress.serve(&turn_of("p", "t1", None)).await;
    first.state.drop_replies(shard_of("p"), 1);
    engine.release();
    assert!(forwarded(answer).await.1.is_err(), "nobody knows that the end is recorded");
    first.ingress.finish().await;
    assert_whole(&second, &turn_of("p", "t2", Some("t1"))).await;
    assert_eq!(engine.executed()[1].body, "[t1]a\n[t2]");
}

/// Guards against an end that changes a turn when it arrives once more, also after the next turn has
/// made another host the owner.
#[tokio::test]
async fn an_end_that_arrives_once_more_leaves_the_turn_as_it_is() {
    let engine = engine().await;
    let (first, second) = two_gateways(&engine).await;
    assert_whole(&first, &turn_of("p", "t1", None)).await;
    assert_whole(&second, &turn_of("p", "t2", Some("t1"))).await;
    for output in [Some(bytes::Bytes::from_static(b"a\n")), None] {
        let program = ProgramId::new("p").unwrap();
        let end = EndChainedTurn {
            key: SessionKey { program, session: SessionId::new("s").unwrap() },
            turn: TurnId::new("t1").unwrap(),
            epoch: SessionEpoch(1),
            tokens: TokenCount(3),
            output,
        };
        let command = ShardCommand::EndChainedTurn(end);
        let deadline = Instant::now() + TEST_TIMEOUT;
        let reply = first.state.execute_shard(shard_of("p"), &command, deadline).await;
        assert_eq!(reply, Ok(ShardReply::Done));
    }
    assert_whole(&first, &turn_of("p", "t3", Some("t1"))).await;
    assert_whole(&second, &turn_of("p", "t4", Some("t2"))).await;
}

/// Guards against a turn that is lost because the gateway that ran it is gone, with its cache.
#[tokio::test]
async fn a_turn_can_be_continued_after_its_owner_is_gone() {
    let engine = engine().await;
    let (first, second) = two_gateways(&engine).await;
    assert_whole(&first, &turn_of("p", "t1", None)).await;
    first.ingress.finish().await;
    drop(first);
    assert_whole(&second, &turn_of("p", "t2", Some("t1"))).await;
}

/// Guards against a chain through several programs that breaks when the record of the first one is
/// deleted: each program goes on a moment before the retention time of the turn before it ends.
#[tokio::test]
async fn a_chain_through_programs_outlasts_the_records_of_the_first_ones() {
    let engine = engine().await;
    let (first, second) = two_gateways(&engine).await;
    let state: &MemoryState = &first.state;
    let names = programs(4);
    state.set_clock(START);
    assert_whole(&first, &turn_of(&names[0], "t1", None)).await;
    for (number, name) in names.iter().enumerate().skip(1) {
        let passed = (RETENTION - Duration::from_millis(1)) * u32::try_from(number).unwrap();
        state.set_clock(START.plus(passed));
        let world = if number % 2 == 0 { &first } else { &second };
        let (id, after) = (format!("t{}", number + 1), format!("t{number}"));
        assert_whole(world, &turn_of(name, &id, Some(&after))).await;
    }
    // The fourth turn got the whole chain, and its own program goes on from it.
    let bodies: Vec<String> = engine.executed().into_iter().map(|ran| ran.body).collect();
    assert_eq!(bodies[3], "[t1]a\n[t2]a\n[t3]a\n[t4]");
    assert_whole(&first, &turn_of(&names[3], "t5", Some("t4"))).await;
}

/// Guards against a turn of another program that is refused because a turn of this program that was
/// cancelled or cut off has the same shard.
#[tokio::test]
async fn a_truncated_attempt_does_not_hide_the_turn_that_it_went_on_from() {
    let cut = Behaviour::EventsTruncated(&["a"]);
    let engine = FakeBackend::start("e1", &[ONE, cut.clone(), cut, ONE, ONE]).await;
    let (first, second) = two_gateways(&engine).await;
    let names = programs(2);
    assert_whole(&first, &turn_of(&names[0], "t1", None)).await;
    for (world, id) in [(&first, "t2a"), (&second, "t2b")] {
        let answer = world.ingress.serve(&turn_of(&names[1], id, Some("t1"))).await;
        assert!(forwarded(answer).await.1.is_err());
    }
    assert_whole(&second, &turn_of(&names[1], "t2c", Some("t1"))).await;
    assert_whole(&first, &turn_of(&names[1], "t3", Some("t2c"))).await;
}

/// Guards against refusals that tell operators nothing: each state of the turn before has its reason.
#[tokio::test]
async fn a_refusal_of_an_unknown_turn_has_a_reason() {
    let cut = Behaviour::EventsTruncated(&["a"]);
    let held = Behaviour::EventsHeld(&["a"]);
    let engine = FakeBackend::start("e1", &[cut, held]).await;
    let world = World::new(&[&engine]).await;
    let reason = async |after: &str| {
        let request = turn_of("p", &format!("after-{after}"), Some(after));
        let answer = world.ingress.serve(&request).await;
        let is_refused = matches!(answer, IngressAnswer::Refused(Refusal::UnknownTurn));
        assert!(is_refused, "{answer:?}");
        let after = TurnId::new(after).unwrap();
        read_reason(&world.state, request.turn.as_ref().unwrap(), &after).await
    };
    assert_eq!(reason("t0").await, Reason::Status(ChainedTurnStatus::UnknownProgram));
    let answer = world.ingress.serve(&turn_of("p", "t1", None)).await;
    assert!(forwarded(answer).await.1.is_err());
    eventually_not_retained(&world, "t1").await;
    assert_eq!(reason("t0").await, Reason::Status(ChainedTurnStatus::UnknownTurn));
    assert_eq!(reason("t1").await, Reason::Status(ChainedTurnStatus::NotRetained));
    let answer = world.ingress.serve(&turn_of("p", "t2", None)).await;
    assert_eq!(reason("t2").await, Reason::Status(ChainedTurnStatus::Open));
    engine.release();
    assert!(forwarded(answer).await.1.is_ok());
    let request = turn_of("p", "t3", Some("t2"));
    let after = TurnId::new("t2").unwrap();
    let read = read_reason(&world.state, request.turn.as_ref().unwrap(), &after).await;
    assert_eq!(read, Reason::Status(ChainedTurnStatus::Retained));
    world.state.set_available(shard_of("p"), false);
    let read = read_reason(&world.state, request.turn.as_ref().unwrap(), &after).await;
    assert_eq!(read, Reason::Unavailable);
}

/// Waits until the end of a truncated turn is recorded.
async fn eventually_not_retained(world: &World, id: &str) {
    let request = turn_of("p", "next", Some(id));
    let (turn, after) = (request.turn.expect("a turn"), TurnId::new(id).unwrap());
    let until = Instant::now() + TEST_TIMEOUT;
    let not_retained = Reason::Status(ChainedTurnStatus::NotRetained);
    while read_reason(&world.state, &turn, &after).await != not_retained {
        assert!(Instant::now() < until, "the end of {id} is never recorded");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
