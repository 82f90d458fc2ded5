//! Unit tests of the limits: token bucket, adaptive limit, circuit breaker, call queue, engine
//! losses and response validation.

mod support;

use std::time::Duration;

use bytes::Bytes;
use hooklug_control::judge::JudgedVersion;
use hooklug_gateway::api::problem::Problem;
use hooklug_gateway::backend::answer::{
    InvalidAnswer, Refusal, ResponseHead, validate_body, validate_head,
};
use hooklug_gateway::engine_losses::EngineLosses;
use hooklug_gateway::limits::adaptive::{AdaptiveLimit, LoadSignal};
use hooklug_gateway::limits::baseline::Baseline;
use hooklug_gateway::limits::circuit::Circuit;
use hooklug_gateway::limits::queue::{CallQueue, PushResult};
use hooklug_gateway::limits::token_bucket::TokenBucket;
use hooklug_protocol::control::{ApplicationEngine, ClusterView};
use hooklug_types::*;
use proptest::prelude::*;
use support::{id, loopback};
use tokio::time::Instant;

#[test]
fn a_bucket_gives_its_rate_after_its_burst() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(10.0, start);
    let burst = (0..100).filter(|_| bucket.take(10.0, start).is_ok()).count();
    assert_eq!(burst, 10);
    let wait = bucket.take(10.0, start).unwrap_err();
    assert_eq!(wait, Duration::from_millis(100));
    assert_eq!(bucket.take(10.0, start + wait), Ok(()));
    let minute = start + Duration::from_secs(60);
    let after_a_minute = (0..100).filter(|_| bucket.take(10.0, minute).is_ok()).count();
    assert_eq!(after_a_minute, 10);
    assert!(bucket.take(0.0, minute).is_err());
}

/// Simulates one minute of an engine with latency `base` up to `slots` concurrent calls and
/// proportionally more above that, always loaded up to the limit. Returns the calls per second and
/// the largest limit.
fn saturate(slots: u32, base: Duration, most: u32) -> (f64, u32) {
    let (start, mut limit) = (Instant::now(), AdaptiveLimit::default());
    let (mut now, mut done, mut largest) = (start, 0.0, 0);
    let mut baseline = Baseline::new(base, now);
    while now.duration_since(start) < Duration::from_secs(60) {
        let running = limit.get(most);
        let slower = f64::from(running) / f64::from(slots);
        let latency = base.mul_f64(slower.max(1.0));
        let started = now;
        now += latency;
        for _ in 0..running {
            let ratio = baseline.observe(latency, now);
            limit.record(LoadSignal::Answered { ratio }, running, most, started, now);
        }
        done += f64::from(running);
        largest = largest.max(running);
    }
    (done / now.duration_since(start).as_secs_f64(), largest)
}

#[test]
fn the_adaptive_limit_finds_an_engines_capacity() {
    let base = Duration::from_millis(50);
    let (per_second, largest) = saturate(20, base, 1000);
    let capacity = 20.0 / base.as_secs_f64();
    assert!(per_second >= capacity * 0.9, "{per_second} calls a second of {capacity}");
    // The limit grows until latency reaches 2.5 times the baseline; the first growth overshoots
    // once.
    assert!(largest <= 20 * 4, "{largest} at once for 20 slots");
    let (_, largest) = saturate(200, base, 64);
    assert_eq!(largest, 64);
}

#[test]
fn the_adaptive_limit_decreases_on_overload_and_ignores_idle_calls() {
    let now = Instant::now();
    let mut limit = AdaptiveLimit::default();
    let before = limit.get(64);
    limit.record(LoadSignal::Answered { ratio: 1.0 }, 1, 64, now, now);
    limit.record(LoadSignal::Answered { ratio: 9.0 }, 1, 64, now, now);
    assert_eq!(limit.get(64), before);
    let later = now + Duration::from_millis(10);
    limit.record(LoadSignal::Overloaded, 8, 64, now, later);
    let reduced = limit.get(64);
    assert!(reduced < before);
    // For calls that ran concurrently, only the first refusal reduces the limit.
    limit.record(LoadSignal::Overloaded, 8, 64, now, later + Duration::from_millis(10));
    assert_eq!(limit.get(64), reduced);
    for step in 1..100 {
        let started = later + Duration::from_secs(step);
        limit.record(LoadSignal::Overloaded, 8, 64, started, started);
    }
    assert_eq!(limit.get(64), 1);
}

#[test]
fn a_circuit_opens_on_failures_and_closes_after_a_successful_probe() {
    let now = Instant::now();
    let mut circuit = Circuit::default();
    for _ in 0..19 {
        circuit.record(false, now);
    }
    assert_eq!(circuit.admit(now), Ok(()));
    circuit.record(false, now);
    let wait = circuit.admit(now).unwrap_err();
    let later = now + wait;
    assert_eq!(circuit.admit(later), Ok(()));
    assert!(circuit.admit(later).is_err(), "a second concurrent probe was admitted");
    circuit.record(false, later);
    assert_eq!(circuit.admit(later), Err(wait * 2));
    let probe = later + wait * 2;
    assert_eq!(circuit.admit(probe), Ok(()));
    circuit.record(true, probe);
    assert_eq!(circuit.admit(probe), Ok(()));
    // A failure share as caused by one bad engine does not open the circuit.
    for number in 0..200 {
        circuit.record(number % 5 == 0, probe);
    }
    assert_eq!(circuit.admit(probe), Ok(()));
}

fn pop_all<T>(queue: &mut CallQueue<T>) -> Vec<T> {
    std::iter::from_fn(|| queue.pop()).collect()
}

#[test]
fn the_queue_goes_urgent_first_then_by_tenant_then_by_deadline() {
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let (a, b) = (id::<TenantId>("a"), id::<TenantId>("b"));
    let mut queue = CallQueue::default();
    for (tenant, urgent, deadline, name) in [
        (&a, false, 30, "a30"),
        (&a, false, 10, "a10"),
        (&a, false, 20, "a20"),
        (&b, false, 90, "b90"),
        (&b, true, 99, "urgent"),
    ] {
        let pushed = queue.push(tenant, urgent, at(deadline), 10, name);
        assert!(matches!(pushed, PushResult::Waiting(_)));
    }
    assert_eq!(pop_all(&mut queue), ["urgent", "a10", "b90", "a20", "a30"]);
    assert!(queue.is_empty());
}

#[test]
fn a_full_queue_takes_from_the_tenant_with_the_most_waiting() {
    let now = Instant::now();
    let (a, b) = (id::<TenantId>("a"), id::<TenantId>("b"));
    let mut queue = CallQueue::default();
    for number in 0..3 {
        queue.push(&a, false, now + Duration::from_millis(number), 3, format!("a{number}"));
    }
    let crowding = queue.push(&a, false, now, 3, "a3".to_owned());
    assert_eq!(crowding, PushResult::Full("a3".to_owned()));
    let fair = queue.push(&b, false, now, 3, "b0".to_owned());
    assert!(matches!(&fair, PushResult::Displaced(_, shed) if shed == "a2"), "{fair:?}");
    let PushResult::Displaced(ticket, _) = fair else { unreachable!() };
    assert_eq!(queue.remove(&ticket), Some("b0".to_owned()));
    assert_eq!(queue.remove(&ticket), None);
    assert_eq!(pop_all(&mut queue), ["a0", "a1"]);
}

proptest! {
    #[test]
    fn the_queue_loses_and_repeats_nothing(
        steps in prop::collection::vec((0_u8..4, 0_u64..50, any::<bool>(), 0_u8..4), 1..200),
    ) {
        let now = Instant::now();
        let mut queue = CallQueue::default();
        let (mut waiting, mut tickets) = (std::collections::BTreeSet::new(), Vec::new());
        for (number, (tenant, deadline, urgent, action)) in steps.into_iter().enumerate() {
            if action == 0 {
                match queue.pop() {
                    Some(item) => prop_assert!(waiting.remove(&item)),
                    None => prop_assert!(waiting.is_empty()),
                }
            } else if action == 1 && !tickets.is_empty() {
                let (ticket, item) = tickets.swap_remove(number % tickets.len());
                prop_assert_eq!(queue.remove(&ticket).is_some(), waiting.remove(&item));
            } else {
                let tenant = id::<TenantId>(&format!("t{tenant}"));
                let deadline = now + Duration::from_millis(deadline);
                match queue.push(&tenant, urgent, deadline, 20, number) {
                    PushResult::Waiting(ticket) => { waiting.insert(number); tickets.push((ticket, number)); }
                    PushResult::Displaced(ticket, other) => {
                        prop_assert!(waiting.remove(&other));
                        waiting.insert(number);
                        tickets.push((ticket, number));
                    }
                    PushResult::Full(item) => prop_assert_eq!(item, number),
                }
            }
            prop_assert_eq!(queue.len(), waiting.len());
            prop_assert!(queue.len() <= 20);
            prop_assert_eq!(queue.is_empty(), waiting.is_empty());
        }
        prop_assert_eq!(pop_all(&mut queue).len(), waiting.len());
    }
}

#[test]
fn an_engine_missing_from_the_view_is_a_recent_loss_of_its_version() {
    let now = std::time::Instant::now();
    let mut losses = EngineLosses::default();
    let mut view = ClusterView::default();
    for (name, version) in [("a1", "v1"), ("a2", "v2")] {
        let engine = ApplicationEngine {
            engine: id(name),
            incarnation: Incarnation(1),
            service: id("farm"),
            version: id(version),
            address: loopback(),
            zone: id("z1"),
            draining: false,
            healthy: true,
        };
        view.engines.insert(engine.engine.clone(), engine);
    }
    losses.apply_view(&view, now);
    assert!(losses.recent(now).is_empty());
    view.engines.get_mut(&id::<EngineId>("a2")).unwrap().incarnation = Incarnation(2);
    losses.apply_view(&view, now);
    let lost = JudgedVersion { service: id("farm"), version: id("v2") };
    assert_eq!(losses.recent(now), [lost].into());
    losses.apply_view(&view, now + Duration::from_secs(5));
    assert!(losses.recent(now + Duration::from_secs(11)).is_empty());
}

#[test]
fn retry_after_times_are_jittered() {
    let min = Duration::from_millis(400);
    let times: std::collections::BTreeSet<Duration> = (0..100)
        .filter_map(|_| Problem::try_again("later", min).retry_after)
        .inspect(|after| assert!(*after >= min && *after <= min.mul_f64(1.5), "{after:?}"))
        .collect();
    assert!(times.len() > 10, "{times:?}");
}

fn headers(list: &[(&'static str, &str)]) -> http::HeaderMap {
    let mut headers = http::HeaderMap::new();
    for (name, value) in list {
        headers.append(*name, value.parse().unwrap());
    }
    headers
}

#[test]
fn only_a_complete_response_of_the_called_engine_is_valid() {
    const REQUEST: (&str, &str) = ("x-hooklug-request", "r1");
    const ENGINE: (&str, &str) = ("x-hooklug-engine", "farm/a1/1");
    const LENGTH: (&str, &str) = ("content-length", "2");
    let validate = |status: u16, list: &[(&'static str, &str)]| {
        let status = http::StatusCode::from_u16(status).unwrap();
        validate_head(status, &headers(list), "r1", "farm/a1/1")
    };
    let refused = |reason| ("x-hooklug-refused", reason);
    assert_eq!(validate(200, &[REQUEST, ENGINE, LENGTH]), Ok(ResponseHead::Answer { length: 2 }));
    assert_eq!(validate(404, &[REQUEST, ENGINE, LENGTH]), Ok(ResponseHead::Answer { length: 2 }));
    let invalid = [
        (200, vec![ENGINE, LENGTH], InvalidAnswer::WrongRequest),
        (200, vec![REQUEST, REQUEST, ENGINE, LENGTH], InvalidAnswer::WrongRequest),
        (200, vec![("x-hooklug-request", "r2"), ENGINE, LENGTH], InvalidAnswer::WrongRequest),
        (200, vec![REQUEST, LENGTH], InvalidAnswer::WrongEngine),
        (200, vec![REQUEST, ("x-hooklug-engine", "farm/a1/2"), LENGTH], InvalidAnswer::WrongEngine),
        (200, vec![REQUEST, ENGINE], InvalidAnswer::NoLength),
        (200, vec![REQUEST, ENGINE, ("content-length", "99999999999")], InvalidAnswer::TooLong),
        (500, vec![REQUEST, ENGINE, LENGTH], InvalidAnswer::Status(500)),
        (302, vec![REQUEST, ENGINE, LENGTH], InvalidAnswer::Status(302)),
        // A refusal is valid only if the contract defines it and the expected engine sent it.
        (503, vec![ENGINE, refused("draining")], InvalidAnswer::WrongRequest),
        (503, vec![REQUEST, refused("draining")], InvalidAnswer::WrongEngine),
        (503, vec![REQUEST, ENGINE, refused("tired")], InvalidAnswer::UnknownRefusal),
        (200, vec![REQUEST, ENGINE, LENGTH, refused("draining")], InvalidAnswer::Status(200)),
    ];
    for (status, list, expected) in invalid {
        assert_eq!(validate(status, &list), Err(expected), "{status} {list:?}");
    }
    let draining = validate(503, &[REQUEST, ENGINE, refused("draining")]);
    assert_eq!(draining, Ok(ResponseHead::Refused(Refusal::Draining)));
    let other = validate(409, &[REQUEST, ("x-hooklug-engine", "b/b/1"), refused("identity")]);
    assert_eq!(other, Ok(ResponseHead::Refused(Refusal::Identity)));

    let body = |length, text: &'static str| {
        validate_body(http::StatusCode::OK, length, Bytes::from_static(text.as_bytes()))
    };
    assert!(body(2, "{}").is_ok() && body(0, "").is_ok());
    assert_eq!(body(3, "{}"), Err(InvalidAnswer::WrongLength));
    assert_eq!(body(2, "{]"), Err(InvalidAnswer::NotJson));
    assert_eq!(body(4, "{}{}"), Err(InvalidAnswer::NotJson));
}
