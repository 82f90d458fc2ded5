//! Turns of chained sessions: what was said whole is kept, what was cut looks cut, and budgets hold.

mod support;

use std::time::Duration;

use hooklug_ingress::{Cut, IngressAnswer, IngressRequest, Refusal};
use hooklug_types::{GroupId, ProgramId, shard_of};
use support::{Behaviour, StandIn, World, eventually, passed, turn};

const TWO: Behaviour = Behaviour::Events(&["a", "b"]);

fn refusal(answer: IngressAnswer) -> Refusal {
    match answer {
        IngressAnswer::Refused(refusal) => refusal,
        IngressAnswer::Passed(head, _) => panic!("passed on: {}", head.status),
    }
}

fn shard() -> GroupId {
    shard_of("p")
}

async fn whole(world: &World, request: &IngressRequest) -> String {
    let (status, body) = passed(world.ingress.serve(request).await).await;
    assert_eq!(status, 200);
    body.expect("a whole answer")
}

#[tokio::test]
async fn the_engine_gets_the_chain_before_the_new_input() {
    let engine = StandIn::start("e1", &[TWO, TWO, TWO]).await;
    let world = World::new(&[&engine]).await;
    let said = whole(&world, &turn("/kept/x", "t1", None)).await;
    assert_eq!(said, "id: 0\ndata: a\n\nid: 1\ndata: b\n\n");
    whole(&world, &turn("/kept/x", "t2", Some("t1"))).await;
    // Another host holds no history, and gets it from the shard.
    let other = World::on(world.state.clone(), &[&engine]).await;
    whole(&other, &turn("/kept/x", "t3", Some("t2"))).await;
    let bodies: Vec<String> = engine.ran().into_iter().map(|ran| ran.body).collect();
    assert_eq!(bodies, ["[t1]", "[t1]a\nb\n[t2]", "[t1]a\nb\n[t2]a\nb\n[t3]"]);
}

#[tokio::test]
async fn a_turn_after_an_unknown_one_reaches_no_engine() {
    let engine = StandIn::start("e1", &[]).await;
    let world = World::new(&[&engine]).await;
    let request = turn("/kept/x", "t2", Some("t1"));
    assert_eq!(refusal(world.ingress.serve(&request).await), Refusal::UnknownTurn);
    assert_eq!(engine.ran(), []);
}

#[tokio::test]
async fn while_any_shard_is_silent_no_turn_is_called_unknown() {
    let engine = StandIn::start("e1", &[]).await;
    let world = World::new(&[&engine]).await;
    let another = GroupId::all().find(|group| group.0 != 0 && *group != shard()).unwrap();
    world.state.set_available(another, false);
    let request = IngressRequest {
        patience: Some(Duration::from_millis(300)),
        ..turn("/kept/x", "t2", Some("t1"))
    };
    let refused = refusal(world.ingress.serve(&request).await);
    assert!(matches!(refused, Refusal::NotRun { .. }), "{refused}");
    assert_eq!(engine.ran(), []);
}

#[tokio::test]
async fn a_turn_of_another_program_is_found() {
    let engine = StandIn::start("e1", &[TWO, TWO]).await;
    let world = World::new(&[&engine]).await;
    whole(&world, &turn("/kept/x", "t1", None)).await;
    let mut request = turn("/kept/x", "t2", Some("t1"));
    let other = (0..).map(|n| format!("q{n}")).find(|name| shard_of(name) != shard()).unwrap();
    request.turn.as_mut().unwrap().program = ProgramId::new(other).unwrap();
    whole(&world, &request).await;
    assert_eq!(engine.ran()[1].body, "[t1]a\nb\n[t2]");
}

#[tokio::test]
async fn a_cut_stream_looks_cut_and_is_not_kept() {
    let engine = StandIn::start("e1", &[Behaviour::EventsCut(&["a"])]).await;
    let world = World::new(&[&engine]).await;
    let (status, body) = passed(world.ingress.serve(&turn("/kept/x", "t1", None)).await).await;
    assert_eq!((status, body), (200, Err(Cut)));
    let request = turn("/kept/x", "t2", Some("t1"));
    assert_eq!(refusal(world.ingress.serve(&request).await), Refusal::UnknownTurn);
}

#[tokio::test]
async fn a_turn_whose_end_cannot_be_recorded_does_not_look_whole() {
    let engine = StandIn::start("e1", &[Behaviour::EventsHeld(&["a", "b"])]).await;
    let world = World::new(&[&engine]).await;
    let request = IngressRequest {
        patience: Some(Duration::from_millis(1_500)),
        ..turn("/kept/x", "t1", None)
    };
    let answer = world.ingress.serve(&request).await;
    world.state.set_available(shard(), false);
    engine.release();
    assert_eq!(passed(answer).await.1, Err(Cut));
}

#[tokio::test]
async fn without_word_from_the_shard_nothing_runs() {
    let engine = StandIn::start("e1", &[]).await;
    let world = World::new(&[&engine]).await;
    world.state.set_available(shard(), false);
    let request = IngressRequest {
        patience: Some(Duration::from_millis(200)),
        ..turn("/free/x", "t1", None)
    };
    let refused = refusal(world.ingress.serve(&request).await);
    assert!(matches!(refused, Refusal::NotRun { .. }), "{refused}");
    assert_eq!(engine.ran(), []);
}

#[tokio::test]
async fn the_budget_holds_over_all_turns_of_a_program() {
    let script = vec![Behaviour::Events(&["a", "b", "c", "d"]); 10];
    let engine = StandIn::start("e1", &script).await;
    let world = World::new(&[&engine]).await;
    // Four events of three tokens a turn, and a budget of thirty.
    for number in 0..3 {
        whole(&world, &turn("/free/x", &format!("t{number}"), None)).await;
    }
    world.ingress.finish().await;
    let refused = refusal(world.ingress.serve(&turn("/free/x", "t9", None)).await);
    assert_eq!(refused, Refusal::BudgetSpent);
    assert_eq!(engine.ran().len(), 3);
}

#[tokio::test]
async fn a_full_engine_is_left_for_another_and_a_lost_answer_is_not() {
    let full = StandIn::start("e1", &[Behaviour::Full, Behaviour::Full]).await;
    let lost = StandIn::start("e2", &[Behaviour::Lost]).await;
    let world = World::new(&[&full, &lost]).await;
    let refused = refusal(world.ingress.serve(&turn("/free/x", "t1", None)).await);
    assert!(matches!(refused, Refusal::AnswerLost(_)), "{refused}");
    assert_eq!((full.ran().len(), lost.ran().len()), (0, 1));
}

#[tokio::test]
async fn when_the_caller_leaves_a_stream_its_engine_is_told() {
    let engine = StandIn::start("e1", &[Behaviour::Silent]).await;
    let world = World::new(&[&engine]).await;
    let ingress = world.ingress.clone();
    let serving = tokio::spawn(async move { ingress.serve(&turn("/kept/x", "t1", None)).await });
    eventually("the turn runs", || engine.ran().len() == 1).await;
    serving.abort();
    eventually("the engine's work is cancelled", || engine.left() == 1).await;
}
