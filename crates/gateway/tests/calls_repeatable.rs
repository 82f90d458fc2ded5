//! Repeatable calls: retries within the retry budget, and bundles that change whether a tool is
//! repeatable.

mod support;

use std::time::Duration;

use hooklug_settings::GatewayMode;
use hooklug_types::{BundleVersion, RouteName};
use serde_json::json;
use support::app_engine::{AppEngine, Behaviour};
use support::bundles::tool_route;
use support::calls::{alarm, call, env_with, read, runs, sensor};
use support::{TestEnv, bundle, http, id};

#[tokio::test]
async fn a_repeatable_call_is_retried_on_another_engine() {
    let (env, engines) = env_with(3, 1).await;
    let bad = [Behaviour::LoseAnswer, Behaviour::CutShort, Behaviour::WrongRequestId];
    for (engine, behaviour) in engines.iter().zip(bad).take(2) {
        engine.script(|s| s.always = Some(behaviour));
    }
    for number in 0..10 {
        let answer = call(&env, 0, &format!("c{number}"), &sensor()).await;
        assert_eq!((answer.status, &answer.json), (200, &json!({"ok": true})), "{answer:?}");
        assert_eq!(answer.header("x-hooklug-call-state"), "answered");
    }
    // Repeatable calls leave no record.
    assert_eq!(read(&env, "c0").await.code(), "no_call");
}

#[tokio::test]
async fn a_caller_can_only_forbid_retries() {
    let (env, engines) = env_with(2, 1).await;
    engines.iter().for_each(|e| e.script(|s| s.always = Some(Behaviour::LoseAnswer)));
    let mut strict = sensor();
    strict["repeat"] = json!(false);
    assert_eq!(call(&env, 0, "c1", &strict).await.code(), "call_unknown");
    assert_eq!(runs(&engines, "c1"), 1);
    let mut loose = alarm();
    loose["repeat"] = json!(true);
    assert_eq!(call(&env, 0, "c2", &loose).await.code(), "call_unknown");
    assert_eq!(runs(&engines, "c2"), 1);
}

#[tokio::test]
async fn retries_stay_within_the_retry_budget() {
    let (env, engines) = env_with(2, 1).await;
    engines.iter().for_each(|e| e.script(|s| s.always = Some(Behaviour::LoseAnswer)));
    let sent = || engines.iter().map(AppEngine::received).sum::<u32>();
    let first = call(&env, 0, "c0", &sensor()).await;
    assert_eq!((first.status, &first.json["outcome"]), (503, &json!("try_again")));
    // Each engine was tried exactly once.
    assert_eq!(engines.iter().map(AppEngine::received).collect::<Vec<_>>(), [1, 1]);
    let calls = 100;
    for number in 1..calls {
        let answer = call(&env, 0, &format!("c{number}"), &sensor()).await;
        assert_eq!(answer.status, 503, "{answer:?}");
    }
    // One first attempt per call, a fifth of retries, and the initial balance of twenty.
    assert!(sent() <= calls + calls / 5 + 20, "{} tries for {calls} calls", sent());
}

#[tokio::test]
async fn plain_mode_uses_round_robin_and_unconditional_retries() {
    let mut env = TestEnv::with(bundle(), GatewayMode::Plain, 1).await;
    let engines = [AppEngine::start("a1", 1).await, AppEngine::start("a2", 2).await];
    engines.iter().for_each(|e| env.list_app(e, "v1", "z1"));
    env.put_program("p1").await;
    for number in 0..10 {
        assert_eq!(call(&env, 0, &format!("c{number}"), &sensor()).await.status, 200);
    }
    assert_eq!((engines[0].received(), engines[1].received()), (5, 5));
    engines.iter().for_each(|e| e.script(|s| s.always = Some(Behaviour::LoseAnswer)));
    assert_eq!(call(&env, 0, "d", &sensor()).await.status, 503);
    assert_eq!(engines.iter().map(AppEngine::received).sum::<u32>(), 13);
    // Even baseline mode never repeats a non-repeatable call.
    assert_eq!(call(&env, 0, "e", &alarm()).await.code(), "call_unknown");
    assert_eq!(engines.iter().map(|e| e.runs("p1/e")).sum::<u32>(), 1);
}

/// Publishes a bundle that changes whether a route's calls are repeatable.
fn set_repeat(env: &mut TestEnv, route: &str, may_repeat: bool) {
    env.bundle.routes.get_mut(&id::<RouteName>(route)).unwrap().may_repeat = may_repeat;
    env.bundle.base = env.bundle.version;
    env.bundle.version.0 += 1;
    env.publish_bundle();
}

#[tokio::test]
async fn calls_claimed_before_their_tool_became_repeatable_never_rerun() {
    let (mut env, engines) = env_with(2, 2).await;
    let sealed = http::post(env.url(0), "/v1/programs/p1/calls/sealed/seal", &alarm()).await;
    assert_eq!(sealed.json["state"], "not_run");
    engines.iter().for_each(|e| e.next(Behaviour::LoseAnswer));
    assert_eq!(call(&env, 0, "lost", &alarm()).await.code(), "call_unknown");
    set_repeat(&mut env, "alarms", true);
    for gateway in 0..2 {
        let answer = call(&env, gateway, "sealed", &alarm()).await;
        assert_eq!((answer.code(), &answer.json["outcome"]), ("call_sealed", &json!("not_run")));
        assert_eq!(call(&env, gateway, "lost", &alarm()).await.code(), "call_unknown");
    }
    assert_eq!((runs(&engines, "sealed"), runs(&engines, "lost")), (0, 1));
    // The same holds two more bundles later.
    env.bundle.routes.remove(&id::<RouteName>("alarms"));
    env.bundle.version.0 += 1;
    env.publish_bundle();
    env.bundle.routes.insert(id("alerts"), tool_route("send_alarm", true));
    env.bundle.version.0 += 1;
    env.publish_bundle();
    assert_eq!(call(&env, 0, "sealed", &alarm()).await.code(), "call_sealed");
}

#[tokio::test]
async fn a_new_gateway_does_not_rerun_calls_claimed_while_non_repeatable() {
    let mut strict = bundle();
    (strict.version, strict.base) = (BundleVersion(1), BundleVersion(0));
    let mut loose = bundle();
    (loose.version, loose.base) = (BundleVersion(2), BundleVersion(1));
    loose.routes.get_mut(&id::<RouteName>("alarms")).unwrap().may_repeat = true;
    let mut env = TestEnv::with(loose.clone(), GatewayMode::Full, 0).await;
    env.commit_bundle(&strict).await;
    env.commit_bundle(&loose).await;
    env.add_gateway().await;
    let engine = AppEngine::start("a1", 1).await;
    env.list_app(&engine, "v1", "z1");
    env.put_program("p1").await;
    env.begin_call("p1", "c1", "gone", &alarm()).await;
    let mut hasty = alarm();
    hasty["deadline_ms"] = json!(200);
    assert_ne!(call(&env, 0, "c1", &hasty).await.status, 200);
    assert_eq!(engine.runs("p1/c1"), 0);
}

#[tokio::test]
async fn an_unrecorded_call_of_a_formerly_repeatable_tool_is_never_reported_not_run() {
    let (mut env, engines) = env_with(1, 1).await;
    assert_eq!(call(&env, 0, "c1", &sensor()).await.status, 200);
    assert_eq!(runs(&engines, "c1"), 1);
    set_repeat(&mut env, "sensors", false);
    let seal = async |call: &str| {
        http::post(env.url(0), &format!("/v1/programs/p1/calls/{call}/seal"), &sensor()).await
    };
    let answer = seal("c1").await;
    assert_eq!((answer.status, answer.code()), (409, "call_repeatable"), "{answer:?}");
    assert_eq!(answer.json["outcome"], serde_json::Value::Null);
    // From now on the tool's calls are recorded, and a record is reported.
    assert_eq!(call(&env, 0, "c2", &sensor()).await.status, 200);
    assert_eq!(seal("c2").await.json["state"], "answered");
}

#[tokio::test]
async fn a_repeatable_call_is_cancelled_when_its_caller_disconnects() {
    let (env, engines) = env_with(1, 1).await;
    engines[0].next(Behaviour::Slow(Duration::from_secs(600)));
    let body = sensor();
    tokio::select! {
        _ = call(&env, 0, "c1", &body) => panic!("the response came too early"),
        () = engines[0].wait_ran("p1/c1") => {}
    }
    engines[0].wait_disconnected().await;
}
