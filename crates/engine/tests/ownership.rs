//! Single ownership of sessions: takeover, frozen engines, lost replies, and budgets shared by
//! engines.

mod support;

use std::sync::Arc;

use hooklug_bundle::model::VersionState;
use hooklug_engine::EngineError;
use hooklug_protocol::engine::EngineRefusal;
use hooklug_state::shard::{Event, EventBody, ShardAnswer, ShardQuery, ShardRefusal};
use hooklug_store::StateAccess;
use hooklug_types::{EndReason, FailureCode, ProgramId, Renewal, TokenCount, UnixMillis, shard_of};
use support::model_server::ModelServer;
use support::stalled::StalledState;
use support::*;

fn named(name: &'static str) -> EngineOptions {
    EngineOptions { name, ..EngineOptions::default() }
}

fn tokens_of(events: &[Event]) -> u64 {
    let counts = events.iter().map(|e| match e.body {
        EventBody::Tokens { count, .. } => count.0,
        _ => 0,
    });
    counts.sum()
}

/// The number of the engine's last renewal that the shard has applied.
async fn renewal(world: &World, engine: &RunningEngine) -> Renewal {
    let group = shard_of(engine.engine.engine.as_str());
    let query = ShardQuery::Lease(engine.engine.clone());
    match world.state.query_shard(group, &query, test_deadline()).await.unwrap() {
        ShardAnswer::Lease(Some(lease)) => lease.renewal,
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn a_killed_engines_session_is_taken_over_and_its_turn_ended() {
    let (world, model) = (World::new(), ModelServer::start().await);
    let (first, second) =
        (world.engine(&model, named("e1")).await, world.engine(&model, named("e2")).await);
    let location = world.session(&first, "p1").await;
    let request = run_turn(&location, "t1", None, "gated 9");
    let mut stream = world.stream(&first, &request).await;
    model.let_through("t1", 3);
    let seen = read_events(&mut stream, 4).await;
    let killed = tokio::time::Instant::now();
    first.kill();
    drop(stream);

    let refused = world.take(&second, &location).await.unwrap_err();
    assert!(matches!(refused, EngineRefusal::NotOwner { .. }), "{refused:?}");
    let taken = world.take_when_free(&second, &location).await;
    println!("taken over {:?} after the kill", killed.elapsed());
    assert_eq!(taken.epoch, location.epoch.next());
    // A retry after a lost reply returns the same result.
    assert_eq!(world.take(&second, &location).await.unwrap(), taken);

    let mut resumed = request.clone();
    resumed.location = taken.clone();
    resumed.last_seen = seen[1].seq;
    let rest = world.run(&second, &resumed).await;
    assert!(rest.accepted);
    assert_eq!(rest.events[..2], seen[2..]);
    assert_eq!(rest.end(), Some(&EndReason::Interrupted));
    let mut other = resumed.clone();
    other.max_tokens = TokenCount(7);
    let refused = world.run(&second, &other).await.refusal;
    assert_eq!(refused, Some(EngineRefusal::Shard(ShardRefusal::TurnDiffers)));

    let next = world.run(&second, &run_turn(&taken, "t2", Some("t1"), "say 2")).await;
    assert_eq!(next.end(), Some(&EndReason::Finished));
    let spent = tokens_of(&world.history(&location.key).await);
    let program = ShardQuery::Program(location.key.program.clone());
    let answer =
        world.state.query_shard(group(&location.key), &program, test_deadline()).await.unwrap();
    let ShardAnswer::Program(Some(program)) = answer else { panic!("{answer:?}") };
    assert_eq!((program.spent, program.reserved), (TokenCount(spent), TokenCount(0)));
}

#[tokio::test]
async fn an_engine_resumed_after_takeover_releases_no_events() {
    let (world, model) = (World::new(), ModelServer::start().await);
    let link = StalledState::new(world.state.clone());
    let bundle = bundle(1, &[("v1", VersionState::Sound)]);
    let state: Arc<dyn StateAccess> = Arc::new(link.clone());
    let mut first = world.engine_with(&model, named("e1"), state, bundle).await;
    first.ready().await;
    let second = world.engine(&model, named("e2")).await;
    let location = world.session(&first, "p1").await;
    let request = run_turn(&location, "t1", None, "gated 50");
    let mut stream = world.stream(&first, &request).await;
    model.let_through("t1", 3);
    let mut seen = read_events(&mut stream, 4).await;

    link.stall(true);
    // These lines are generated but not committed before the takeover.
    model.let_through("t1", 5);
    let taken = world.take_when_free(&second, &location).await;
    link.stall(false);
    let late = read_turn(&mut stream).await;
    assert_eq!(late.refusal, Some(EngineRefusal::LeaseLost));
    seen.extend(late.events);
    let ended = tokio::time::timeout(TEST_TIMEOUT, first.ended).await.unwrap().unwrap();
    assert_eq!(ended, Err(EngineError::LeaseExpired(first.engine)));

    let mut resumed = request;
    resumed.location = taken.clone();
    let full = world.run(&second, &resumed).await;
    assert_eq!(full.events[..seen.len()], seen);
    assert_eq!(full.end(), Some(&EndReason::Interrupted));
    // The delayed commands had no effect.
    assert_eq!(world.history(&location.key).await, full.events);
    eventually("the model stopped", async || model.aborted() == ["t1"]).await;
}

#[tokio::test]
async fn a_turn_continues_after_a_late_lease_renewal() {
    let (world, model) = (World::new(), ModelServer::start().await);
    let link = StalledState::new(world.state.clone());
    let bundle = bundle(1, &[("v1", VersionState::Sound)]);
    let state: Arc<dyn StateAccess> = Arc::new(link.clone());
    let mut engine = world.engine_with(&model, named("e1"), state, bundle).await;
    engine.ready().await;
    let location = world.session(&engine, "p1").await;
    let mut stream = world.stream(&engine, &run_turn(&location, "t1", None, "gated 9")).await;
    model.let_through("t1", 3);
    let mut seen = read_events(&mut stream, 4).await;

    // As when a shard loses its leader: two renewals fail, and the third is sent after the lease has
    // run out.
    link.stall(true);
    eventually("a renewal is lost", async || link.stalled_renewals() == 1).await;
    let last = renewal(&world, &engine).await;
    eventually("another one is lost", async || link.stalled_renewals() == 2).await;
    link.delay(std::time::Duration::from_millis(50));
    link.stall(false);
    let third = async || renewal(&world, &engine).await == Renewal(last.0 + 3);
    eventually("the third arrives, after the two that were late", third).await;
    model.let_through("t1", 100);
    let rest = read_turn(&mut stream).await;
    assert_eq!(rest.refusal, None);
    assert_eq!(rest.end(), Some(&EndReason::Finished));
    seen.extend(rest.events);
    assert_eq!(tokens_of(&seen), 9);
    assert_eq!(world.history(&location.key).await, seen);
}

#[tokio::test]
async fn lost_commit_replies_neither_lose_nor_duplicate_events() {
    let (world, model) = (World::new(), ModelServer::start().await);
    let engine = world.engine(&model, named("e1")).await;
    let location = world.session(&engine, "p1").await;
    let mut after: Option<String> = None;
    for round in 0..5_u32 {
        let name = format!("t{round}");
        world.state.drop_replies(group(&location.key), 2 * round);
        let request = run_turn(&location, &name, after.as_deref(), "say 20");
        let ran = world.run(&engine, &request).await;
        assert_eq!(ran.end(), Some(&EndReason::Finished));
        assert_eq!(tokens_of(&ran.events), 20);
        after = Some(name);
    }
    let history = world.history(&location.key).await;
    let seqs: Vec<u64> = history.iter().map(|e| e.seq.0).collect();
    assert_eq!(seqs, (1..=5 * 22).collect::<Vec<u64>>());
}

#[tokio::test]
async fn concurrent_opens_at_two_engines_agree_on_one_owner() {
    let (world, model) = (World::new(), ModelServer::start().await);
    let (first, second) =
        (world.engine(&model, named("e1")).await, world.engine(&model, named("e2")).await);
    world.put_program("p1", 1_000, UnixMillis::now().plus(TEST_TIMEOUT)).await;
    for round in 0..20 {
        let key = key("p1", &format!("s{round}"));
        let (a, b) =
            tokio::join!(world.open(&first, key.clone()), world.open(&second, key.clone()));
        let owner = world.record(&key).await.owner.unwrap();
        let (winner, loser) = if owner == first.engine { (a, b) } else { (b, a) };
        assert_eq!(winner.unwrap().owner, owner);
        let Err(EngineRefusal::NotOwner { record: Some(record) }) = loser else {
            panic!("{loser:?}")
        };
        assert_eq!(record.owner, Some(owner));
    }
}

#[tokio::test]
async fn a_budget_holds_over_sessions_and_engines() {
    let (world, model) = (World::new(), ModelServer::start().await);
    let (first, second) =
        (world.engine(&model, named("e1")).await, world.engine(&model, named("e2")).await);
    world.put_program("p1", 10, UnixMillis::now().plus(TEST_TIMEOUT)).await;
    let one = world.open(&first, key("p1", "s1")).await.unwrap();
    let two = world.open(&second, key("p1", "s2")).await.unwrap();
    let mut first_turn = run_turn(&one, "t1", None, "gated 6");
    first_turn.max_tokens = TokenCount(6);
    let mut stream = world.stream(&first, &first_turn).await;
    read_events(&mut stream, 1).await;

    // Four tokens are left: the request is limited to them, and the turn fails when the model exceeds
    // the limit.
    let over = world.run(&second, &run_turn(&two, "t1", None, "heavy 5")).await;
    assert_eq!(over.end(), Some(&EndReason::Failed { code: FailureCode::BudgetSpent }));
    assert_eq!(tokens_of(&over.events), 0);
    assert_eq!(model.requests()[1].max_tokens, 4);
    let ran = world.run(&second, &run_turn(&two, "t2", Some("t1"), "say 4")).await;
    assert_eq!(tokens_of(&ran.events), 4);
    let held = world.run(&second, &run_turn(&two, "t3", Some("t2"), "say 1")).await.refusal;
    assert_eq!(held, Some(EngineRefusal::Shard(ShardRefusal::BudgetReserved)));

    model.let_through("t1", 100);
    assert_eq!(read_turn(&mut stream).await.end(), Some(&EndReason::Finished));
    let spent = world.run(&second, &run_turn(&two, "t3", Some("t2"), "say 1")).await.refusal;
    assert_eq!(spent, Some(EngineRefusal::Shard(ShardRefusal::BudgetSpent)));
    let program = ShardQuery::Program(ProgramId::new("p1").unwrap());
    let answer = world.state.query_shard(shard_of("p1"), &program, test_deadline()).await.unwrap();
    let ShardAnswer::Program(Some(program)) = answer else { panic!("{answer:?}") };
    assert_eq!((program.spent, program.reserved), (TokenCount(10), TokenCount(0)));
}

#[tokio::test]
async fn a_programs_end_and_a_turns_deadline_end_its_turn() {
    let (world, model) = (World::new(), ModelServer::start().await);
    let engine = world.engine(&model, named("e1")).await;
    let location = world.session(&engine, "p1").await;
    let mut hurried = run_turn(&location, "t1", None, "gated 5");
    hurried.deadline_ms = 200;
    let ran = world.run(&engine, &hurried).await;
    assert_eq!(ran.end(), Some(&EndReason::Failed { code: FailureCode::DeadlineExceeded }));

    let end = UnixMillis::now().plus(std::time::Duration::from_millis(400));
    world.put_program("p2", 1_000, end).await;
    let location = world.open(&engine, key("p2", "s1")).await.unwrap();
    let ran = world.run(&engine, &run_turn(&location, "t1", None, "gated 5")).await;
    assert_eq!(ran.end(), Some(&EndReason::Failed { code: FailureCode::ProgramEnded }));
    let late = world.run(&engine, &run_turn(&location, "t2", Some("t1"), "say 1")).await;
    assert_eq!(late.refusal, Some(EngineRefusal::Shard(ShardRefusal::ProgramEnded)));
    eventually("the model stopped", async || model.aborted().len() == 2).await;
}
