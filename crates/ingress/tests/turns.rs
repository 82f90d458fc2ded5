//! Turns of chained sessions: complete turns are retained, truncated streams are reported as
//! truncated, and budgets are enforced.

mod support;

use std::time::Duration;

use hooklug_ingress::{IngressAnswer, IngressRequest, Refusal, Truncated};
use hooklug_types::{GroupId, ProgramId, shard_of};
use support::{Behaviour, FakeBackend, World, eventually, forwarded, turn};

const TWO: Behaviour = Behaviour::Events(&["a", "b"]);

fn refusal(answer: IngressAnswer) -> Refusal {
    match answer {
        IngressAnswer::Refused(refusal) => refusal,
        IngressAnswer::Forwarded(head, _) => panic!("unexpected response: {}", head.status),
    }
}

fn shard() -> GroupId {
    shard_of("p")
}

async fn complete_body(world: &World, request: &IngressRequest) -> String {
    let (status, body) = forwarded(world.ingress.serve(request).await).await;
    assert_eq!(status, 200);
    body.expect("a complete response")
}

#[tokio::test]
async fn the_engine_receives_the_history_before_the_new_input() {
    let engine = FakeBackend::start("e1", &[TWO, TWO, TWO]).await;
    let world = World::new(&[&engine]).await;
    let body = complete_body(&world, &turn("/kept/x", "t1", None)).await;
    assert_eq!(body, "id: 0\ndata: a\n\nid: 1\ndata: b\n\n");
    complete_body(&world, &turn("/kept/x", "t2", Some("t1"))).await;
    // Another host has no cached history and reads it from the shard.
    let other = World::on(world.state.clone(), &[&engine]).await;
    complete_body(&other, &turn("/kept/x", "t3", Some("t2"))).await;
    let bodies: Vec<String> = engine.executed().into_iter().map(|ran| ran.body).collect();
    assert_eq!(bodies, ["[t1]", "[t1]a\nb\n[t2]", "[t1]a\nb\n[t2]a\nb\n[t3]"]);
}

#[tokio::test]
async fn a_turn_continuing_an_unknown_turn_is_refused() {
    let engine = FakeBackend::start("e1", &[]).await;
    let world = World::new(&[&engine]).await;
    let request = turn("/kept/x", "t2", Some("t1"));
    assert_eq!(refusal(world.ingress.serve(&request).await), Refusal::UnknownTurn);
    assert_eq!(engine.executed(), []);
}

/// Guards against two requests with one id that share a reservation, which the first to end settles
/// while the other still streams tokens.
#[tokio::test]
async fn a_second_request_with_the_id_of_a_running_turn_is_not_run() {
    let engine = FakeBackend::start("e1", &[Behaviour::EventsHeld(&["a", "b"]), TWO]).await;
    let world = World::new(&[&engine]).await;
    let first = world.ingress.serve(&turn("/kept/x", "t1", None)).await;
    let refused = refusal(world.ingress.serve(&turn("/kept/x", "t1", None)).await);
    assert!(matches!(refused, Refusal::ResponseLost(_)), "{refused}");
    engine.release();
    let body = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";
    assert_eq!(forwarded(first).await, (200, Ok(body.to_owned())));
    let refused = refusal(world.ingress.serve(&turn("/kept/x", "t1", None)).await);
    assert!(matches!(refused, Refusal::ResponseLost(_)), "after its end: {refused}");
    assert_eq!(engine.executed().len(), 1);
    // Another turn of the program is not affected.
    complete_body(&world, &turn("/kept/x", "t2", Some("t1"))).await;
}

/// Guards against a second request with the id of a turn whose caller has left: the end of the first
/// one arrives while the second runs, and settles its reservation.
#[tokio::test]
async fn a_second_request_with_the_id_of_a_turn_whose_end_waits_is_not_run() {
    let engine = FakeBackend::start("e1", &[Behaviour::Unresponsive, TWO]).await;
    let (world, link) = World::behind_link(&[&engine]).await;
    let ingress = world.ingress.clone();
    let first = tokio::spawn(async move { ingress.serve(&turn("/kept/x", "t1", None)).await });
    eventually("the turn runs", || engine.executed().len() == 1).await;
    link.set_stalled(true);
    first.abort();
    let _ = first.await;
    let refused = refusal(world.ingress.serve(&turn("/kept/x", "t1", None)).await);
    assert!(matches!(refused, Refusal::ResponseLost(_)), "{refused}");
    assert_eq!(engine.executed().len(), 1);
    link.set_stalled(false);
    world.ingress.finish().await;
}

#[tokio::test]
async fn a_turn_is_not_reported_unknown_while_a_shard_is_unavailable() {
    let engine = FakeBackend::start("e1", &[]).await;
    let world = World::new(&[&engine]).await;
    let another = GroupId::all().find(|group| group.0 != 0 && *group != shard()).unwrap();
    world.state.set_available(another, false);
    let request = IngressRequest {
        caller_timeout: Some(Duration::from_millis(300)),
        ..turn("/kept/x", "t2", Some("t1"))
    };
    let refused = refusal(world.ingress.serve(&request).await);
    assert!(matches!(refused, Refusal::NotRun { .. }), "{refused}");
    assert_eq!(engine.executed(), []);
}

#[tokio::test]
async fn a_turn_can_continue_a_turn_of_another_program() {
    let engine = FakeBackend::start("e1", &[TWO, TWO]).await;
    let world = World::new(&[&engine]).await;
    complete_body(&world, &turn("/kept/x", "t1", None)).await;
    let mut request = turn("/kept/x", "t2", Some("t1"));
    let other = (0..).map(|n| format!("q{n}")).find(|name| shard_of(name) != shard()).unwrap();
    request.turn.as_mut().unwrap().program = ProgramId::new(other).unwrap();
    complete_body(&world, &request).await;
    assert_eq!(engine.executed()[1].body, "[t1]a\nb\n[t2]");
}

#[tokio::test]
async fn a_truncated_stream_is_reported_truncated_and_not_retained() {
    let engine = FakeBackend::start("e1", &[Behaviour::EventsTruncated(&["a"])]).await;
    let world = World::new(&[&engine]).await;
    let (status, body) = forwarded(world.ingress.serve(&turn("/kept/x", "t1", None)).await).await;
    assert_eq!((status, body), (200, Err(Truncated)));
    let request = turn("/kept/x", "t2", Some("t1"));
    assert_eq!(refusal(world.ingress.serve(&request).await), Refusal::UnknownTurn);
}

#[tokio::test]
async fn a_turn_with_an_unrecorded_end_is_reported_truncated() {
    let engine = FakeBackend::start("e1", &[Behaviour::EventsHeld(&["a", "b"])]).await;
    let world = World::new(&[&engine]).await;
    let request = IngressRequest {
        caller_timeout: Some(Duration::from_millis(1_500)),
        ..turn("/kept/x", "t1", None)
    };
    let answer = world.ingress.serve(&request).await;
    world.state.set_available(shard(), false);
    engine.release();
    assert_eq!(forwarded(answer).await.1, Err(Truncated));
}

#[tokio::test]
async fn a_turn_does_not_run_while_its_shard_is_unavailable() {
    let engine = FakeBackend::start("e1", &[]).await;
    let world = World::new(&[&engine]).await;
    world.state.set_available(shard(), false);
    let request = IngressRequest {
        caller_timeout: Some(Duration::from_millis(200)),
        ..turn("/free/x", "t1", None)
    };
    let refused = refusal(world.ingress.serve(&request).await);
    assert!(matches!(refused, Refusal::NotRun { .. }), "{refused}");
    assert_eq!(engine.executed(), []);
}

#[tokio::test]
async fn the_budget_holds_over_all_turns_of_a_program() {
    let script = vec![Behaviour::Events(&["a", "b", "c", "d"]); 10];
    let engine = FakeBackend::start("e1", &script).await;
    let world = World::new(&[&engine]).await;
    // Each turn has four events of three tokens; the budget is thirty tokens.
    for number in 0..3 {
        complete_body(&world, &turn("/free/x", &format!("t{number}"), None)).await;
    }
    world.ingress.finish().await;
    let refused = refusal(world.ingress.serve(&turn("/free/x", "t9", None)).await);
    assert_eq!(refused, Refusal::BudgetSpent);
    assert_eq!(engine.executed().len(), 3);
}

#[tokio::test]
async fn a_turn_is_retried_after_a_full_engine_but_not_after_a_lost_response() {
    let full = FakeBackend::start("e1", &[Behaviour::AtCapacity, Behaviour::AtCapacity]).await;
    let lost = FakeBackend::start("e2", &[Behaviour::NoResponse]).await;
    let world = World::new(&[&full, &lost]).await;
    let refused = refusal(world.ingress.serve(&turn("/free/x", "t1", None)).await);
    assert!(matches!(refused, Refusal::ResponseLost(_)), "{refused}");
    assert_eq!((full.executed().len(), lost.executed().len()), (0, 1));
}

/// Guards against a turn that runs twice: the late copy of an earlier rejection is taken for the
/// response to the next attempt at the same engine, which has run the turn.
#[tokio::test]
async fn a_turn_runs_once_although_its_rejection_arrives_once_more() {
    let engine = FakeBackend::start("e1", &[Behaviour::AtCapacityTwice(0), TWO]).await;
    let world = World::new(&[&engine]).await;
    complete_body(&world, &turn("/kept/x", "t1", None)).await;
    assert_eq!(engine.executed().len(), 1);
}

#[tokio::test]
async fn a_disconnected_caller_cancels_the_engine_stream() {
    let engine = FakeBackend::start("e1", &[Behaviour::Unresponsive]).await;
    let world = World::new(&[&engine]).await;
    let ingress = world.ingress.clone();
    let serving = tokio::spawn(async move { ingress.serve(&turn("/kept/x", "t1", None)).await });
    eventually("the turn runs", || engine.executed().len() == 1).await;
    serving.abort();
    eventually("the engine's request is cancelled", || engine.disconnects() == 1).await;
}
