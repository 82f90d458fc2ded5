//! Calls over back ends that refuse, break off and answer for others: nothing that may run once runs twice, and no
//! answer is passed on that is not the request's own and whole.

mod support;

use std::sync::Arc;
use std::time::Duration;

use hooklug_control::backends::BackendList;
use hooklug_ingress::{IngressAnswer, IngressRequest, Refusal};
use hooklug_protocol::backends::ListedBackend;
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

/// The word of all gateways counts as this one's own; but a back end that is the only one is still asked.
#[tokio::test]
async fn an_ejected_back_end_is_asked_only_when_there_is_no_other() {
    let ejected = StandIn::start("e1", &[]).await;
    let sound = StandIn::start("e2", &[]).await;
    let world = World::new(&[&ejected, &sound]).await;
    let eject = |alone: bool| {
        let list = world.list.borrow().clone().expect("a list");
        let one =
            ListedBackend { ejected: true, ..ListedBackend::clone(list.iter().next().unwrap()) };
        let others = list.iter().skip(1).map(|backend| ListedBackend::clone(backend));
        let kept: Vec<_> = std::iter::once(one).chain(others.filter(|_| !alone)).collect();
        world.list.send_replace(Some(Arc::new(BackendList::new(kept))));
    };
    eject(false);
    until_served(&world, 20, || ejected.ran().is_empty() || sound.ran().len() > 40).await;
    let before = ejected.ran().len();
    until_served(&world, 20, || true).await;
    assert_eq!(ejected.ran().len(), before);
    eject(true);
    until_served(&world, 1, || ejected.ran().len() > before).await;
}

/// Serves calls, some at a time, until a condition holds after them.
async fn until_served(world: &World, calls: usize, condition: impl Fn() -> bool) {
    loop {
        for number in 0..calls {
            let answer = world.ingress.serve(&call("/once/x", &format!("r{number}"))).await;
            assert_eq!(passed(answer).await.0, 200);
        }
        if condition() {
            return;
        }
    }
}

/// A back end that takes requests and says nothing must not take one of each caller until they give up.
#[tokio::test]
async fn a_back_end_that_leaves_a_request_without_answer_is_left() {
    let silent = StandIn::start("e1", &vec![Behaviour::Silent; 10_000]).await;
    let sound = StandIn::start("e2", &[]).await;
    let world = World::new(&[&silent, &sound]).await;
    // A request that is there and waits.
    let held = loop {
        let ingress = world.ingress.clone();
        let serving = tokio::spawn(async move { ingress.serve(&call("/once/x", "held")).await });
        let counts = || silent.ran().len() + sound.ran().len();
        let before = counts();
        eventually("it runs", || counts() > before).await;
        if !silent.ran().is_empty() {
            break serving;
        }
    };
    let patience = Some(Duration::from_millis(50));
    let mut answered_in_a_row = 0;
    while answered_in_a_row < 20 {
        let request = IngressRequest { patience, ..call("/once/x", "r") };
        match world.ingress.serve(&request).await {
            IngressAnswer::Passed(..) => answered_in_a_row += 1,
            IngressAnswer::Refused(_) => answered_in_a_row = 0,
        }
    }
    held.abort();
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
