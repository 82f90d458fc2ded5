//! Sessions through a gateway: turns, interrupted and resumed streams, joining, refusals and
//! shutdown.

mod support;

use hooklug_settings::GatewayMode;
use hooklug_types::EventSeq;
use serde_json::json;
use support::fake_engine::FakeEngine;
use support::http::{self};
use support::sessions::{SESSION, env_with_session, ids, names, turn};
use support::{TestEnv, bundle};

#[tokio::test]
async fn a_turn_streams_all_its_events() {
    let (env, _engine) = env_with_session().await;
    let stream = http::post_turn(env.url(0), SESSION, &turn("t1", None, 3)).await;
    assert_eq!(stream.status, 200);
    assert_eq!(stream.headers["content-type"], "text/event-stream");
    assert_eq!(stream.headers["x-hooklug-bundle"], "3");
    let (events, complete) = stream.rest().await;
    assert!(complete);
    assert_eq!(names(&events), ["turn", "tokens", "tokens", "tokens", "finished"]);
    assert_eq!(ids(&events), [1, 2, 3, 4, 5]);
    assert_eq!(events[0].data, json!({"turn": "t1", "after": null, "input": "vent?"}));
    assert_eq!(events[1].data, json!({"turn": "t1", "text": "1 ", "count": 1}));
    assert_eq!(events[4].data, json!({"turn": "t1", "tokens": 3}));

    let read = http::get(env.url(0), "/v1/programs/p1/sessions/s1/turns/t1").await;
    assert_eq!(read.json["state"], "finished");
    assert_eq!(read.json["last_seq"], 5);
    let program = http::get(env.url(0), "/v1/programs/p1").await;
    assert_eq!((&program.json["spent"], &program.json["reserved"]), (&json!(3), &json!(0)));
}

#[tokio::test]
async fn a_truncated_engine_stream_is_resumed_without_gaps() {
    let (env, engine) = env_with_session().await;
    engine.script(|s| s.cut_streams_after.extend([2]));
    let (events, complete) =
        http::post_turn(env.url(0), SESSION, &turn("t1", None, 6)).await.rest().await;
    assert!(complete);
    assert_eq!(ids(&events), (1..=8).collect::<Vec<_>>());
    assert_eq!(names(&events).last(), Some(&"finished"));
}

#[tokio::test]
async fn duplicate_and_missing_engine_events_are_repaired() {
    let (env, engine) = env_with_session().await;
    engine.script(|s| {
        s.send_twice = true;
        s.skip_event = Some(2);
    });
    let (events, complete) =
        http::post_turn(env.url(0), SESSION, &turn("t1", None, 5)).await.rest().await;
    assert!(complete);
    assert_eq!(ids(&events), (1..=7).collect::<Vec<_>>());
}

#[tokio::test]
async fn an_interrupted_stream_resumes_at_another_gateway() {
    let mut env = TestEnv::with(bundle(), GatewayMode::Full, 2).await;
    let engine = FakeEngine::start("e1", "v2", 1, &env.state).await;
    engine.tokens.forget_permits(usize::MAX);
    env.list(&engine, "z1");
    env.put_program("p1").await;
    env.open_session("p1", "s1").await;
    let mut first = http::post_turn(env.url(0), SESSION, &turn("t1", None, 4)).await;
    engine.tokens.add_permits(2);
    for expected in 1..=3 {
        assert_eq!(first.next().await.unwrap().unwrap().id, expected);
    }
    drop(first);
    let path = "/v1/programs/p1/sessions/s1/turns/t1/events";
    let second = http::follow(env.url(1), path, Some(3)).await;
    engine.tokens.add_permits(2);
    let (events, complete) = second.rest().await;
    assert!(complete);
    assert_eq!(ids(&events), [4, 5, 6]);
    assert_eq!(events[2].event, "finished");
    // A caller that has the terminal event gets no content.
    let over = http::follow(env.url(1), path, Some(6)).await;
    assert_eq!(over.status, 204);
    let ahead = http::get_with_last(env.url(1), path, 7).await;
    assert_eq!((ahead.status, ahead.code()), (400, "bad_field"));
}

#[tokio::test]
async fn joining_gives_one_sync_and_then_the_common_stream() {
    let (env, _engine) = env_with_session().await;
    let (events, _) = http::post_turn(env.url(0), SESSION, &turn("t1", None, 2)).await.rest().await;
    assert_eq!(events.len(), 4);
    let path = "/v1/programs/p1/sessions/s1/events";
    let mut joined = http::follow(env.url(0), path, None).await;
    let sync = joined.next().await.unwrap().unwrap();
    assert_eq!((sync.event.as_str(), sync.id), ("sync", 4));
    assert_eq!(sync.data["events"].as_array().unwrap().len(), 4);
    assert_eq!(sync.data["events"][1], json!({"id": 2, "event": "tokens", "data": events[1].data}));
    let result = json!({"call": "c7", "result": {"temperature": 4}});
    let posted = http::post(env.url(0), "/v1/programs/p1/sessions/s1/tool-results", &result).await;
    assert_eq!(posted.json, json!({"seq": 5}));
    let event = joined.next().await.unwrap().unwrap();
    assert_eq!((event.event.as_str(), event.id), ("tool_result", 5));
    assert_eq!(event.data, json!({"turn": null, "call": "c7", "result": {"temperature": 4}}));
    let closed = http::delete(env.url(0), "/v1/programs/p1/sessions/s1").await;
    assert_eq!(closed.json["closed"], true);
    let (rest, complete) = joined.rest().await;
    assert!(complete);
    assert_eq!(names(&rest), ["closed"]);

    // The history remains readable after the session is closed, and nothing can be added.
    let (events, complete) = http::follow(env.url(0), path, None).await.rest().await;
    assert!(complete);
    assert_eq!(events[0].data["events"].as_array().unwrap().len(), 6);
    let turns = "/v1/programs/p1/sessions/s1/turns";
    let late = http::post(env.url(0), turns, &turn("t2", Some("t1"), 1)).await;
    assert_eq!(late.code(), "session_closed");
    let again = http::delete(env.url(0), "/v1/programs/p1/sessions/s1").await;
    assert_eq!((again.status, &again.json["closed"]), (200, &json!(true)));
    let reopened = env.open_session("p1", "s1").await;
    assert_eq!(reopened.code(), "session_closed");
}

#[tokio::test]
async fn an_aborted_turn_ends_aborted() {
    let (env, engine) = env_with_session().await;
    engine.script(|s| s.hold_turns = true);
    let mut stream = http::post_turn(env.url(0), SESSION, &turn("t1", None, 1)).await;
    for expected in ["turn", "tokens"] {
        assert_eq!(stream.next().await.unwrap().unwrap().event, expected);
    }
    let path = "/v1/programs/p1/sessions/s1/turns/t1/abort";
    let aborted = http::post_empty(env.url(0), path).await;
    assert_eq!((aborted.status, &aborted.json["state"]), (200, &json!("aborted")));
    let (events, complete) = stream.rest().await;
    assert!(complete);
    assert_eq!(names(&events), ["aborted"]);
    let again = http::post_empty(env.url(0), path).await;
    assert_eq!((again.status, &again.json["state"]), (200, &json!("aborted")));
}

#[tokio::test]
async fn shard_refusals_are_returned_with_their_codes() {
    let (env, _engine) = env_with_session().await;
    let path = "/v1/programs/p1/sessions/s1/turns";
    let unknown = http::post(env.url(0), path, &turn("t1", Some("t0"), 1)).await;
    assert_eq!((unknown.status, unknown.code()), (409, "no_such_turn"));
    assert_eq!(unknown.json["field"], "after");
    let (_, complete) =
        http::post_turn(env.url(0), SESSION, &turn("t1", None, 1000)).await.rest().await;
    assert!(complete);
    let not_head = http::post(env.url(0), path, &turn("t2", None, 1)).await;
    assert_eq!((not_head.status, not_head.code()), (409, "not_head"));
    let differs = http::post(env.url(0), path, &turn("t1", None, 2)).await;
    assert_eq!((differs.status, differs.code()), (409, "turn_differs"));
    let spent = http::post(env.url(0), path, &turn("t2", Some("t1"), 1)).await;
    assert_eq!((spent.status, spent.code()), (403, "budget_spent"));
    let read = http::get(env.url(0), "/v1/programs/p1/sessions/s1/turns/t2").await;
    assert_eq!(
        (&read.json["state"], &read.json["code"]),
        (&json!("refused"), &json!("budget_spent"))
    );
    let events = http::get(env.url(0), "/v1/programs/p1/sessions/s1/turns/t2/events").await;
    assert_eq!(events.code(), "budget_spent");
}

#[tokio::test]
async fn without_reachable_stores_no_turn_is_started() {
    let (env, engine) = env_with_session().await;
    env.gateways[0].channels.reach.send_replace(Default::default());
    let path = "/v1/programs/p1/sessions/s1/turns";
    let answer = http::post(env.url(0), path, &turn("t1", None, 1)).await;
    assert_eq!((answer.status, answer.code()), (503, "try_again"));
    assert_eq!(engine.count("run_turn"), 0);
}

#[tokio::test]
async fn a_stopping_gateway_is_unready_finishes_turns_and_aborts_joined_streams() {
    let (mut env, engine) = env_with_session().await;
    engine.tokens.forget_permits(usize::MAX);
    let mut ending = http::post_turn(env.url(0), SESSION, &turn("t1", None, 2)).await;
    assert_eq!(ending.next().await.unwrap().unwrap().id, EventSeq(1).0);
    let path = "/v1/programs/p1/sessions/s1/events";
    let joined = http::follow(env.url(0), path, None).await;
    let gateway = env.gateways.remove(0);
    gateway.stop.cancel();
    gateway.wait_unready().await;
    engine.tokens.add_permits(2);
    let (events, complete) = ending.rest().await;
    assert!(complete);
    assert_eq!(events.last().unwrap().event, "finished");
    // The joined stream has no terminal event: it is aborted visibly.
    let (_, complete) = joined.rest().await;
    assert!(!complete);
    gateway.task.await.unwrap();
}
