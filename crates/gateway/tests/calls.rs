//! Tool calls through a gateway: answers that are whole, calls that run at most once.

mod support;

use std::time::Duration;

use hooklug_settings::GatewayMode;
use hooklug_types::{CallOutcome, RouteName, shard_of};
use serde_json::{Value, json};
use support::app_engine::{AppEngine, Behaviour};
use support::http::{self, Answer};
use support::{World, bundle, id};

fn alarm() -> Value {
    json!({"tool": "send_alarm", "arguments": {"house": 4, "level": "frost"}})
}

fn sensor() -> Value {
    json!({"tool": "read_sensor", "arguments": {"house": 4}})
}

async fn call(world: &World, gateway: usize, call: &str, body: &Value) -> Answer {
    http::put(world.url(gateway), &format!("/v1/programs/p1/calls/{call}"), body).await
}

async fn read(world: &World, call: &str) -> Answer {
    http::get(world.url(0), &format!("/v1/programs/p1/calls/{call}")).await
}

async fn world_with(engines: u64, gateways: u64) -> (World, Vec<AppEngine>) {
    let mut world = World::with(bundle(), GatewayMode::Full, gateways).await;
    let mut started = Vec::new();
    for run in 1..=engines {
        let engine = AppEngine::start(&format!("a{run}"), run).await;
        world.list_app(&engine, "v1", "z1");
        started.push(engine);
    }
    world.put_program("p1").await;
    (world, started)
}

fn runs(engines: &[AppEngine], call: &str) -> u32 {
    engines.iter().map(|e| e.runs(&format!("p1/{call}"))).sum()
}

#[tokio::test]
async fn a_call_is_answered_by_the_application_and_recorded() {
    let (world, engines) = world_with(2, 2).await;
    let answer = call(&world, 0, "c1", &alarm()).await;
    assert_eq!((answer.status, &answer.json), (200, &json!({"ok": true})));
    assert_eq!(answer.header("x-hooklug-call-state"), "answered");
    // The same content in another spelling, at another gateway, gets the same answer.
    let resent = json!({"arguments": {"level": "frost", "house": 4}, "tool": "send_alarm"});
    let again = call(&world, 1, "c1", &resent).await;
    assert_eq!((again.status, &again.json), (200, &json!({"ok": true})));
    assert_eq!(runs(&engines, "c1"), 1);
    let record = read(&world, "c1").await;
    assert_eq!(
        record.json,
        json!({"call": "c1", "state": "answered", "status": 200, "body": {"ok": true}})
    );
    let other = json!({"tool": "send_alarm", "arguments": {"house": 5}});
    let differs = call(&world, 0, "c1", &other).await;
    assert_eq!((differs.status, differs.code()), (409, "call_differs"));
}

#[tokio::test]
async fn an_answer_of_the_application_with_a_client_error_is_an_answer() {
    let (world, engines) = world_with(1, 1).await;
    engines[0].next(Behaviour::AnswerWith(422, r#"{"error":"no such house"}"#));
    let answer = call(&world, 0, "c1", &alarm()).await;
    assert_eq!((answer.status, answer.header("x-hooklug-call-state")), (422, "answered"));
    assert_eq!(answer.json["error"], "no such house");
}

/// Whatever comes back that is not the engine's own whole answer: unknown, never shown, never run again.
#[tokio::test]
async fn what_is_no_answer_leaves_a_call_unknown_and_it_never_runs_twice() {
    let table = [
        Behaviour::LoseAnswer,
        Behaviour::CutShort,
        Behaviour::CrossRequest,
        Behaviour::CrossEngine,
        Behaviour::Garble,
        Behaviour::NoLength,
        Behaviour::ServerError,
        Behaviour::AnswerWith(302, "{}"),
    ];
    let (world, engines) = world_with(3, 2).await;
    for (number, behaviour) in table.into_iter().enumerate() {
        let name = format!("c{number}");
        engines.iter().for_each(|e| e.script(|s| s.always = Some(behaviour.clone())));
        let answer = call(&world, 0, &name, &alarm()).await;
        assert_eq!((answer.status, answer.code()), (502, "call_unknown"), "{behaviour:?}");
        assert_eq!(answer.json["outcome"], "unknown");
        engines.iter().for_each(|e| e.script(|s| s.always = None));
        let again = call(&world, 1, &name, &alarm()).await;
        assert_eq!((again.status, again.code()), (502, "call_unknown"), "{behaviour:?}");
        assert_eq!(runs(&engines, &name), 1, "{behaviour:?}");
        assert_eq!(read(&world, &name).await.json["state"], "unknown");
    }
}

#[tokio::test]
async fn a_lost_answer_is_settled_by_the_look_up() {
    let (world, engines) = world_with(1, 1).await;
    engines[0].next(Behaviour::LoseAnswer);
    let lost = call(&world, 0, "c1", &alarm()).await;
    assert_eq!(lost.code(), "call_unknown");
    engines[0].script(|s| s.look_up = true);
    let record = read(&world, "c1").await;
    assert_eq!(
        (&record.json["state"], &record.json["body"]),
        (&json!("answered"), &json!({"ok": true}))
    );
    // The look-up was recorded: the engine is not needed any more.
    engines[0].kill();
    let again = call(&world, 0, "c1", &alarm()).await;
    assert_eq!((again.status, &again.json), (200, &json!({"ok": true})));
}

#[tokio::test]
async fn a_look_up_that_knows_nothing_settles_nothing() {
    let (world, engines) = world_with(2, 1).await;
    engines.iter().for_each(|e| e.script(|s| s.look_up = true));
    // The claim is held by a gateway that has gone; no engine ever saw the call.
    world.begin_call("p1", "c1", "gone", &alarm()).await;
    assert_eq!(read(&world, "c1").await.json["state"], "running");
    let sealed = http::post(world.url(0), "/v1/programs/p1/calls/c1/seal", &alarm()).await;
    assert_eq!((sealed.status, &sealed.json["state"]), (200, &json!("running")));
    assert_eq!(runs(&engines, "c1"), 0);
}

#[tokio::test]
async fn refusals_and_refused_connections_go_elsewhere_under_the_same_attempt() {
    let (mut world, mut engines) = world_with(3, 1).await;
    engines[0].script(|s| s.always = Some(Behaviour::Refuse("draining")));
    engines[1].kill();
    for number in 0..10 {
        let name = format!("c{number}");
        let answer = call(&world, 0, &name, &alarm()).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(runs(&engines, &name), 1);
    }
    // Its first refusal told that it drains: nothing more was sent there.
    assert!(engines[0].received() <= 1, "{}", engines[0].received());
    // An engine that reuses the address of a dead one gets none of its calls.
    let reused = AppEngine::start("b9", 9).await;
    engines[2].kill();
    let mut listed = world.view.engines[&engines[2].engine].clone();
    listed.address = reused.address;
    world.view.engines.insert(listed.engine.clone(), listed);
    world.publish();
    let answer = call(
        &world,
        0,
        "late",
        &json!({"tool": "send_alarm", "arguments": {}, "deadline_ms": 300}),
    )
    .await;
    assert_eq!((answer.status, answer.code()), (502, "call_refused"), "{answer:?}");
    assert_eq!(reused.received(), 0);
    engines.push(reused);
    assert_eq!(runs(&engines, "late"), 0);
    let record = read(&world, "late").await;
    assert_eq!(record.json["state"], "answered");
    assert_eq!(record.json["body"]["code"], "call_refused");
}

#[tokio::test]
async fn a_connection_closed_after_the_request_is_a_lost_answer() {
    let (world, engines) = world_with(2, 1).await;
    engines.iter().for_each(|e| e.next(Behaviour::CloseBefore));
    let answer = call(&world, 0, "c1", &alarm()).await;
    assert_eq!(answer.code(), "call_unknown");
    assert_eq!(engines.iter().map(AppEngine::received).sum::<u32>(), 1);
}

#[tokio::test]
async fn the_same_call_at_two_gateways_runs_once_and_both_get_its_answer() {
    let (world, engines) = world_with(2, 2).await;
    let slow = Behaviour::Slow(Duration::from_millis(150));
    engines.iter().for_each(|e| e.script(|s| s.always = Some(slow.clone())));
    for number in 0..5 {
        let (name, body) = (format!("c{number}"), alarm());
        let (a, b) = tokio::join!(call(&world, 0, &name, &body), call(&world, 1, &name, &body));
        assert_eq!((a.status, b.status), (200, 200), "{a:?} {b:?}");
        assert_eq!(a.json, b.json);
        assert_eq!(runs(&engines, &name), 1);
    }
}

#[tokio::test]
async fn lost_answers_of_the_shard_change_nothing() {
    let (world, engines) = world_with(2, 1).await;
    for lost in 1..=3 {
        let name = format!("c{lost}");
        world.state.lose_answers(shard_of("p1"), lost);
        let answer = call(&world, 0, &name, &alarm()).await;
        assert_eq!((answer.status, &answer.json), (200, &json!({"ok": true})), "{answer:?}");
        assert_eq!(runs(&engines, &name), 1);
    }
}

#[tokio::test]
async fn a_shard_out_of_reach_claims_nothing_and_the_call_is_carried_through_later() {
    let (world, engines) = world_with(1, 1).await;
    // The program is known to the gateway, so that only the claim needs the shard.
    call(&world, 0, "c0", &alarm()).await;
    world.state.set_available(shard_of("p1"), false);
    let mut body = alarm();
    body["deadline_ms"] = json!(200);
    let answer = call(&world, 0, "c1", &body).await;
    assert!(matches!(answer.code(), "try_again" | "deadline_exceeded"), "{answer:?}");
    assert_ne!(answer.json["outcome"], "not_run");
    assert_eq!(runs(&engines, "c1"), 0);
    world.state.set_available(shard_of("p1"), true);
    let resent = call(&world, 0, "c1", &alarm()).await;
    assert_eq!((resent.status, &resent.json), (200, &json!({"ok": true})));
    assert_eq!(runs(&engines, "c1"), 1);
}

#[tokio::test]
async fn an_answer_is_given_only_once_it_is_recorded() {
    let (world, engines) = world_with(1, 1).await;
    engines[0].next(Behaviour::Slow(Duration::from_millis(100)));
    let mut body = alarm();
    body["deadline_ms"] = json!(600);
    let asked = call(&world, 0, "c1", &body);
    let cut = async {
        engines[0].wait_ran("p1/c1").await;
        world.state.set_available(shard_of("p1"), false);
    };
    let (answer, ()) = tokio::join!(asked, cut);
    assert_eq!((answer.status, &answer.json["outcome"]), (504, &json!("unknown")), "{answer:?}");
    world.state.set_available(shard_of("p1"), true);
    // The work goes on without its caller: the answer is recorded once the shard is back.
    let again = call(&world, 0, "c1", &alarm()).await;
    assert_eq!((again.status, &again.json), (200, &json!({"ok": true})));
    assert_eq!(runs(&engines, "c1"), 1);
}

#[tokio::test]
async fn a_call_goes_on_when_its_caller_goes_away() {
    let (world, engines) = world_with(1, 1).await;
    engines[0].next(Behaviour::Slow(Duration::from_millis(100)));
    let body = alarm();
    let asked = call(&world, 0, "c1", &body);
    tokio::select! {
        _ = asked => panic!("the answer came too early"),
        () = engines[0].wait_ran("p1/c1") => {}
    }
    let recorded = world.wait_outcome("p1", "c1").await;
    assert_eq!(recorded, CallOutcome::Answered { status: 200, body: br#"{"ok":true}"#.to_vec() });
}

#[tokio::test]
async fn a_sealed_call_never_runs() {
    let (world, engines) = world_with(1, 1).await;
    let path = "/v1/programs/p1/calls/c1/seal";
    let sealed = http::post(world.url(0), path, &alarm()).await;
    assert_eq!(sealed.json, json!({"call": "c1", "state": "not_run"}));
    let answer = call(&world, 0, "c1", &alarm()).await;
    assert_eq!((answer.status, answer.code()), (409, "call_sealed"));
    assert_eq!(answer.json["outcome"], "not_run");
    assert_eq!(runs(&engines, "c1"), 0);
    // A call that has run is not sealed.
    call(&world, 0, "c2", &alarm()).await;
    let late = http::post(world.url(0), "/v1/programs/p1/calls/c2/seal", &alarm()).await;
    assert_eq!(late.json["state"], "answered");
    // What is not recorded cannot be sealed.
    let repeatable = http::post(world.url(0), "/v1/programs/p1/calls/c3/seal", &sensor()).await;
    assert_eq!((repeatable.status, repeatable.code()), (409, "call_repeatable"));
}

#[tokio::test]
async fn a_call_that_may_be_repeated_is_tried_elsewhere() {
    let (world, engines) = world_with(3, 1).await;
    let bad = [Behaviour::LoseAnswer, Behaviour::CutShort, Behaviour::CrossRequest];
    for (engine, behaviour) in engines.iter().zip(bad).take(2) {
        engine.script(|s| s.always = Some(behaviour));
    }
    for number in 0..10 {
        let answer = call(&world, 0, &format!("c{number}"), &sensor()).await;
        assert_eq!((answer.status, &answer.json), (200, &json!({"ok": true})), "{answer:?}");
        assert_eq!(answer.header("x-hooklug-call-state"), "answered");
    }
    // It left no record.
    assert_eq!(read(&world, "c0").await.code(), "no_call");
}

#[tokio::test]
async fn a_caller_can_only_make_a_route_stricter() {
    let (world, engines) = world_with(2, 1).await;
    engines.iter().for_each(|e| e.script(|s| s.always = Some(Behaviour::LoseAnswer)));
    let mut strict = sensor();
    strict["repeat"] = json!(false);
    assert_eq!(call(&world, 0, "c1", &strict).await.code(), "call_unknown");
    assert_eq!(runs(&engines, "c1"), 1);
    let mut loose = alarm();
    loose["repeat"] = json!(true);
    assert_eq!(call(&world, 0, "c2", &loose).await.code(), "call_unknown");
    assert_eq!(runs(&engines, "c2"), 1);
}

#[tokio::test]
async fn retries_stay_within_their_share_of_traffic() {
    let (world, engines) = world_with(2, 1).await;
    engines.iter().for_each(|e| e.script(|s| s.always = Some(Behaviour::LoseAnswer)));
    let sent = || engines.iter().map(AppEngine::received).sum::<u32>();
    let first = call(&world, 0, "c0", &sensor()).await;
    assert_eq!((first.status, &first.json["outcome"]), (503, &json!("try_again")));
    // Each engine was tried once: never the same one again.
    assert_eq!(engines.iter().map(AppEngine::received).collect::<Vec<_>>(), [1, 1]);
    let calls = 100;
    for number in 1..calls {
        let answer = call(&world, 0, &format!("c{number}"), &sensor()).await;
        assert_eq!(answer.status, 503, "{answer:?}");
    }
    // One first try each, a fifth of retries, and the twenty that were saved up.
    assert!(sent() <= calls + calls / 5 + 20, "{} tries for {calls} calls", sent());
}

#[tokio::test]
async fn while_a_route_fails_its_callers_hear_so_at_once_until_a_probe_succeeds() {
    let (world, engines) = world_with(2, 1).await;
    engines.iter().for_each(|e| e.script(|s| s.always = Some(Behaviour::ServerError)));
    let received = || engines.iter().map(AppEngine::received).sum::<u32>();
    let mut number = 0;
    let refused = loop {
        let before = received();
        let answer = call(&world, 0, &format!("c{number}"), &alarm()).await;
        number += 1;
        if received() == before {
            break answer;
        }
        assert_eq!(answer.code(), "call_unknown");
        assert!(number < 500, "the circuit never opened");
    };
    assert_eq!((refused.status, refused.code()), (503, "try_again"), "{refused:?}");
    assert!(refused.json["retry_after_ms"].as_u64().unwrap() > 0);
    // What was refused left no claim.
    assert_eq!(read(&world, &format!("c{}", number - 1)).await.code(), "no_call");
    // Another route of the same service is not affected.
    engines.iter().for_each(|e| e.script(|s| s.always = None));
    assert_eq!(call(&world, 0, "sensor", &sensor()).await.status, 200);
    loop {
        let answer = call(&world, 0, &format!("c{}", number - 1), &alarm()).await;
        if answer.status == 200 {
            break;
        }
        assert_eq!(answer.code(), "try_again", "{answer:?}");
        let after = answer.json["retry_after_ms"].as_u64().unwrap();
        tokio::time::sleep(Duration::from_millis(after)).await;
    }
}

#[tokio::test]
async fn overload_is_told_at_once_and_urgent_calls_still_pass() {
    let mut small = bundle();
    let farm = small.services.get_mut(&id("farm")).unwrap();
    (farm.concurrency_per_engine, farm.queue_per_engine) = (5, 4);
    small.routes.get_mut(&id::<RouteName>("sensors")).unwrap().deadline_ms = 60_000;
    small.routes.get_mut(&id::<RouteName>("alarms")).unwrap().urgent = true;
    let mut world = World::with(small, GatewayMode::Full, 1).await;
    let engine = AppEngine::start("a1", 1).await;
    world.list_app(&engine, "v1", "z1");
    world.put_program("p1").await;
    let hold = Behaviour::Slow(Duration::from_secs(600));
    engine.script(|s| s.always = Some(hold));
    let (http, body) = (world.url(0), sensor());
    // Four run (a fifth of five is kept for urgent calls), four wait, and the ninth hears so.
    let mut asked = tokio::task::JoinSet::new();
    for number in 0..9 {
        let (path, body) = (format!("/v1/programs/p1/calls/c{number}"), body.clone());
        asked.spawn(async move { http::put(http, &path, &body).await });
    }
    let shed = asked.join_next().await.unwrap().unwrap();
    assert_eq!((shed.status, shed.code()), (503, "overloaded"), "{shed:?}");
    assert!(shed.json["retry_after_ms"].as_u64().unwrap() > 0);
    assert!(!shed.header("retry-after").is_empty());
    engine.wait_received(4).await;
    engine.script(|s| s.always = None);
    let urgent = call(&world, 0, "urgent", &alarm()).await;
    assert_eq!(urgent.status, 200, "{urgent:?}");
    assert_eq!(engine.received(), 5);
    // Those that wait get the room of those whose callers go away.
    asked.abort_all();
    while asked.join_next().await.is_some() {}
    assert_eq!(call(&world, 0, "late", &sensor()).await.status, 200);
}

#[tokio::test]
async fn a_call_that_cannot_end_in_time_does_not_wait() {
    let mut small = bundle();
    small.services.get_mut(&id("farm")).unwrap().concurrency_per_engine = 1;
    let mut world = World::with(small, GatewayMode::Full, 1).await;
    let engine = AppEngine::start("a1", 1).await;
    world.list_app(&engine, "v1", "z1");
    world.put_program("p1").await;
    // The route's calls take 300 ms of late.
    engine.next(Behaviour::Slow(Duration::from_millis(300)));
    assert_eq!(call(&world, 0, "c0", &sensor()).await.status, 200);
    engine.next(Behaviour::Slow(Duration::from_secs(600)));
    let (http, body) = (world.url(0), sensor());
    let held =
        tokio::spawn(async move { http::put(http, "/v1/programs/p1/calls/c1", &body).await });
    engine.wait_received(2).await;
    let mut short = sensor();
    short["deadline_ms"] = json!(350);
    // One that waited to its deadline would hear `deadline_exceeded`.
    let shed = call(&world, 0, "c2", &short).await;
    assert_eq!((shed.status, shed.code()), (503, "overloaded"), "{shed:?}");
    held.abort();
}

#[tokio::test]
async fn a_deadline_ends_a_slow_call() {
    let (world, engines) = world_with(1, 1).await;
    engines[0].script(|s| s.always = Some(Behaviour::Slow(Duration::from_secs(30))));
    let mut body = sensor();
    body["deadline_ms"] = json!(100);
    let answer = call(&world, 0, "c1", &body).await;
    assert_eq!((answer.status, answer.code()), (504, "deadline_exceeded"));
    let mut body = alarm();
    body["deadline_ms"] = json!(100);
    let answer = call(&world, 0, "c2", &body).await;
    assert_eq!(answer.json["outcome"], "unknown", "{answer:?}");
}

#[tokio::test]
async fn a_cut_link_holds_calls_back_and_claims_nothing() {
    let (world, engines) = world_with(1, 1).await;
    call(&world, 0, "c0", &alarm()).await;
    let cut = hooklug_rpc::LinkFault { cut: true, delay_micros: 0 };
    let ip = engines[0].address.ip();
    let faults = world.gateways[0].identity.faults.clone();
    faults.set([(ip, cut)].into());
    let mut body = alarm();
    body["deadline_ms"] = json!(200);
    let answer = call(&world, 0, "c1", &body).await;
    assert_ne!(answer.status, 200, "{answer:?}");
    assert_ne!(answer.json["outcome"], "not_run");
    assert_eq!(runs(&engines, "c1"), 0);
    faults.set(Default::default());
    assert_eq!(call(&world, 0, "c2", &alarm()).await.status, 200);
}

#[tokio::test]
async fn without_a_store_in_reach_only_repeatable_calls_are_made() {
    let (world, engines) = world_with(1, 1).await;
    world.gateways[0].feeds.reach.send_replace(Default::default());
    let answer = call(&world, 0, "c1", &alarm()).await;
    assert_eq!((answer.status, answer.code()), (503, "try_again"));
    assert_eq!(runs(&engines, "c1"), 0);
    assert_eq!(call(&world, 0, "c2", &sensor()).await.status, 200);
}

#[tokio::test]
async fn a_draining_or_unhealthy_engine_gets_no_call() {
    let (mut world, engines) = world_with(3, 1).await;
    world.view.engines.get_mut(&engines[0].engine).unwrap().draining = true;
    world.view.engines.get_mut(&engines[1].engine).unwrap().healthy = false;
    world.publish();
    for number in 0..20 {
        assert_eq!(call(&world, 0, &format!("c{number}"), &sensor()).await.status, 200);
    }
    assert_eq!((engines[0].received(), engines[1].received()), (0, 0));
}

#[tokio::test]
async fn an_engine_that_drains_while_the_claim_is_uncertain_gets_no_call() {
    let (mut world, engines) = world_with(1, 1).await;
    // The claim is taken up again and again without an answer, with room at the first engine.
    world.state.lose_answers(shard_of("p1"), u32::MAX);
    let url = world.url(0);
    let calling =
        tokio::spawn(async move { http::put(url, "/v1/programs/p1/calls/c1", &alarm()).await });
    world.wait_claimed("p1", "c1").await;
    let other = AppEngine::start("a2", 2).await;
    world.view.engines.get_mut(&engines[0].engine).unwrap().draining = true;
    world.list_app(&other, "v1", "z1");
    world.state.lose_answers(shard_of("p1"), 0);
    let answer = calling.await.expect("no panic");
    assert_eq!((answer.status, &answer.json), (200, &json!({"ok": true})), "{answer:?}");
    assert_eq!((engines[0].received(), other.runs("p1/c1")), (0, 1));
}

#[tokio::test]
async fn a_failing_new_version_loses_its_traffic() {
    let mut world = World::new().await;
    let good = AppEngine::start_version("a1", 1, "v1").await;
    let bad = AppEngine::start_version("a2", 2, "v2").await;
    bad.script(|s| s.always = Some(Behaviour::ServerError));
    world.list_app(&good, "v1", "z1");
    world.list_app(&bad, "v2", "z1");
    // The version comes with a later bundle and gets half of the traffic.
    let farm = world.bundle.services.get_mut(&id("farm")).unwrap();
    farm.versions.push(hooklug_bundle::VersionEntry {
        version: id("v2"),
        state: hooklug_bundle::VersionState::Sound,
    });
    farm.steps = vec![50];
    world.bundle.version.0 += 1;
    world.gateways[0].wait_ready().await;
    world.publish_bundle();
    world.put_program("p1").await;
    let mut number = 0;
    let harm = loop {
        call(&world, 0, &format!("c{number}"), &alarm()).await;
        number += 1;
        if let Ok(harm) = world.gateways[0].feeds.harm.try_recv() {
            break harm;
        }
        assert!(number < 100_000, "no harm was found");
    };
    assert_eq!((harm.service.as_str(), harm.version.as_str()), ("farm", "v2"));
    assert_eq!(harm.route, Some(id::<RouteName>("alarms")));
    let before = bad.received();
    for number in 0..50 {
        let answer = call(&world, 0, &format!("after{number}"), &alarm()).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(bad.received(), before);
    let statistics = world.gateways[0].node.statistics.take();
    assert!(statistics.iter().any(|s| s.version.as_str() == "v2" && s.failures > 0));
}

#[tokio::test]
async fn the_plain_mode_goes_round_robin_and_retries_blindly() {
    let mut world = World::with(bundle(), GatewayMode::Plain, 1).await;
    let engines = [AppEngine::start("a1", 1).await, AppEngine::start("a2", 2).await];
    engines.iter().for_each(|e| world.list_app(e, "v1", "z1"));
    world.put_program("p1").await;
    for number in 0..10 {
        assert_eq!(call(&world, 0, &format!("c{number}"), &sensor()).await.status, 200);
    }
    assert_eq!((engines[0].received(), engines[1].received()), (5, 5));
    engines.iter().for_each(|e| e.script(|s| s.always = Some(Behaviour::LoseAnswer)));
    assert_eq!(call(&world, 0, "d", &sensor()).await.status, 503);
    assert_eq!(engines.iter().map(AppEngine::received).sum::<u32>(), 13);
    // Also the baseline never repeats what may not be repeated.
    assert_eq!(call(&world, 0, "e", &alarm()).await.code(), "call_unknown");
    assert_eq!(engines.iter().map(|e| e.runs("p1/e")).sum::<u32>(), 1);
}
