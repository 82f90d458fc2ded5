//! Calls to backends that refuse requests, close connections early and send responses of other
//! requests. A non-repeatable call must not run twice, and only complete responses of the request
//! itself are forwarded.

mod support;

use std::time::Duration;

use hooklug_ingress::{IngressAnswer, IngressRequest, Refusal};
use hooklug_store::MemoryState;
use support::{Behaviour, FakeBackend, World, call, eventually, forwarded};

async fn answer_of(script: &[Behaviour], path: &str) -> (IngressAnswer, FakeBackend) {
    let backend = FakeBackend::start("e1", script).await;
    let world = World::new(&[&backend]).await;
    (world.ingress.serve(&call(path, "r1")).await, backend)
}

fn refusal(answer: IngressAnswer) -> Refusal {
    match answer {
        IngressAnswer::Refused(refusal) => refusal,
        IngressAnswer::Forwarded(head, _) => panic!("unexpected response: {}", head.status),
    }
}

#[tokio::test]
async fn a_backend_response_is_forwarded_unchanged() {
    let (answer, backend) = answer_of(&[Behaviour::Answer(201, "made")], "/once/x").await;
    assert_eq!(forwarded(answer).await, (201, Ok("made".to_owned())));
    assert_eq!(backend.executed().len(), 1);
}

#[tokio::test]
async fn requests_before_the_first_bundle_are_refused_as_not_configured() {
    let world = World::without_bundle(MemoryState::default(), &[]);
    let refused = refusal(world.ingress.serve(&call("/once/x", "r1")).await);
    assert!(matches!(refused, Refusal::NotConfigured { .. }), "{refused}");
}

#[tokio::test]
async fn a_request_without_a_matching_route_is_refused() {
    let (answer, _) = answer_of(&[], "/elsewhere/x").await;
    assert_eq!(refusal(answer), Refusal::NoRoute);
}

#[tokio::test]
async fn a_call_refused_by_a_full_backend_runs_once_elsewhere() {
    let full = FakeBackend::start(
        "e1",
        &[Behaviour::AtCapacity, Behaviour::AtCapacity, Behaviour::AtCapacity],
    )
    .await;
    let free = FakeBackend::start("e2", &[]).await;
    let world = World::new(&[&full, &free]).await;
    for number in 0..8 {
        let answer = world.ingress.serve(&call("/once/x", &format!("r{number}"))).await;
        assert_eq!(forwarded(answer).await.0, 200);
    }
    assert_eq!(full.executed().len() + free.executed().len(), 8);
}

#[tokio::test]
async fn a_wrong_backend_at_an_address_executes_no_calls() {
    let other = FakeBackend::start("e1", &vec![Behaviour::WrongBackend; 50]).await;
    let right = FakeBackend::start("e2", &[]).await;
    let world = World::new(&[&other, &right]).await;
    for number in 0..20 {
        let answer = world.ingress.serve(&call("/once/x", &format!("r{number}"))).await;
        assert_eq!(forwarded(answer).await.0, 200);
    }
    assert_eq!((other.executed().len(), right.executed().len()), (0, 20));
}

#[tokio::test]
async fn a_call_is_refused_as_not_run_if_all_backends_are_at_capacity() {
    let (answer, backend) = answer_of(&vec![Behaviour::AtCapacity; 500], "/once/x").await;
    let refused = refusal(answer);
    assert!(matches!(refused, Refusal::NotRun { .. }), "{refused}");
    assert_eq!(backend.executed(), []);
}

/// Guards against a call that runs twice: the late copy of an earlier rejection is taken for the
/// response to the next attempt at the same backend, which has run the call.
#[tokio::test]
async fn a_call_runs_once_although_its_rejection_arrives_once_more() {
    for path in ["/once/x", "/any/x"] {
        let (answer, backend) = answer_of(&[Behaviour::AtCapacityTwice(0)], path).await;
        assert_eq!(forwarded(answer).await, (200, Ok("done".to_owned())), "{path}");
        assert_eq!(backend.executed().len(), 1, "{path}");
    }
}

/// Guards against a call that is reported as not run although it has: each attempt but the last is
/// rejected twice, so a copy could arrive at any of them.
#[tokio::test]
async fn a_call_that_ran_is_not_reported_as_not_run_after_late_rejections() {
    for rejections in 1..6 {
        let script = vec![Behaviour::AtCapacityTwice(0); rejections];
        let (answer, backend) = answer_of(&script, "/once/x").await;
        match answer {
            IngressAnswer::Refused(refused) => {
                assert!(matches!(refused, Refusal::NotRun { .. }), "{rejections}: {refused}");
                assert_eq!(backend.executed(), [], "{rejections}");
            }
            forwarded => assert_eq!(self::forwarded(forwarded).await.0, 200, "{rejections}"),
        }
        assert!(backend.executed().len() <= 1, "{rejections}");
    }
}

#[tokio::test]
async fn a_non_repeatable_call_is_not_retried_after_a_lost_response() {
    for lost in [Behaviour::NoResponse, Behaviour::WrongRequest, Behaviour::Truncated] {
        let (answer, backend) = answer_of(std::slice::from_ref(&lost), "/once/x").await;
        let refused = refusal(answer);
        assert!(matches!(refused, Refusal::ResponseLost(_)), "{lost:?}: {refused}");
        assert_eq!(backend.executed().len(), 1, "{lost:?}");
    }
}

#[tokio::test]
async fn a_repeatable_call_is_retried_after_a_lost_response() {
    for lost in [
        Behaviour::NoResponse,
        Behaviour::WrongRequest,
        Behaviour::Truncated,
        Behaviour::Answer(500, "no"),
    ] {
        let backends = [
            FakeBackend::start("e1", std::slice::from_ref(&lost)).await,
            FakeBackend::start("e2", std::slice::from_ref(&lost)).await,
            FakeBackend::start("e3", &[]).await,
        ];
        let world = World::new(&[&backends[0], &backends[1], &backends[2]]).await;
        // A call has at most two attempts, so one of these three may meet both failing backends.
        // Afterwards no scripted failure is left.
        for number in 0..3 {
            world.ingress.serve(&call("/any/x", &format!("r{number}"))).await;
        }
        let answer = world.ingress.serve(&call("/any/x", "last")).await;
        assert_eq!(forwarded(answer).await, (200, Ok("done".to_owned())), "{lost:?}");
        for number in 0..3 {
            let id = format!("r{number}");
            let runs: usize = backends
                .iter()
                .map(|b| b.executed().iter().filter(|ran| ran.id == id).count())
                .sum();
            assert!((1..=2).contains(&runs), "{lost:?}: {id} ran {runs} times");
        }
    }
}

#[tokio::test]
async fn a_backend_error_response_is_forwarded() {
    let (answer, _) = answer_of(&[Behaviour::Answer(500, "no")], "/once/x").await;
    assert_eq!(forwarded(answer).await, (500, Ok("no".to_owned())));
}

#[tokio::test]
async fn a_request_times_out_at_the_callers_deadline() {
    let backend = FakeBackend::start("e1", &[Behaviour::Unresponsive]).await;
    let world = World::new(&[&backend]).await;
    let caller_timeout = Some(Duration::from_millis(300));
    let request = IngressRequest { caller_timeout, ..call("/once/x", "r1") };
    assert_eq!(refusal(world.ingress.serve(&request).await), Refusal::TimedOut);
    eventually("the backend's request is cancelled", || backend.disconnects() == 1).await;
}

#[tokio::test]
async fn a_disconnected_caller_cancels_the_backend_request() {
    let backend = FakeBackend::start("e1", &[Behaviour::Unresponsive]).await;
    let world = World::new(&[&backend]).await;
    let ingress = world.ingress.clone();
    let serving = tokio::spawn(async move { ingress.serve(&call("/once/x", "r1")).await });
    eventually("the call runs", || backend.executed().len() == 1).await;
    serving.abort();
    eventually("the backend's request is cancelled", || backend.disconnects() == 1).await;
}
