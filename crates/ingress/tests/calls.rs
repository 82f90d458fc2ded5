//! Calls to backends that refuse requests, close connections early and send responses of other
//! requests. A non-repeatable call must not run twice, and only complete responses of the request
//! itself are forwarded.

mod support;

use std::time::Duration;

use hooklug_ingress::{IngressAnswer, IngressRequest, Refusal};
use hooklug_store::MemoryState;
use support::{Behaviour, FakeBackend, Script, World, call, eventually, forwarded};

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

/// Failures after which a repeatable call is tried once more.
const LOST_RESPONSES: [Behaviour; 4] = [
    Behaviour::NoResponse,
    Behaviour::WrongRequest,
    Behaviour::Truncated,
    Behaviour::Answer(500, "no"),
];

/// Starts three backends that follow one script, since a call may reach any of them.
async fn pool(script: &[Behaviour]) -> (World, [FakeBackend; 3]) {
    let script = Script::new(script);
    let backends = [
        FakeBackend::with_script("e1", script.clone()).await,
        FakeBackend::with_script("e2", script.clone()).await,
        FakeBackend::with_script("e3", script).await,
    ];
    (World::new(&backends.each_ref()).await, backends)
}

/// How often each backend ran a call, from most to least.
fn runs(backends: &[FakeBackend; 3], id: &str) -> [usize; 3] {
    let mut runs = backends
        .each_ref()
        .map(|backend| backend.executed().iter().filter(|ran| ran.id == id).count());
    runs.sort_unstable_by(|one, other| other.cmp(one));
    runs
}

#[tokio::test]
async fn a_repeatable_call_is_retried_after_a_lost_response() {
    for lost in LOST_RESPONSES {
        let (world, backends) = pool(std::slice::from_ref(&lost)).await;
        for id in ["first", "second"] {
            let answer = world.ingress.serve(&call("/any/x", id)).await;
            assert_eq!(forwarded(answer).await, (200, Ok("done".to_owned())), "{lost:?}: {id}");
        }
        assert_eq!(runs(&backends, "first"), [1, 1, 0], "{lost:?}");
        assert_eq!(runs(&backends, "second"), [1, 0, 0], "{lost:?}");
    }
}

#[tokio::test]
async fn a_repeatable_call_fails_after_two_lost_responses() {
    for lost in LOST_RESPONSES {
        let (world, backends) = pool(&[lost.clone(), lost.clone()]).await;
        match (world.ingress.serve(&call("/any/x", "first")).await, &lost) {
            (IngressAnswer::Refused(Refusal::ResponseLost(_)), _) => {}
            (answer, Behaviour::Answer(status, body)) => {
                assert_eq!(forwarded(answer).await, (*status, Ok((*body).to_owned())));
            }
            (answer, _) => panic!("{lost:?}: {answer:?}"),
        }
        let answer = world.ingress.serve(&call("/any/x", "second")).await;
        assert_eq!(forwarded(answer).await, (200, Ok("done".to_owned())), "{lost:?}");
        assert_eq!(runs(&backends, "first"), [1, 1, 0], "{lost:?}");
        assert_eq!(runs(&backends, "second"), [1, 0, 0], "{lost:?}");
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
