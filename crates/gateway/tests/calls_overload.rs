//! Calls under overload, short deadlines and failing engines: which error callers get and how
//! quickly.

mod support;

use std::time::Duration;

use hooklug_settings::GatewayMode;
use hooklug_types::{RouteName, shard_of};
use serde_json::json;
use support::app_engine::{AppEngine, Behaviour};
use support::calls::{alarm, call, env_with, read, runs, sensor};
use support::http::Answer;
use support::{TestEnv, bundle, http, id};
use tokio::task::JoinSet;

#[tokio::test]
async fn an_open_circuit_fails_calls_fast_until_a_probe_succeeds() {
    let (env, engines) = env_with(2, 1).await;
    assert_eq!(call(&env, 0, "answered", &alarm()).await.status, 200);
    engines.iter().for_each(|e| e.script(|s| s.always = Some(Behaviour::ServerError)));
    let received = || engines.iter().map(AppEngine::received).sum::<u32>();
    let mut number = 0;
    let refused = loop {
        let before = received();
        let answer = call(&env, 0, &format!("c{number}"), &alarm()).await;
        number += 1;
        if received() == before {
            break answer;
        }
        assert_eq!(answer.code(), "call_unknown");
        assert!(number < 500, "the circuit never opened");
    };
    assert_eq!((refused.status, refused.code()), (503, "try_again"), "{refused:?}");
    assert!(refused.json["retry_after_ms"].as_u64().unwrap() > 0);
    // A resend needs no engine: it is answered from its record.
    assert_eq!(call(&env, 0, "answered", &alarm()).await.status, 200);
    // The refused call left no claim.
    assert_eq!(read(&env, &format!("c{}", number - 1)).await.code(), "no_call");
    // Another route of the same service is not affected.
    engines.iter().for_each(|e| e.script(|s| s.always = None));
    assert_eq!(call(&env, 0, "sensor", &sensor()).await.status, 200);
    loop {
        let answer = call(&env, 0, &format!("c{}", number - 1), &alarm()).await;
        if answer.status == 200 {
            break;
        }
        assert_eq!(answer.code(), "try_again", "{answer:?}");
        let after = answer.json["retry_after_ms"].as_u64().unwrap();
        tokio::time::sleep(Duration::from_millis(after)).await;
    }
}

#[tokio::test]
async fn overload_is_rejected_immediately_while_urgent_calls_succeed() {
    let mut small = bundle();
    let farm = small.services.get_mut(&id("farm")).unwrap();
    (farm.concurrency_per_engine, farm.queue_per_engine) = (5, 4);
    small.routes.get_mut(&id::<RouteName>("sensors")).unwrap().deadline_ms = 60_000;
    small.routes.get_mut(&id::<RouteName>("alarms")).unwrap().urgent = true;
    let mut env = TestEnv::with(small, GatewayMode::Full, 1).await;
    let engine = AppEngine::start("a1", 1).await;
    env.list_app(&engine, "v1", "z1");
    env.put_program("p1").await;
    let hold = Behaviour::Slow(Duration::from_secs(600));
    engine.script(|s| s.always = Some(hold));
    let (http, body) = (env.url(0), sensor());
    // Four calls run (a fifth of five slots is reserved for urgent calls), four wait, and the ninth
    // is shed at once.
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..9 {
        let (path, body) = (format!("/v1/programs/p1/calls/c{number}"), body.clone());
        calls.spawn(async move { http::put(http, &path, &body).await });
    }
    let shed = calls.join_next().await.unwrap().unwrap();
    assert_eq!((shed.status, shed.code()), (503, "overloaded"), "{shed:?}");
    assert!(shed.json["retry_after_ms"].as_u64().unwrap() > 0);
    assert!(!shed.header("retry-after").is_empty());
    engine.wait_received(4).await;
    engine.script(|s| s.always = None);
    let urgent = call(&env, 0, "urgent", &alarm()).await;
    assert_eq!(urgent.status, 200, "{urgent:?}");
    assert_eq!(engine.received(), 5);
    // Queued calls get the slots of calls whose callers disconnect.
    calls.abort_all();
    while calls.join_next().await.is_some() {}
    assert_eq!(call(&env, 0, "late", &sensor()).await.status, 200);
}

/// Starts an environment with one engine whose only slot is occupied for long, and one more call in
/// the queue.
async fn full_env() -> (TestEnv, AppEngine, JoinSet<Answer>) {
    let mut small = bundle();
    let farm = small.services.get_mut(&id("farm")).unwrap();
    (farm.concurrency_per_engine, farm.queue_per_engine) = (1, 1);
    small.routes.get_mut(&id::<RouteName>("sensors")).unwrap().deadline_ms = 60_000;
    let mut env = TestEnv::with(small, GatewayMode::Full, 1).await;
    let engine = AppEngine::start("a1", 1).await;
    env.list_app(&engine, "v1", "z1");
    env.put_program("p1").await;
    assert_eq!(call(&env, 0, "answered", &alarm()).await.status, 200);
    engine.script(|s| s.always = Some(Behaviour::Slow(Duration::from_secs(600))));
    let mut calls = JoinSet::new();
    for number in 0..3 {
        let (http, path) = (env.url(0), format!("/v1/programs/p1/calls/held{number}"));
        calls.spawn(async move { http::put(http, &path, &sensor()).await });
    }
    let shed = calls.join_next().await.unwrap().unwrap();
    assert_eq!(shed.code(), "overloaded", "{shed:?}");
    (env, engine, calls)
}

#[tokio::test]
async fn a_recorded_call_is_answered_at_capacity() {
    let (env, engine, _held) = full_env().await;
    let before = engine.received();
    let again = call(&env, 0, "answered", &alarm()).await;
    assert_eq!((again.status, &again.json), (200, &json!({"ok": true})), "{again:?}");
    let mut other = alarm();
    other["arguments"] = json!({"house": 5});
    assert_eq!(call(&env, 0, "answered", &other).await.code(), "call_differs");
    // A new call is shed and leaves no record.
    assert_eq!(call(&env, 0, "new", &alarm()).await.code(), "overloaded");
    assert_eq!(read(&env, "new").await.code(), "no_call");
    assert_eq!(engine.received(), before);
}

#[tokio::test]
async fn a_shed_call_is_rejected_promptly_if_its_record_is_unreadable() {
    let (env, _engine, _held) = full_env().await;
    env.state.set_available(shard_of("p1"), false);
    let mut patient = alarm();
    patient["deadline_ms"] = json!(600_000);
    assert_eq!(call(&env, 0, "new", &patient).await.code(), "overloaded");
}

#[tokio::test]
async fn a_call_that_cannot_meet_its_deadline_is_shed_immediately() {
    let mut small = bundle();
    small.services.get_mut(&id("farm")).unwrap().concurrency_per_engine = 1;
    let mut env = TestEnv::with(small, GatewayMode::Full, 1).await;
    let engine = AppEngine::start("a1", 1).await;
    env.list_app(&engine, "v1", "z1");
    env.put_program("p1").await;
    // This call sets the route's average to 300 ms.
    engine.next(Behaviour::Slow(Duration::from_millis(300)));
    assert_eq!(call(&env, 0, "c0", &sensor()).await.status, 200);
    engine.next(Behaviour::Slow(Duration::from_secs(600)));
    let (http, body) = (env.url(0), sensor());
    let held =
        tokio::spawn(async move { http::put(http, "/v1/programs/p1/calls/c1", &body).await });
    engine.wait_received(2).await;
    let mut short = sensor();
    short["deadline_ms"] = json!(350);
    // A call that waited until its deadline would get `deadline_exceeded`.
    let shed = call(&env, 0, "c2", &short).await;
    assert_eq!((shed.status, shed.code()), (503, "overloaded"), "{shed:?}");
    held.abort();
}

#[tokio::test]
async fn a_queued_call_granted_a_slot_too_late_is_not_sent() {
    // Queued calls are also notified periodically and may be rejected then. Several rounds ensure
    // that in some of them the call gets its slot only when the running call ends.
    for _ in 0..6 {
        check_late_slot().await;
    }
}

async fn check_late_slot() {
    let mut small = bundle();
    small.services.get_mut(&id("farm")).unwrap().concurrency_per_engine = 1;
    small.routes.get_mut(&id::<RouteName>("sensors")).unwrap().deadline_ms = 60_000;
    let mut env = TestEnv::with(small, GatewayMode::Full, 1).await;
    let engine = AppEngine::start("a1", 1).await;
    env.list_app(&engine, "v1", "z1");
    env.put_program("p1").await;
    // The first call sets the route's average to 200 ms; the second takes longer.
    engine.next(Behaviour::Slow(Duration::from_millis(200)));
    assert_eq!(call(&env, 0, "c0", &sensor()).await.status, 200);
    engine.next(Behaviour::Slow(Duration::from_millis(750)));
    let (http, body) = (env.url(0), sensor());
    let long =
        tokio::spawn(async move { http::put(http, "/v1/programs/p1/calls/c1", &body).await });
    engine.wait_received(2).await;
    // The call may be queued, and has 250 ms left when it gets the slot.
    let mut short = sensor();
    short["deadline_ms"] = json!(1_000);
    let shed = call(&env, 0, "c2", &short).await;
    assert_eq!(shed.json["outcome"], "try_again", "{shed:?}");
    assert_eq!(long.await.unwrap().status, 200);
    assert_eq!(engine.received(), 2);
}

#[tokio::test]
async fn a_deadline_ends_a_slow_call() {
    let (env, engines) = env_with(1, 1).await;
    engines[0].script(|s| s.always = Some(Behaviour::Slow(Duration::from_secs(30))));
    let mut body = sensor();
    body["deadline_ms"] = json!(100);
    let answer = call(&env, 0, "c1", &body).await;
    assert_eq!((answer.status, answer.code()), (504, "deadline_exceeded"));
    let mut body = alarm();
    body["deadline_ms"] = json!(100);
    let answer = call(&env, 0, "c2", &body).await;
    assert_eq!(answer.json["outcome"], "unknown", "{answer:?}");
}

#[tokio::test]
async fn a_partitioned_engine_receives_no_calls() {
    let (env, engines) = env_with(1, 1).await;
    call(&env, 0, "c0", &alarm()).await;
    let cut = hooklug_rpc::LinkFault { cut: true, delay_micros: 0 };
    let ip = engines[0].address.ip();
    let faults = env.gateways[0].identity.faults.clone();
    faults.set([(ip, cut)].into());
    let mut body = alarm();
    body["deadline_ms"] = json!(200);
    let answer = call(&env, 0, "c1", &body).await;
    assert_ne!(answer.status, 200, "{answer:?}");
    assert_ne!(answer.json["outcome"], "not_run");
    assert_eq!(runs(&engines, "c1"), 0);
    faults.set(Default::default());
    assert_eq!(call(&env, 0, "c2", &alarm()).await.status, 200);
}

#[tokio::test]
async fn a_draining_or_unhealthy_engine_gets_no_call() {
    let (mut env, engines) = env_with(3, 1).await;
    env.view.engines.get_mut(&engines[0].engine).unwrap().draining = true;
    env.view.engines.get_mut(&engines[1].engine).unwrap().healthy = false;
    env.publish();
    for number in 0..20 {
        assert_eq!(call(&env, 0, &format!("c{number}"), &sensor()).await.status, 200);
    }
    assert_eq!((engines[0].received(), engines[1].received()), (0, 0));
}

#[tokio::test]
async fn a_failing_new_version_loses_its_traffic() {
    let mut env = TestEnv::new().await;
    let good = AppEngine::start_version("a1", 1, "v1").await;
    let bad = AppEngine::start_version("a2", 2, "v2").await;
    bad.script(|s| s.always = Some(Behaviour::ServerError));
    env.list_app(&good, "v1", "z1");
    env.list_app(&bad, "v2", "z1");
    // A later bundle adds the version, which gets half of the traffic.
    let farm = env.bundle.services.get_mut(&id("farm")).unwrap();
    farm.versions.push(hooklug_bundle::VersionEntry {
        version: id("v2"),
        state: hooklug_bundle::VersionState::Sound,
    });
    farm.steps = vec![50];
    env.bundle.version.0 += 1;
    env.gateways[0].wait_ready().await;
    env.publish_bundle();
    env.put_program("p1").await;
    let mut number = 0;
    let harm = loop {
        call(&env, 0, &format!("c{number}"), &alarm()).await;
        number += 1;
        if let Ok(harm) = env.gateways[0].channels.harm.try_recv() {
            break harm;
        }
        assert!(number < 100_000, "no regression was reported");
    };
    assert_eq!((harm.service.as_str(), harm.version.as_str()), ("farm", "v2"));
    assert_eq!(harm.route, Some(id::<RouteName>("alarms")));
    let before = bad.received();
    for number in 0..50 {
        let answer = call(&env, 0, &format!("after{number}"), &alarm()).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(bad.received(), before);
    let statistics = env.gateways[0].node.statistics.take();
    assert!(statistics.iter().any(|s| s.version.as_str() == "v2" && s.failures > 0));
}

#[tokio::test]
async fn the_time_left_reaches_the_engine() {
    let (env, engines) = env_with(1, 1).await;
    let mut body = sensor();
    body["deadline_ms"] = json!(900);
    assert_eq!(call(&env, 0, "c1", &body).await.status, 200);
    // A caller may shorten the route's deadline but not extend it.
    let mut body = alarm();
    body["deadline_ms"] = json!(500_000);
    assert_eq!(call(&env, 0, "c2", &body).await.status, 200);
    let deadlines = engines[0].deadlines();
    assert!(deadlines[0] > 0 && deadlines[0] <= 900, "{deadlines:?}");
    assert!(deadlines[1] > 900 && deadlines[1] <= 4_000, "{deadlines:?}");
}
