//! Calls over back ends that refuse, break off and answer for others: nothing that may run once runs twice, and no
//! answer is passed on that is not the request's own and whole.

mod support;

use std::time::Duration;

use hooklug_ingress::{IngressAnswer, IngressRequest, Refusal};
use hooklug_store::MemoryState;
use support::{Behaviour, StandIn, World, call, eventually, passed};

async fn answer_of(script: &[Behaviour], path: &str) -> (IngressAnswer, StandIn) {
    let backend = StandIn::start("e1", script).await;
    let world = World::new(&[&backend]).await;
    (world.ingress.serve(&call(path, "r1")).await, backend)
}

fn refusal(answer: IngressAnswer) -> Refusal {
    match answer {
        IngressAnswer::Refused(refusal) => refusal,
        IngressAnswer::Passed(head, _) => panic!("passed on: {}", head.status),
    }
}

#[tokio::test]
async fn an_answer_is_passed_on_unchanged() {
    let (answer, backend) = answer_of(&[Behaviour::Answer(201, "made")], "/once/x").await;
    assert_eq!(passed(answer).await, (201, Ok("made".to_owned())));
    assert_eq!(backend.ran().len(), 1);
}

#[tokio::test]
async fn before_a_bundle_is_in_force_nothing_is_denied() {
    let world = World::without_bundle(MemoryState::default(), &[]);
    let refused = refusal(world.ingress.serve(&call("/once/x", "r1")).await);
    assert!(matches!(refused, Refusal::NotConfigured { .. }), "{refused}");
}

#[tokio::test]
async fn no_route_is_said_at_once() {
    let (answer, _) = answer_of(&[], "/elsewhere/x").await;
    assert_eq!(refusal(answer), Refusal::NoRoute);
}

#[tokio::test]
async fn a_full_back_end_is_left_for_another_and_the_call_runs_once() {
    let full = StandIn::start("e1", &[Behaviour::Full, Behaviour::Full, Behaviour::Full]).await;
    let free = StandIn::start("e2", &[]).await;
    let world = World::new(&[&full, &free]).await;
    for number in 0..8 {
        let answer = world.ingress.serve(&call("/once/x", &format!("r{number}"))).await;
        assert_eq!(passed(answer).await.0, 200);
    }
    assert_eq!(full.ran().len() + free.ran().len(), 8);
}

#[tokio::test]
async fn another_back_end_at_the_address_is_never_asked_again() {
    let other = StandIn::start("e1", &vec![Behaviour::Other; 50]).await;
    let right = StandIn::start("e2", &[]).await;
    let world = World::new(&[&other, &right]).await;
    for number in 0..20 {
        let answer = world.ingress.serve(&call("/once/x", &format!("r{number}"))).await;
        assert_eq!(passed(answer).await.0, 200);
    }
    assert_eq!((other.ran().len(), right.ran().len()), (0, 20));
}

#[tokio::test]
async fn without_room_anywhere_the_caller_is_told_when_to_come_back() {
    let (answer, backend) = answer_of(&vec![Behaviour::Full; 500], "/once/x").await;
    let refused = refusal(answer);
    assert!(matches!(refused, Refusal::NotRun { .. }), "{refused}");
    assert_eq!(backend.ran(), []);
}

#[tokio::test]
async fn a_lost_answer_to_a_call_that_may_run_once_is_not_asked_for_again() {
    for lost in [Behaviour::Lost, Behaviour::Foreign, Behaviour::Cut] {
        let (answer, backend) = answer_of(std::slice::from_ref(&lost), "/once/x").await;
        let refused = refusal(answer);
        assert!(matches!(refused, Refusal::AnswerLost(_)), "{lost:?}: {refused}");
        assert_eq!(backend.ran().len(), 1, "{lost:?}");
    }
}

#[tokio::test]
async fn a_lost_answer_to_a_call_that_may_repeat_is_made_up_for() {
    for lost in [Behaviour::Lost, Behaviour::Foreign, Behaviour::Cut, Behaviour::Answer(500, "no")]
    {
        let backends = [
            StandIn::start("e1", std::slice::from_ref(&lost)).await,
            StandIn::start("e2", std::slice::from_ref(&lost)).await,
            StandIn::start("e3", &[]).await,
        ];
        let world = World::new(&[&backends[0], &backends[1], &backends[2]]).await;
        // Two tries at most, so one of three answers may find two bad ones; the next finds none.
        for number in 0..3 {
            world.ingress.serve(&call("/any/x", &format!("r{number}"))).await;
        }
        let answer = world.ingress.serve(&call("/any/x", "last")).await;
        assert_eq!(passed(answer).await, (200, Ok("done".to_owned())), "{lost:?}");
        for number in 0..3 {
            let id = format!("r{number}");
            let runs: usize =
                backends.iter().map(|b| b.ran().iter().filter(|ran| ran.id == id).count()).sum();
            assert!((1..=2).contains(&runs), "{lost:?}: {id} ran {runs} times");
        }
    }
}

#[tokio::test]
async fn a_failure_of_the_back_ends_own_is_passed_on() {
    let (answer, _) = answer_of(&[Behaviour::Answer(500, "no")], "/once/x").await;
    assert_eq!(passed(answer).await, (500, Ok("no".to_owned())));
}

#[tokio::test]
async fn the_time_is_the_callers() {
    let backend = StandIn::start("e1", &[Behaviour::Silent]).await;
    let world = World::new(&[&backend]).await;
    let patience = Some(Duration::from_millis(300));
    let request = IngressRequest { patience, ..call("/once/x", "r1") };
    assert_eq!(refusal(world.ingress.serve(&request).await), Refusal::TimedOut);
    eventually("the back end's work is cancelled", || backend.left() == 1).await;
}

#[tokio::test]
async fn when_the_caller_leaves_the_back_end_is_told() {
    let backend = StandIn::start("e1", &[Behaviour::Silent]).await;
    let world = World::new(&[&backend]).await;
    let ingress = world.ingress.clone();
    let serving = tokio::spawn(async move { ingress.serve(&call("/once/x", "r1")).await });
    eventually("the call runs", || backend.ran().len() == 1).await;
    serving.abort();
    eventually("the back end's work is cancelled", || backend.left() == 1).await;
}
