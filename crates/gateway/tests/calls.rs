//! Non-repeatable calls: response validation, recording, at-most-once execution and sealing.

mod support;

use std::time::Duration;

use serde_json::json;
use support::app_engine::{AppEngine, Behaviour};
use support::calls::{alarm, call, env_with, read, runs, sensor};
use support::http;

#[tokio::test]
async fn an_application_response_is_returned_and_recorded() {
    let (env, engines) = env_with(2, 2).await;
    let answer = call(&env, 0, "c1", &alarm()).await;
    assert_eq!((answer.status, &answer.json), (200, &json!({"ok": true})));
    assert_eq!(answer.header("x-hooklug-call-state"), "answered");
    // The same content in another JSON formatting, sent to another gateway, gets the same response.
    let resent = json!({"arguments": {"level": "frost", "house": 4}, "tool": "send_alarm"});
    let again = call(&env, 1, "c1", &resent).await;
    assert_eq!((again.status, &again.json), (200, &json!({"ok": true})));
    assert_eq!(runs(&engines, "c1"), 1);
    let record = read(&env, "c1").await;
    assert_eq!(
        record.json,
        json!({"call": "c1", "state": "answered", "status": 200, "body": {"ok": true}})
    );
    let other = json!({"tool": "send_alarm", "arguments": {"house": 5}});
    let differs = call(&env, 0, "c1", &other).await;
    assert_eq!((differs.status, differs.code()), (409, "call_differs"));
}

#[tokio::test]
async fn an_application_client_error_is_returned_as_the_answer() {
    let (env, engines) = env_with(1, 1).await;
    engines[0].next(Behaviour::AnswerWith(422, r#"{"error":"no such house"}"#));
    let answer = call(&env, 0, "c1", &alarm()).await;
    assert_eq!((answer.status, answer.header("x-hooklug-call-state")), (422, "answered"));
    assert_eq!(answer.json["error"], "no such house");
}

/// An invalid response leaves the call's outcome unknown: the response is never forwarded and the
/// call never runs again.
#[tokio::test]
async fn an_invalid_response_leaves_the_call_unknown_and_never_rerun() {
    let table = [
        Behaviour::LoseAnswer,
        Behaviour::CutShort,
        Behaviour::WrongRequestId,
        Behaviour::WrongEngineIdentity,
        Behaviour::Garble,
        Behaviour::NoLength,
        Behaviour::ServerError,
        Behaviour::AnswerWith(302, "{}"),
    ];
    let (env, engines) = env_with(3, 2).await;
    for (number, behaviour) in table.into_iter().enumerate() {
        let name = format!("c{number}");
        engines.iter().for_each(|e| e.script(|s| s.always = Some(behaviour.clone())));
        let answer = call(&env, 0, &name, &alarm()).await;
        assert_eq!((answer.status, answer.code()), (502, "call_unknown"), "{behaviour:?}");
        assert_eq!(answer.json["outcome"], "unknown");
        engines.iter().for_each(|e| e.script(|s| s.always = None));
        let again = call(&env, 1, &name, &alarm()).await;
        assert_eq!((again.status, again.code()), (502, "call_unknown"), "{behaviour:?}");
        assert_eq!(runs(&engines, &name), 1, "{behaviour:?}");
        assert_eq!(read(&env, &name).await.json["state"], "unknown");
    }
}

#[tokio::test]
async fn a_lookup_settles_a_call_with_a_lost_response() {
    let (env, engines) = env_with(1, 1).await;
    engines[0].next(Behaviour::LoseAnswer);
    let lost = call(&env, 0, "c1", &alarm()).await;
    assert_eq!(lost.code(), "call_unknown");
    engines[0].script(|s| s.answer_lookups = true);
    let record = read(&env, "c1").await;
    assert_eq!(
        (&record.json["state"], &record.json["body"]),
        (&json!("answered"), &json!({"ok": true}))
    );
    // The result of the lookup was recorded, so the engine is no longer needed.
    engines[0].kill();
    let again = call(&env, 0, "c1", &alarm()).await;
    assert_eq!((again.status, &again.json), (200, &json!({"ok": true})));
}

#[tokio::test]
async fn a_lookup_without_a_result_leaves_the_call_running() {
    let (env, engines) = env_with(2, 1).await;
    engines.iter().for_each(|e| e.script(|s| s.answer_lookups = true));
    // The claim is held by a gateway that failed; no engine ever received the call.
    env.begin_call("p1", "c1", "gone", &alarm()).await;
    assert_eq!(read(&env, "c1").await.json["state"], "running");
    let sealed = http::post(env.url(0), "/v1/programs/p1/calls/c1/seal", &alarm()).await;
    assert_eq!((sealed.status, &sealed.json["state"]), (200, &json!("running")));
    assert_eq!(runs(&engines, "c1"), 0);
}

#[tokio::test]
async fn refused_calls_move_to_another_engine_or_are_recorded_refused() {
    let (mut env, mut engines) = env_with(3, 1).await;
    engines[0].script(|s| s.always = Some(Behaviour::Refuse("draining")));
    engines[1].kill();
    for number in 0..10 {
        let name = format!("c{number}");
        let answer = call(&env, 0, &name, &alarm()).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(runs(&engines, &name), 1);
    }
    // The first refusal marked the engine as draining, so nothing more was sent to it.
    assert!(engines[0].received() <= 1, "{}", engines[0].received());
    // An engine that reuses the address of a stopped one gets none of its calls.
    let reused = AppEngine::start("b9", 9).await;
    engines[2].kill();
    let mut listed = env.view.engines[&engines[2].engine].clone();
    listed.address = reused.address;
    env.view.engines.insert(listed.engine.clone(), listed);
    env.publish();
    let answer =
        call(&env, 0, "late", &json!({"tool": "send_alarm", "arguments": {}, "deadline_ms": 300}))
            .await;
    assert_eq!((answer.status, answer.code()), (502, "call_refused"), "{answer:?}");
    assert_eq!(reused.received(), 0);
    engines.push(reused);
    assert_eq!(runs(&engines, "late"), 0);
    let record = read(&env, "late").await;
    // The recorded refusal is not reported as a response of the application.
    assert_eq!(record.json, json!({"call": "late", "state": "refused"}));
    let late = json!({"tool": "send_alarm", "arguments": {}});
    let sealed = http::post(env.url(0), "/v1/programs/p1/calls/late/seal", &late).await;
    assert_eq!(sealed.json, json!({"call": "late", "state": "refused"}));
}

#[tokio::test]
async fn a_connection_closed_after_the_request_leaves_the_call_unknown() {
    let (env, engines) = env_with(2, 1).await;
    engines.iter().for_each(|e| e.next(Behaviour::CloseBefore));
    let answer = call(&env, 0, "c1", &alarm()).await;
    assert_eq!(answer.code(), "call_unknown");
    assert_eq!(engines.iter().map(AppEngine::received).sum::<u32>(), 1);
}

#[tokio::test]
async fn a_call_sent_to_two_gateways_runs_once_with_the_same_response() {
    let (env, engines) = env_with(2, 2).await;
    let slow = Behaviour::Slow(Duration::from_millis(150));
    engines.iter().for_each(|e| e.script(|s| s.always = Some(slow.clone())));
    for number in 0..5 {
        let (name, body) = (format!("c{number}"), alarm());
        let (a, b) = tokio::join!(call(&env, 0, &name, &body), call(&env, 1, &name, &body));
        assert_eq!((a.status, b.status), (200, 200), "{a:?} {b:?}");
        assert_eq!(a.json, b.json);
        assert_eq!(runs(&engines, &name), 1);
    }
}

#[tokio::test]
async fn a_sealed_call_never_runs() {
    let (env, engines) = env_with(1, 1).await;
    let path = "/v1/programs/p1/calls/c1/seal";
    let sealed = http::post(env.url(0), path, &alarm()).await;
    assert_eq!(sealed.json, json!({"call": "c1", "state": "not_run"}));
    let answer = call(&env, 0, "c1", &alarm()).await;
    assert_eq!((answer.status, answer.code()), (409, "call_sealed"));
    assert_eq!(answer.json["outcome"], "not_run");
    assert_eq!(runs(&engines, "c1"), 0);
    // A call that has run cannot be sealed.
    call(&env, 0, "c2", &alarm()).await;
    let late = http::post(env.url(0), "/v1/programs/p1/calls/c2/seal", &alarm()).await;
    assert_eq!(late.json["state"], "answered");
    // An unrecorded call cannot be sealed.
    let repeatable = http::post(env.url(0), "/v1/programs/p1/calls/c3/seal", &sensor()).await;
    assert_eq!((repeatable.status, repeatable.code()), (409, "call_repeatable"));
}
