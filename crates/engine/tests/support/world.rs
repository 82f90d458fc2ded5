//! Engines on shared in-memory state, with the requests of a gateway.

use std::sync::Arc;
use std::time::Duration;

use hooklug_bundle::Bundle;
use hooklug_bundle::model::VersionState;
use hooklug_control::{NodeContext, NodeHandle};
use hooklug_engine::Engine;
use hooklug_protocol::engine::{
    CloseSession, EngineRefusal, EngineReply, OpenSession, RunTurn, TakeSession,
};
use hooklug_protocol::{Request, StreamRequest};
use hooklug_rpc::{ItemStream, RpcClient, RpcServer};
use hooklug_state::shard::{
    Event, PutProgram, SessionRecord, ShardAnswer, ShardCommand, ShardQuery, ShardReply,
};
use hooklug_store::{MemoryState, StateAccess};
use hooklug_types::{
    EventSeq, NodeRole, ProgramId, SessionKey, SessionLocation, TenantId, TokenCount, UnixMillis,
    shard_of,
};
use tokio_util::sync::CancellationToken;

use super::model_server::ModelServer;
use super::running::{identity, settings};
use super::{
    EngineOptions, RunningEngine, TEST_TIMEOUT, TurnOutcome, bundle, group, installed, key,
    location, read_turn, service, test_deadline,
};

/// In-memory state and the RPC client of a gateway.
#[derive(Clone)]
pub struct World {
    pub state: MemoryState,
    pub client: RpcClient,
}

impl World {
    pub fn new() -> Self {
        Self::with_state(MemoryState::default())
    }

    pub fn with_state(state: MemoryState) -> Self {
        let gateway = identity("127.0.0.1:2".parse().unwrap(), 1, NodeRole::Gateway);
        Self { state, client: RpcClient::new(gateway) }
    }

    /// Starts an engine that uses a model server and waits until it is ready.
    pub async fn engine(&self, model: &ModelServer, options: EngineOptions) -> RunningEngine {
        let bundle = bundle(1, &[(options.version, VersionState::Sound)]);
        let state: Arc<dyn StateAccess> = Arc::new(self.state.clone());
        let mut running = self.engine_with(model, options, state, bundle).await;
        running.ready().await;
        running
    }

    pub async fn engine_with(
        &self,
        model: &ModelServer,
        options: EngineOptions,
        state: Arc<dyn StateAccess>,
        bundle: Bundle,
    ) -> RunningEngine {
        let listener = RpcServer::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let address = listener.local_addr().unwrap();
        let identity = identity(address, rand::random::<u64>() >> 1, NodeRole::Engine);
        let (node, channels) = NodeHandle::new();
        channels.bundle.send_replace(installed(bundle));
        let stop = CancellationToken::new();
        let context = NodeContext {
            settings: Arc::new(settings(&options, address, model.address)),
            identity: identity.clone(),
            client: RpcClient::new(identity.clone()),
            state,
            node: node.clone(),
            stop: stop.clone(),
        };
        let engine = Engine::new(context).unwrap();
        let incarnation = engine.incarnation().clone();
        let serving = CancellationToken::new();
        let server = RpcServer::new(listener, identity, engine.rpc_router());
        tokio::spawn(server.run(serving.clone()));
        let ended = tokio::spawn(engine.run());
        RunningEngine { engine: incarnation, address, channels, node, stop, serving, ended }
    }

    pub async fn put_program(&self, program: &str, budget: u64, end_time: UnixMillis) {
        let command = ShardCommand::PutProgram(PutProgram {
            program: ProgramId::new(program).unwrap(),
            tenant: TenantId::new("dalatek").unwrap(),
            group: None,
            token_budget: TokenCount(budget),
            end_time,
        });
        let reply =
            self.state.execute_shard(shard_of(program), &command, test_deadline()).await.unwrap();
        assert!(matches!(reply, ShardReply::Program(_)), "{reply:?}");
    }

    /// Creates a program with a large budget and a late end time, and opens a session of it.
    pub async fn session(&self, engine: &RunningEngine, program: &str) -> SessionLocation {
        let end = UnixMillis::now().plus(Duration::from_secs(3_600));
        self.put_program(program, 1_000_000, end).await;
        self.open(engine, key(program, "s1")).await.unwrap()
    }

    pub async fn open(
        &self,
        engine: &RunningEngine,
        key: SessionKey,
    ) -> Result<SessionLocation, EngineRefusal> {
        let request = OpenSession {
            key,
            engine: engine.engine.clone(),
            service: service(),
            prefix: Some("greenhouse-v3".parse().unwrap()),
        };
        self.call(engine, &request).await.map(|record| location(&record))
    }

    pub async fn take(
        &self,
        engine: &RunningEngine,
        from: &SessionLocation,
    ) -> Result<SessionLocation, EngineRefusal> {
        let request = TakeSession {
            key: from.key.clone(),
            engine: engine.engine.clone(),
            expected_epoch: from.epoch,
        };
        self.call(engine, &request).await.map(|record| location(&record))
    }

    /// Takes a session over as soon as its previous owner's lease has expired.
    pub async fn take_when_free(
        &self,
        engine: &RunningEngine,
        from: &SessionLocation,
    ) -> SessionLocation {
        let taking = async {
            loop {
                match self.take(engine, from).await {
                    Ok(location) => return location,
                    Err(EngineRefusal::NotOwner { .. }) => {
                        tokio::time::sleep(Duration::from_millis(50)).await;
                    }
                    Err(other) => panic!("{other:?}"),
                }
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, taking).await.expect("taken over in time")
    }

    pub async fn call<R, T>(&self, engine: &RunningEngine, request: &R) -> Result<T, EngineRefusal>
    where
        R: Request<Reply = EngineReply<T>>,
        T: serde::Serialize + serde::de::DeserializeOwned + Send + 'static,
    {
        self.client.call(engine.address, request, test_deadline()).await.unwrap().result
    }

    pub async fn stream<R: StreamRequest>(
        &self,
        engine: &RunningEngine,
        request: &R,
    ) -> ItemStream<R::Item> {
        self.client.open(engine.address, request, test_deadline()).await.unwrap()
    }

    pub async fn close(
        &self,
        engine: &RunningEngine,
        location: &SessionLocation,
    ) -> Result<SessionRecord, EngineRefusal> {
        let deadline = UnixMillis::now().plus(TEST_TIMEOUT);
        self.call(engine, &CloseSession { location: location.clone(), deadline }).await
    }

    /// Runs a turn to the end of its stream.
    pub async fn run(&self, engine: &RunningEngine, request: &RunTurn) -> TurnOutcome {
        let mut stream = self.stream(engine, request).await;
        read_turn(&mut stream).await
    }

    pub async fn history(&self, key: &SessionKey) -> Vec<Event> {
        let query = ShardQuery::Events { key: key.clone(), after: EventSeq(0), limit: 100_000 };
        match self.state.query_shard(group(key), &query, test_deadline()).await.unwrap() {
            ShardAnswer::Events { events, more: false } => events,
            other => panic!("{other:?}"),
        }
    }

    pub async fn record(&self, key: &SessionKey) -> SessionRecord {
        let query = ShardQuery::Session(key.clone());
        match self.state.query_shard(group(key), &query, test_deadline()).await.unwrap() {
            ShardAnswer::Session(Some(record)) => record,
            other => panic!("{other:?}"),
        }
    }
}
