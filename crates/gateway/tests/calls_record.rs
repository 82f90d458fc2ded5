//! Recording of calls: lost and late replies of the shard, unreachable shards, disconnected
//! callers.

mod support;

use std::time::Duration;

use hooklug_types::{CallOutcome, shard_of};
use serde_json::json;
use support::app_engine::{AppEngine, Behaviour};
use support::calls::{alarm, call, env_with, runs, sensor};
use support::http;

#[tokio::test]
async fn a_call_succeeds_despite_lost_shard_replies() {
    let (env, engines) = env_with(2, 1).await;
    for lost in 1..=3 {
        let name = format!("c{lost}");
        env.state.drop_replies(shard_of("p1"), lost);
        let answer = call(&env, 0, &name, &alarm()).await;
        assert_eq!((answer.status, &answer.json), (200, &json!({"ok": true})), "{answer:?}");
        assert_eq!(runs(&engines, &name), 1);
    }
}

#[tokio::test]
async fn a_call_during_a_shard_outage_succeeds_when_resent() {
    let (env, engines) = env_with(1, 1).await;
    // The gateway has cached the program, so only the claim needs the shard.
    call(&env, 0, "c0", &alarm()).await;
    env.state.set_available(shard_of("p1"), false);
    let mut body = alarm();
    body["deadline_ms"] = json!(200);
    let answer = call(&env, 0, "c1", &body).await;
    assert!(matches!(answer.code(), "try_again" | "deadline_exceeded"), "{answer:?}");
    assert_ne!(answer.json["outcome"], "not_run");
    assert_eq!(runs(&engines, "c1"), 0);
    env.state.set_available(shard_of("p1"), true);
    let resent = call(&env, 0, "c1", &alarm()).await;
    assert_eq!((resent.status, &resent.json), (200, &json!({"ok": true})));
    assert_eq!(runs(&engines, "c1"), 1);
}

#[tokio::test]
async fn a_response_is_returned_only_after_it_is_recorded() {
    let (env, engines) = env_with(1, 1).await;
    engines[0].next(Behaviour::Slow(Duration::from_millis(100)));
    let mut body = alarm();
    body["deadline_ms"] = json!(600);
    let calling = call(&env, 0, "c1", &body);
    let cut = async {
        engines[0].wait_ran("p1/c1").await;
        env.state.set_available(shard_of("p1"), false);
    };
    let (answer, ()) = tokio::join!(calling, cut);
    assert_eq!((answer.status, &answer.json["outcome"]), (504, &json!("unknown")), "{answer:?}");
    env.state.set_available(shard_of("p1"), true);
    // The call continues without its caller: the outcome is recorded once the shard is available
    // again.
    let again = call(&env, 0, "c1", &alarm()).await;
    assert_eq!((again.status, &again.json), (200, &json!({"ok": true})));
    assert_eq!(runs(&engines, "c1"), 1);
}

#[tokio::test]
async fn a_call_is_completed_and_recorded_after_its_caller_disconnects() {
    let (env, engines) = env_with(1, 1).await;
    engines[0].next(Behaviour::Slow(Duration::from_millis(100)));
    let body = alarm();
    let calling = call(&env, 0, "c1", &body);
    tokio::select! {
        _ = calling => panic!("the response came too early"),
        () = engines[0].wait_ran("p1/c1") => {}
    }
    let recorded = env.wait_outcome("p1", "c1").await;
    assert_eq!(recorded, CallOutcome::Answered { status: 200, body: br#"{"ok":true}"#.to_vec() });
}

#[tokio::test]
async fn without_reachable_stores_only_repeatable_calls_are_sent() {
    let (env, engines) = env_with(1, 1).await;
    env.gateways[0].channels.reach.send_replace(Default::default());
    let answer = call(&env, 0, "c1", &alarm()).await;
    assert_eq!((answer.status, answer.code()), (503, "try_again"));
    assert_eq!(runs(&engines, "c1"), 0);
    assert_eq!(call(&env, 0, "c2", &sensor()).await.status, 200);
}

#[tokio::test]
async fn an_engine_that_drains_while_the_claim_is_uncertain_gets_no_call() {
    let (mut env, engines) = env_with(1, 1).await;
    // The claim is retried without a reply while the call holds a slot at the first engine.
    env.state.drop_replies(shard_of("p1"), u32::MAX);
    let url = env.url(0);
    let calling =
        tokio::spawn(async move { http::put(url, "/v1/programs/p1/calls/c1", &alarm()).await });
    env.wait_claimed("p1", "c1").await;
    let other = AppEngine::start("a2", 2).await;
    env.view.engines.get_mut(&engines[0].engine).unwrap().draining = true;
    env.list_app(&other, "v1", "z1");
    env.state.drop_replies(shard_of("p1"), 0);
    let answer = calling.await.expect("task panicked");
    assert_eq!((answer.status, &answer.json), (200, &json!({"ok": true})), "{answer:?}");
    assert_eq!((engines[0].received(), other.runs("p1/c1")), (0, 1));
}

#[tokio::test]
async fn a_call_claimed_by_a_failed_gateway_is_reported_unknown_if_the_lookup_hangs() {
    let (env, engines) = env_with(1, 1).await;
    env.begin_call("p1", "c1", "gone", &alarm()).await;
    engines[0].script(|script| script.stall_lookups = true);
    let mut body = alarm();
    body["deadline_ms"] = json!(1_600);
    let answer = call(&env, 0, "c1", &body).await;
    assert_eq!((answer.status, answer.code()), (502, "call_unknown"), "{answer:?}");
    assert_eq!(answer.json["outcome"], "unknown");
    assert_eq!(runs(&engines, "c1"), 0);
}
