//! Session ownership through a gateway: placement, takeover, races and stale owner tables.

mod support;

use hooklug_protocol::engine::EngineRefusal;
use hooklug_settings::GatewayMode;
use serde_json::json;
use support::fake_engine::FakeEngine;
use support::http::{self};
use support::sessions::{SESSION, env_with_session, ids, names, turn};
use support::{TestEnv, bundle};

#[tokio::test]
async fn a_killed_owner_is_replaced_and_its_open_turn_ends_interrupted() {
    let (mut env, old) = env_with_session().await;
    old.tokens.forget_permits(usize::MAX);
    old.tokens.add_permits(2);
    let mut stream = http::post_turn(env.url(0), SESSION, &turn("t1", None, 9)).await;
    let mut events = Vec::new();
    for _ in 0..3 {
        events.push(stream.next().await.unwrap().unwrap());
    }
    let new = FakeEngine::start("e2", "v2", 2, &env.state).await;
    env.list(&new, "z1");
    old.kill();
    let (rest, complete) = stream.rest().await;
    events.extend(rest);
    assert!(complete);
    assert_eq!(ids(&events), [1, 2, 3, 4]);
    assert_eq!(events[3].event, "interrupted");
    assert_eq!(events[3].data, json!({"turn": "t1", "tokens": 2}));

    let record = http::get(env.url(0), "/v1/programs/p1/sessions/s1").await;
    assert_eq!((&record.json["owner"], &record.json["epoch"]), (&json!("e2"), &json!(2)));
    let next = http::post_turn(env.url(0), SESSION, &turn("t2", Some("t1"), 1)).await;
    let (events, complete) = next.rest().await;
    assert!(complete);
    assert_eq!(ids(&events), [5, 6, 7]);
}

#[tokio::test]
async fn a_former_owner_receives_no_takeover_request() {
    const SESSIONS: usize = 8;
    let (mut env, old) = env_with_session().await;
    for number in 2..=SESSIONS {
        env.open_session("p1", &format!("s{number}")).await;
    }
    // Like an engine that was frozen, the old owner replies and is still listed, but its lease
    // expires.
    old.script(|s| s.refusals.extend(vec![EngineRefusal::LeaseLost; SESSIONS]));
    let new = FakeEngine::start("e2", "v2", 2, &env.state).await;
    env.list(&new, "z1");
    let turns = (1..=SESSIONS).map(|number| {
        let url = env.url(0);
        async move {
            let session = format!("p1/sessions/s{number}");
            http::post_turn(url, &session, &turn("t1", None, 1)).await.rest().await
        }
    });
    for (events, complete) in futures::future::join_all(turns).await {
        assert!(complete);
        assert_eq!(names(&events), ["turn", "tokens", "finished"]);
    }
    assert_eq!((old.count("take"), new.count("take")), (0, SESSIONS));
}

#[tokio::test]
async fn concurrent_takeovers_agree_and_every_caller_gets_a_response() {
    let mut env = TestEnv::with(bundle(), GatewayMode::Full, 2).await;
    let old = FakeEngine::start("e1", "v2", 1, &env.state).await;
    env.list(&old, "z1");
    env.put_program("p1").await;
    env.open_session("p1", "s1").await;
    let takers = [
        FakeEngine::start("e2", "v2", 2, &env.state).await,
        FakeEngine::start("e3", "v2", 3, &env.state).await,
    ];
    for taker in &takers {
        env.list(taker, "z1");
    }
    old.kill();
    let body = turn("t1", None, 2);
    let (a, b) = tokio::join!(
        async { http::post_turn(env.url(0), SESSION, &body).await.rest().await },
        async { http::post_turn(env.url(1), SESSION, &body).await.rest().await },
    );
    // Both requests name the same turn, so both callers get the same events.
    assert!(a.1 && b.1);
    assert_eq!(a.0, b.0);
    assert_eq!(ids(&a.0), [1, 2, 3, 4]);
    let record = http::get(env.url(0), "/v1/programs/p1/sessions/s1").await;
    assert_eq!(record.json["epoch"], 2);
}

#[tokio::test]
async fn two_gateways_that_open_one_session_agree_on_its_owner() {
    let mut env = TestEnv::with(bundle(), GatewayMode::Full, 2).await;
    let mut engines = Vec::new();
    for run in 1..=4 {
        let engine = FakeEngine::start(&format!("e{run}"), "v2", run, &env.state).await;
        env.list(&engine, "z1");
        engines.push(engine);
    }
    env.put_program("p1").await;
    for number in 0..20 {
        let path = format!("/v1/programs/p1/sessions/s{number}");
        let body = json!({"model": "advisor-7b"});
        let (a, b) =
            tokio::join!(http::put(env.url(0), &path, &body), http::put(env.url(1), &path, &body),);
        assert_eq!((a.status, b.status), (200, 200), "{a:?} {b:?}");
        assert_eq!(a.json["owner"], b.json["owner"]);
        assert_eq!(a.json["epoch"], 1);
    }
}

#[tokio::test]
async fn a_stale_owner_table_is_corrected_by_the_engine() {
    let mut env = TestEnv::with(bundle(), GatewayMode::Full, 2).await;
    let (one, two) = (
        FakeEngine::start("e1", "v2", 1, &env.state).await,
        FakeEngine::start("e2", "v2", 2, &env.state).await,
    );
    env.list(&one, "z1");
    env.put_program("p1").await;
    env.open_session("p1", "s1").await;
    // Gateway 1 caches owner e1, then gateway 0 moves the session by a handover.
    let first = http::post_turn(env.url(1), SESSION, &turn("t1", None, 1)).await;
    assert!(first.rest().await.1);
    support::hand_over(&env, "p1", "s1", 1).await;
    env.list(&two, "z1");
    one.script(|s| s.draining = true);
    let mut refusing = env.view.clone();
    for member in refusing.members.values_mut() {
        let hosted = member.engine.as_mut().unwrap();
        hosted.draining = hosted.engine.as_str() == "e1";
    }
    env.view = refusing;
    env.publish();
    let moved = http::post_turn(env.url(0), SESSION, &turn("t2", Some("t1"), 1)).await;
    assert!(moved.rest().await.1);
    let stale = http::post_turn(env.url(1), SESSION, &turn("t3", Some("t2"), 1)).await;
    assert_eq!(stale.status, 200);
    assert!(stale.rest().await.1);
    assert_eq!((two.count("take"), one.count("take")), (1, 0));
}

#[tokio::test]
async fn a_turn_waiting_for_a_lease_beyond_its_deadline_is_refused_immediately() {
    let mut slow = bundle();
    slow.routes
        .get_mut(&support::id::<hooklug_types::RouteName>("sessions"))
        .unwrap()
        .deadline_ms = 100;
    let mut env = TestEnv::with(slow, GatewayMode::Full, 1).await;
    let engine = FakeEngine::start("e1", "v2", 1, &env.state).await;
    env.list(&engine, "z1");
    env.put_program("p1").await;
    env.open_session("p1", "s1").await;
    engine.renew().await;
    engine.kill();
    let body = turn("t1", None, 1);
    let path = "/v1/programs/p1/sessions/s1/turns";
    let answer = http::post(env.url(0), path, &body).await;
    assert_eq!((answer.status, answer.code()), (503, "try_again"), "{answer:?}");
    assert_eq!(answer.json["outcome"], "try_again");
    assert!(answer.json["retry_after_ms"].as_u64().unwrap() > 0);
    assert_eq!(answer.header("retry-after"), "1");
    assert!(env.turn("p1", "s1", "t1").await.is_none());
}

#[tokio::test]
async fn new_sessions_avoid_engines_that_drain_or_refuse() {
    let mut env = TestEnv::new().await;
    let (one, two) = (
        FakeEngine::start("e1", "v2", 1, &env.state).await,
        FakeEngine::start("e2", "v2", 2, &env.state).await,
    );
    let old = FakeEngine::start("e0", "v1", 3, &env.state).await;
    env.list(&one, "z1");
    env.put_program("p1").await;
    env.open_session("p1", "s0").await;
    // The next reply of e1 reports draining; the view does not report it yet.
    one.script(|s| s.draining = true);
    let (_, complete) =
        http::post_turn(env.url(0), "p1/sessions/s0", &turn("t1", None, 1)).await.rest().await;
    assert!(complete);
    env.list(&two, "z1");
    env.list(&old, "z1");
    two.script(|s| s.refusals.push_back(EngineRefusal::NotReady { reason: "cold".into() }));
    for number in 1..=10 {
        let opened = env.open_session("p1", &format!("s{number}")).await;
        assert_eq!((opened.status, &opened.json["owner"]), (200, &json!("e2")), "{opened:?}");
    }
    assert_eq!((one.count("open"), old.count("open")), (1, 0));
}

#[tokio::test]
async fn the_previous_version_serves_without_engines_of_the_newest() {
    let mut env = TestEnv::new().await;
    let old = FakeEngine::start("e0", "v1", 3, &env.state).await;
    env.list(&old, "z1");
    env.put_program("p1").await;
    let opened = env.open_session("p1", "s1").await;
    assert_eq!(opened.json["version"], "v1");
    let new = FakeEngine::start("e1", "v2", 4, &env.state).await;
    env.list(&new, "z1");
    let opened = env.open_session("p1", "s2").await;
    assert_eq!(opened.json["version"], "v2");
}
