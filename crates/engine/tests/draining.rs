//! When sessions leave an engine: drain, stop, rollback, unready model server, no clients.

mod support;

use std::time::Duration;

use hooklug_bundle::model::VersionState;
use hooklug_protocol::engine::{EngineRefusal, JoinItem};
use hooklug_types::EndReason;
use support::model_server::ModelServer;
use support::*;

const SUPERSEDED: [(&str, VersionState); 2] =
    [("v1", VersionState::Sound), ("v2", VersionState::Sound)];

fn named(name: &'static str, version: &'static str) -> EngineOptions {
    EngineOptions { name, version, ..EngineOptions::default() }
}

async fn assert_ended(engine: RunningEngine) {
    let ended = tokio::time::timeout(TEST_TIMEOUT, engine.ended).await.expect("ends in time");
    assert_eq!(ended.unwrap(), Ok(()));
}

#[tokio::test]
async fn a_superseded_engine_keeps_its_sessions_and_exits_after_the_last() {
    let (world, model) = (World::new(), ModelServer::start().await);
    let engine = world.engine(&model, named("e1", "v1")).await;
    let location = world.session(&engine, "p1").await;
    world.run(&engine, &run_turn(&location, "t1", None, "say 1")).await;
    engine.install(bundle(2, &SUPERSEDED));
    let mut report = engine.channels.report.clone();
    let draining = report.wait_for(|r| r.engine.as_ref().is_some_and(|e| e.draining));
    tokio::time::timeout(TEST_TIMEOUT, draining).await.unwrap().unwrap();

    let refused = world.open(&engine, key("p1", "s2")).await.unwrap_err();
    assert_eq!(refused, EngineRefusal::Draining);
    let second_turn = world.run(&engine, &run_turn(&location, "t2", Some("t1"), "say 2")).await;
    assert_eq!(second_turn.end(), Some(&EndReason::Finished));
    assert!(!engine.ended.is_finished());
    world.close(&engine, &location).await.unwrap();
    assert_ended(engine).await;
}

#[tokio::test]
async fn at_the_drain_bound_sessions_are_handed_over_between_turns() {
    let (world, model) = (World::new(), ModelServer::start().await);
    let options = EngineOptions { drain_bound_ms: 1, ..named("e1", "v1") };
    let engine = world.engine(&model, options).await;
    let idle = world.session(&engine, "p1").await;
    let busy = world.session(&engine, "p2").await;
    let mut stream = world.stream(&engine, &run_turn(&busy, "t1", None, "gated 3")).await;
    read_events(&mut stream, 1).await;

    engine.install(bundle(2, &SUPERSEDED));
    eventually("idle session handed over", async || world.record(&idle.key).await.owner.is_none())
        .await;
    assert_eq!(world.record(&busy.key).await.owner, Some(engine.engine.clone()));
    model.let_through("t1", 10);
    assert_eq!(read_turn(&mut stream).await.end(), Some(&EndReason::Finished));
    eventually("busy session handed over", async || world.record(&busy.key).await.owner.is_none())
        .await;
    assert_ended(engine).await;
}

#[tokio::test]
async fn a_superseded_engine_accepts_sessions_after_a_rollback() {
    let (world, model) = (World::new(), ModelServer::start().await);
    let engine = world.engine(&model, named("e1", "v1")).await;
    let location = world.session(&engine, "p1").await;
    engine.install(bundle(2, &SUPERSEDED));
    let refusing =
        async || world.open(&engine, key("p1", "s2")).await == Err(EngineRefusal::Draining);
    eventually("draining", refusing).await;
    engine.install(bundle(3, &[("v1", VersionState::Sound), ("v2", VersionState::RolledBack)]));
    eventually("accepts sessions again", async || {
        world.open(&engine, key("p1", "s2")).await.is_ok()
    })
    .await;
    assert_eq!(world.record(&location.key).await.owner, Some(engine.engine.clone()));
}

#[tokio::test]
async fn a_rolled_back_engine_hands_over_its_sessions_between_turns() {
    let (world, model) = (World::new(), ModelServer::start().await);
    let (old, new) = (
        world.engine(&model, named("e1", "v1")).await,
        world.engine(&model, named("e2", "v2")).await,
    );
    let idle = world.session(&new, "p1").await;
    let busy = world.session(&new, "p2").await;
    let mut stream = world.stream(&new, &run_turn(&busy, "t1", None, "gated 3")).await;
    read_events(&mut stream, 1).await;
    let mut joined = world.stream(&new, &join(&idle, None)).await;
    assert!(matches!(next_join(&mut joined).await, Some(JoinItem::Sync { .. })));

    new.install(bundle(3, &[("v1", VersionState::Sound), ("v2", VersionState::RolledBack)]));
    let refused = next_join(&mut joined).await;
    assert_eq!(refused, Some(JoinItem::Refused(EngineRefusal::HandedOver)));
    assert_eq!(world.record(&idle.key).await.owner, None);
    assert_eq!(world.record(&busy.key).await.owner, Some(new.engine.clone()));
    model.let_through("t1", 10);
    assert_eq!(read_turn(&mut stream).await.end(), Some(&EndReason::Finished));
    eventually("session handed over", async || world.record(&busy.key).await.owner.is_none()).await;

    let record = world.record(&busy.key).await;
    let taken =
        world.take(&old, &hooklug_types::SessionLocation { epoch: record.epoch, ..busy }).await;
    let taken = taken.unwrap();
    let next = world.run(&old, &run_turn(&taken, "t2", Some("t1"), "say 1")).await;
    assert_eq!(next.end(), Some(&EndReason::Finished));
    assert_ended(new).await;
}

#[tokio::test]
async fn a_stopping_engine_hands_over_sessions_and_grants_turns_a_grace_period() {
    let (world, model) = (World::new(), ModelServer::start().await);
    let options = EngineOptions { grace_ms: 2_000, ..named("e1", "v1") };
    let engine = world.engine(&model, options).await;
    let idle = world.session(&engine, "p1").await;
    let short_session = world.session(&engine, "p2").await;
    let long_session = world.session(&engine, "p3").await;
    let mut long = world.stream(&engine, &run_turn(&long_session, "long", None, "gated 100")).await;
    read_events(&mut long, 1).await;
    let mut short =
        world.stream(&engine, &run_turn(&short_session, "short", None, "gated 2")).await;
    read_events(&mut short, 1).await;

    engine.stop.cancel();
    eventually("idle session handed over", async || world.record(&idle.key).await.owner.is_none())
        .await;
    assert!(engine.node.readiness.reasons().contains_key("engine"));
    let refused = world.open(&engine, key("p1", "s2")).await.unwrap_err();
    assert_eq!(refused, EngineRefusal::Draining);
    // Both turns continue during the grace period.
    model.let_through("long", 20);
    model.let_through("short", 20);
    assert_eq!(read_turn(&mut short).await.end(), Some(&EndReason::Finished));
    let interrupted = read_turn(&mut long).await;
    assert_eq!(interrupted.end(), Some(&EndReason::Interrupted));
    assert_ended(engine).await;
    for key in [&idle.key, &short_session.key, &long_session.key] {
        let record = world.record(key).await;
        assert_eq!((record.owner, record.open_turn), (None, None));
    }
}

#[tokio::test]
async fn a_session_without_clients_is_closed() {
    let (world, model) = (World::new(), ModelServer::start().await);
    let options = EngineOptions { unconnected_keep_ms: 300, ..named("e1", "v1") };
    let engine = world.engine(&model, options).await;
    let unconnected = world.session(&engine, "p1").await;
    let joined = world.session(&engine, "p2").await;
    let mut stream = world.stream(&engine, &join(&joined, None)).await;
    next_join(&mut stream).await;
    eventually("closed", async || world.record(&unconnected.key).await.closed).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert!(!world.record(&joined.key).await.closed);
    drop(stream);
    eventually("closed", async || world.record(&joined.key).await.closed).await;
}

#[tokio::test]
async fn an_engine_with_an_unready_model_server_hands_over_idle_sessions() {
    let (world, model) = (World::new(), ModelServer::start().await);
    let engine = world.engine(&model, named("e1", "v1")).await;
    let location = world.session(&engine, "p1").await;
    model.set_ready(false);
    let unready = async || engine.node.readiness.reasons().contains_key("engine");
    eventually("unready", unready).await;
    let refused = world.open(&engine, key("p1", "s2")).await.unwrap_err();
    assert!(matches!(refused, EngineRefusal::NotReady { .. }), "{refused:?}");
    eventually("session handed over", async || world.record(&location.key).await.owner.is_none())
        .await;
    model.set_ready(true);
    eventually("accepts sessions again", async || {
        world.open(&engine, key("p1", "s2")).await.is_ok()
    })
    .await;
}

#[tokio::test]
async fn a_model_server_of_another_service_receives_no_request() {
    let (world, model) = (World::new(), ModelServer::start().await);
    let engine = world.engine(&model, named("e1", "v1")).await;
    let location = world.session(&engine, "p1").await;
    model.set_identity("service", "another".into());
    model.set_identity("incarnation", 8.into());
    let ran = world.run(&engine, &run_turn(&location, "t1", None, "say 1")).await;
    assert!(matches!(ran.end(), Some(EndReason::Failed { .. })), "{ran:?}");
    assert!(model.requests().is_empty());
}

#[tokio::test]
async fn an_engine_of_an_unreleased_version_refuses_sessions_until_released() {
    let (world, model) = (World::new(), ModelServer::start().await);
    let state = std::sync::Arc::new(world.state.clone());
    let released = bundle(1, &[("v1", VersionState::Sound)]);
    let engine = world.engine_with(&model, named("e2", "v2"), state, released).await;
    world.put_program("p1", 10, hooklug_types::UnixMillis::now().plus(TEST_TIMEOUT)).await;
    let refused = world.open(&engine, key("p1", "s1")).await.unwrap_err();
    assert!(matches!(refused, EngineRefusal::NotReady { .. }), "{refused:?}");
    assert!(!engine.ended.is_finished());
    engine.install(bundle(2, &SUPERSEDED));
    eventually("accepts sessions", async || world.open(&engine, key("p1", "s1")).await.is_ok())
        .await;
}
