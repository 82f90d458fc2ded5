//! Slow clients block neither the session loop nor other clients; they are disconnected and can
//! resume.

mod support;

use std::sync::Arc;
use std::time::Duration;

use hooklug_control::NodeHandle;
use hooklug_engine::lease::LeaseKeeper;
use hooklug_engine::loader;
use hooklug_engine::model::{ModelClient, ModelProbe};
use hooklug_engine::session_task::{self, CLIENT_QUEUE_ITEMS, loop_now};
use hooklug_engine::shared::{Shared, SharedParts};
use hooklug_protocol::engine::JoinItem;
use hooklug_session::{ClientItem, Message, Session, TurnRequest};
use hooklug_settings::EngineSettings;
use hooklug_state::shard::{Event, OpenSession, ShardCommand, ShardReply};
use hooklug_store::StateAccess;
use hooklug_types::{
    Digest, EndReason, EngineIncarnation, EventSeq, Incarnation, TokenCount, UnixMillis,
};
use support::model_server::ModelServer;
use support::*;
use tokio_util::sync::CancellationToken;

const LINES: u64 = 4_000;

fn long_turn() -> TurnRequest {
    TurnRequest {
        turn: turn("t1"),
        after: None,
        input: format!("say {LINES}"),
        max_tokens: TokenCount(LINES),
        digest: Digest::of(b"t1"),
        tenant: "dalatek".parse().unwrap(),
        group: None,
        urgent: false,
        deadline: loop_now() + TEST_TIMEOUT,
    }
}

/// Builds the components of an engine without its RPC server, so that nothing but the test reads a
/// client's queue.
async fn start_shared(world: &World, model: &ModelServer) -> Arc<Shared> {
    let engine = EngineIncarnation { engine: "e1".parse().unwrap(), incarnation: Incarnation(1) };
    let state: Arc<dyn StateAccess> = Arc::new(world.state.clone());
    let keeper = LeaseKeeper::new(state.clone(), engine.clone());
    let client = Arc::new(ModelClient::new(model.address, service()));
    let probe = ModelProbe::new(client.clone());
    let shared = Arc::new(Shared::new(SharedParts {
        settings: EngineSettings {
            id: engine.engine.clone(),
            service: service(),
            version: version("v1"),
            model_server: model.address,
            slots: 4,
            drain_bound_ms: 1_000,
            unconnected_keep_ms: 600_000,
        },
        engine,
        state,
        node: NodeHandle::new().0,
        lease: keeper.view(),
        model: client,
        model_health: probe.watch(),
    }));
    tokio::spawn(keeper.run(CancellationToken::new(), || ()));
    tokio::spawn(probe.run(CancellationToken::new()));
    let ready = async || shared.lease.is_held() && shared.model_health.borrow().is_ready();
    eventually("lease and model server", ready).await;
    shared
}

async fn start_session(world: &World, shared: &Arc<Shared>) -> session_task::Mailbox {
    world.put_program("p1", 1_000_000, UnixMillis::now().plus(Duration::from_secs(600))).await;
    let open = ShardCommand::OpenSession(OpenSession {
        key: key("p1", "s1"),
        owner: shared.engine.clone(),
        service: service(),
        version: version("v1"),
        prefix: None,
    });
    let reply =
        shared.state.execute_shard(group(&key("p1", "s1")), &open, test_deadline()).await.unwrap();
    let ShardReply::Session(record) = reply else { panic!("{reply:?}") };
    let epoch = record.epoch;
    let loaded = loader::load(shared.state.as_ref(), record, test_deadline()).await.unwrap();
    session_task::start(shared, Session::new(loaded, shared.session_config(), loop_now()), epoch)
}

fn assert_consecutive(events: &[Event], from: u64) {
    let seqs: Vec<u64> = events.iter().map(|e| e.seq.0).collect();
    assert_eq!(seqs, (from..from + events.len() as u64).collect::<Vec<_>>());
}

#[tokio::test]
async fn a_client_with_a_full_queue_is_disconnected_without_delaying_others() {
    let (world, model) = (World::new(), ModelServer::start().await);
    let shared = start_shared(&world, &model).await;
    let mailbox = start_session(&world, &shared).await;
    let slow_client = shared.new_client();
    let joined = Message::Join { client: slow_client, last_seen: None };
    let mut slow = mailbox.connect(slow_client, joined).unwrap();
    let client = shared.new_client();
    let run = Message::RunTurn { client, request: long_turn(), last_seen: EventSeq(0) };
    let mut fast = mailbox.connect(client, run).unwrap();

    let mut events = Vec::new();
    while let Some(item) = tokio::time::timeout(TEST_TIMEOUT, fast.recv()).await.unwrap() {
        if let ClientItem::Events(more) = item {
            events.extend(more);
        }
    }
    assert_consecutive(&events, 1);
    assert_eq!(events.len() as u64, LINES + 2);

    let mut items = 0;
    let mut received = Vec::new();
    while let Some(item) = tokio::time::timeout(TEST_TIMEOUT, slow.recv()).await.unwrap() {
        items += 1;
        if let ClientItem::Events(more) = item {
            received.extend(more);
        }
    }
    assert_eq!(items, CLIENT_QUEUE_ITEMS, "disconnected with a full queue");
    assert_consecutive(&received, 1);

    let client = shared.new_client();
    let last_seen = received.last().map(|e| e.seq);
    let mut resumed = mailbox.connect(client, Message::Join { client, last_seen }).unwrap();
    let Some(ClientItem::Events(rest)) = resumed.recv().await else {
        panic!("no events on resume")
    };
    received.extend(rest);
    assert_eq!(received, events);
}

#[tokio::test]
async fn a_stalled_reader_resumes_after_its_last_event() {
    let (world, model) = (World::new(), ModelServer::start().await);
    let engine = world.engine(&model, EngineOptions::default()).await;
    let location = world.session(&engine, "p1").await;
    let mut slow = world.stream(&engine, &join(&location, Some(0))).await;
    let mut request = run_turn(&location, "t1", None, &format!("say {LINES}"));
    request.max_tokens = TokenCount(LINES);
    let ran = world.run(&engine, &request).await;
    assert_eq!(ran.end(), Some(&EndReason::Finished));
    assert_consecutive(&ran.events, 1);

    let mut seen = Vec::new();
    while seen.len() < ran.events.len() {
        match next_join(&mut slow).await {
            Some(JoinItem::Event(event)) => seen.push(event),
            Some(other) => panic!("{other:?}"),
            None => slow = world.stream(&engine, &join(&location, Some(seen.len() as u64))).await,
        }
    }
    assert_eq!(seen, ran.events);
}
