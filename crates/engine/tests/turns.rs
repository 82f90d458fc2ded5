//! Turns end to end: RPC client, engine, model server and replicated state.

mod support;

use hooklug_protocol::engine::{AbortTurn, EngineRefusal, JoinItem, ToolResult, TurnItem};
use hooklug_state::shard::{EventBody, ShardRefusal, TurnState};
use hooklug_types::{EndReason, EventSeq, FailureCode, SessionEpoch};
use support::model_server::ModelServer;
use support::*;

fn assert_consecutive(events: &[hooklug_state::shard::Event], first: u64) {
    let seqs: Vec<u64> = events.iter().map(|e| e.seq.0).collect();
    let expected: Vec<u64> = (first..first + events.len() as u64).collect();
    assert_eq!(seqs, expected, "{events:?}");
}

#[tokio::test]
async fn a_turn_streams_and_the_next_gets_the_history() {
    let (world, model) = (World::new(), ModelServer::start().await);
    let engine = world.engine(&model, EngineOptions::default()).await;
    let location = world.session(&engine, "p1").await;

    let first = world.run(&engine, &run_turn(&location, "t1", None, "say 3")).await;
    assert!(first.accepted);
    assert_eq!(first.text(), "w1 w2 w3 ");
    assert_eq!(first.end(), Some(&EndReason::Finished));
    assert_consecutive(&first.events, 1);

    let second = world.run(&engine, &run_turn(&location, "t2", Some("t1"), "say 2")).await;
    assert_eq!(second.end(), Some(&EndReason::Finished));
    assert_consecutive(&second.events, 6);

    let requests = model.requests();
    assert_eq!(requests[1].context.as_array().unwrap().len(), 2);
    assert_eq!(requests[1].context[0]["text"], "say 3");
    assert_eq!(requests[1].context[1]["text"], "w1 w2 w3 ");
    let mut both = first.events;
    both.extend(second.events);
    assert_eq!(world.history(&location.key).await, both);
}

#[tokio::test]
async fn a_resend_attaches_and_a_resume_gets_only_what_it_missed() {
    let (world, model) = (World::new(), ModelServer::start().await);
    let engine = world.engine(&model, EngineOptions::default()).await;
    let location = world.session(&engine, "p1").await;
    let request = run_turn(&location, "t1", None, "gated 4");

    let mut first = world.stream(&engine, &request).await;
    model.let_through("t1", 2);
    let seen = read_events(&mut first, 3).await;
    drop(first);
    let mut resend = world.stream(&engine, &request).await;
    let mut resumed = request.clone();
    resumed.last_seen = seen[2].seq;
    let mut resume = world.stream(&engine, &resumed).await;
    // Both streams are attached before the remaining lines are generated.
    assert!(matches!(next_item(&mut resend).await, Some(TurnItem::Accepted { .. })));
    assert!(matches!(next_item(&mut resume).await, Some(TurnItem::Accepted { .. })));
    model.let_through("t1", 3);

    let full = read_turn(&mut resend).await;
    assert_consecutive(&full.events, 1);
    assert_eq!(full.text(), "w1 w2 w3 w4 ");
    let rest = read_turn(&mut resume).await;
    assert_eq!(rest.text(), "w3 w4 ");
    assert_consecutive(&rest.events, 4);
    assert_eq!(model.requests().len(), 1);

    // The turn has ended: a new connection gets it from the history.
    let again = world.run(&engine, &request).await;
    assert_eq!(again.events, full.events);
    assert_eq!(model.requests().len(), 1);
}

#[tokio::test]
async fn other_content_under_the_same_id_is_refused() {
    let (world, model) = (World::new(), ModelServer::start().await);
    let engine = world.engine(&model, EngineOptions::default()).await;
    let location = world.session(&engine, "p1").await;
    world.run(&engine, &run_turn(&location, "t1", None, "say 1")).await;
    let other = world.run(&engine, &run_turn(&location, "t1", None, "say 2")).await;
    assert_eq!(other.refusal, Some(EngineRefusal::Shard(ShardRefusal::TurnDiffers)));
    let unrelated = world.run(&engine, &run_turn(&location, "t3", Some("t2"), "say 2")).await;
    let refusal = ShardRefusal::NotHead { head: Some(turn("t1")), after_known: false };
    assert_eq!(unrelated.refusal, Some(EngineRefusal::Shard(refusal)));
}

#[tokio::test]
async fn joined_clients_get_one_sync_then_the_common_stream() {
    let (world, model) = (World::new(), ModelServer::start().await);
    let engine = world.engine(&model, EngineOptions::default()).await;
    let location = world.session(&engine, "p1").await;
    world.run(&engine, &run_turn(&location, "t1", None, "say 1")).await;

    let mut joined = world.stream(&engine, &join(&location, None)).await;
    let Some(JoinItem::Sync { history, record }) = next_join(&mut joined).await else {
        panic!("the first item is not a sync")
    };
    assert_eq!(history, world.history(&location.key).await);
    assert_eq!(record.next_seq.0, history.len() as u64 + 1);
    let mut resumed = world.stream(&engine, &join(&location, Some(1))).await;

    world.run(&engine, &run_turn(&location, "t2", Some("t1"), "say 2")).await;
    let closed = world.close(&engine, &location).await.unwrap();
    assert!(closed.closed);
    let all = world.history(&location.key).await;
    let mut followed = history;
    while let Some(JoinItem::Event(event)) = next_join(&mut joined).await {
        followed.push(event);
    }
    assert_eq!(followed, all);
    assert_eq!(all.last().map(|e| &e.body), Some(&EventBody::Closed));
    let mut rest = Vec::new();
    while let Some(JoinItem::Event(event)) = next_join(&mut resumed).await {
        rest.push(event);
    }
    assert_eq!(rest, all[1..]);
    // Closing again succeeds.
    assert!(world.close(&engine, &location).await.unwrap().closed);
}

#[tokio::test]
async fn an_abort_stops_the_model_and_ends_the_turn() {
    let (world, model) = (World::new(), ModelServer::start().await);
    let engine = world.engine(&model, EngineOptions::default()).await;
    let location = world.session(&engine, "p1").await;
    let mut stream = world.stream(&engine, &run_turn(&location, "t1", None, "gated 9")).await;
    model.let_through("t1", 2);
    read_events(&mut stream, 3).await;
    let abort = AbortTurn { location: location.clone(), turn: turn("t1") };
    let record = world.call(&engine, &abort).await.unwrap();
    assert!(matches!(record.state, TurnState::Ended { reason: EndReason::Aborted, .. }));
    let rest = read_turn(&mut stream).await;
    assert_eq!(rest.end(), Some(&EndReason::Aborted));
    eventually("the model server sees the abort", async || model.aborted() == ["t1"]).await;
    // A retry returns the same record.
    assert_eq!(world.call(&engine, &abort).await.unwrap(), record);
    let unknown = AbortTurn { location: location.clone(), turn: turn("t9") };
    let refusal = world.call(&engine, &unknown).await.unwrap_err();
    assert_eq!(refusal, EngineRefusal::Shard(ShardRefusal::NoOpenTurn));
}

#[tokio::test]
async fn a_tool_result_is_recorded_once() {
    let (world, model) = (World::new(), ModelServer::start().await);
    let engine = world.engine(&model, EngineOptions::default()).await;
    let location = world.session(&engine, "p1").await;
    let first = world.run(&engine, &run_turn(&location, "t1", None, "tool 1")).await;
    assert!(first.events.iter().any(|e| matches!(&e.body,
        EventBody::ToolRequested { tool, arguments } if tool == "read_sensor" && arguments == r#"{"house":4}"#)));
    let result =
        ToolResult { location: location.clone(), call: "c1".to_owned(), result: "21".to_owned() };
    let seq = world.call(&engine, &result).await.unwrap();
    assert_eq!(world.call(&engine, &result).await.unwrap(), seq);
    let results = world.history(&location.key).await;
    let results = results.iter().filter(|e| matches!(e.body, EventBody::ToolResult { .. }));
    assert_eq!(results.map(|e| e.seq).collect::<Vec<_>>(), [seq]);
}

#[tokio::test]
async fn only_a_complete_response_of_the_expected_server_finishes_a_turn() {
    let (world, model) = (World::new(), ModelServer::start().await);
    let engine = world.engine(&model, EngineOptions::default()).await;
    let location = world.session(&engine, "p1").await;
    let failed = |code| EndReason::Failed { code };
    let cases = [
        ("cut 2", EndReason::Interrupted, "w1 w2 "),
        ("broken 2", EndReason::Interrupted, "w1 w2 "),
        ("crossed 2", EndReason::Interrupted, "w1 w2 "),
        ("gap 2", EndReason::Interrupted, "w1 w2 "),
        ("repeated 2", EndReason::Interrupted, "w1 w2 "),
        ("miscounted 2", EndReason::Interrupted, "w1 w2 "),
        ("after-end 2", EndReason::Interrupted, "w1 w2 "),
        ("not-json 2", EndReason::Interrupted, "w1 w2 "),
        ("not-echoed 2", EndReason::Interrupted, ""),
        ("another 2", EndReason::Interrupted, ""),
        ("error 1", failed(FailureCode::BackendError), "w1 "),
        ("fail", failed(FailureCode::BackendError), ""),
        ("refuse", failed(FailureCode::Refused), ""),
        ("say 2", EndReason::Finished, "w1 w2 "),
    ];
    let mut after: Option<String> = None;
    for (number, (input, reason, text)) in cases.iter().enumerate() {
        let name = format!("t{number}");
        let ran = world.run(&engine, &run_turn(&location, &name, after.as_deref(), input)).await;
        assert_eq!((ran.end(), ran.text().as_str()), (Some(reason), *text), "{input}");
        after = Some(name);
    }
}

#[tokio::test]
async fn a_wrong_incarnation_is_refused_but_an_older_epoch_is_served() {
    let (world, model) = (World::new(), ModelServer::start().await);
    let engine = world.engine(&model, EngineOptions::default()).await;
    let location = world.session(&engine, "p1").await;
    let mut former = location.clone();
    former.owner.incarnation.0 += 1;
    let refused = world.run(&engine, &run_turn(&former, "t1", None, "say 1")).await;
    let running = engine.engine.clone();
    assert_eq!(refused.refusal, Some(EngineRefusal::WrongIncarnation { running }));
    // A gateway with an earlier epoch is served, because this engine is the owner.
    let mut earlier = location.clone();
    earlier.epoch = SessionEpoch(0);
    let ran = world.run(&engine, &run_turn(&earlier, "t1", None, "say 1")).await;
    assert_eq!(ran.end(), Some(&EndReason::Finished));
    assert_eq!(ran.events[0].seq, EventSeq(1));
}
