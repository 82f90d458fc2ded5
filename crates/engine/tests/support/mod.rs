//! Engines, their model servers and shared state in one process.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod model_server;
pub mod stalled;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hooklug_bundle::Bundle;
use hooklug_bundle::model::{Service, ServiceKind, VersionEntry, VersionState};
use hooklug_control::{InstalledBundle, NodeContext, NodeFeeds, NodeHandle};
use hooklug_engine::{Engine, EngineError};
use hooklug_protocol::control::NodeAddress;
use hooklug_protocol::engine::{
    CloseSession, EngineRefusal, EngineReply, Join, JoinItem, OpenSession, RunTurn, TakeSession,
    TurnItem,
};
use hooklug_protocol::{Request, StreamRequest};
use hooklug_rpc::{ItemStream, LocalIdentity, RpcClient, RpcServer};
use hooklug_settings::{
    CoreSettings, EngineSettings, GatewaySettings, OperatorSettings, Secret, Settings,
    StoreSettings,
};
use hooklug_state::meta::{BundleOrigin, BundleRecord};
use hooklug_state::shard::{
    Event, EventBody, PutProgram, SessionRecord, ShardAnswer, ShardCommand, ShardQuery, ShardReply,
};
use hooklug_store::MemoryState;
use hooklug_store::StateAccess;
use hooklug_types::{
    BundleVersion, Digest, EngineIncarnation, EventSeq, GroupId, Incarnation, NodeId, NodeRole,
    ProgramId, ServiceName, ServiceVersion, SessionId, SessionKey, SessionPlace, TenantId,
    TokenCount, TurnId, UnixMillis, shard_of,
};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use model_server::ModelServer;

const SECRET: &str = "a secret of the test cluster";

/// Far enough that a passing test never meets it.
pub const PATIENCE: Duration = Duration::from_secs(30);

pub fn service() -> ServiceName {
    ServiceName::new("advisor").unwrap()
}

pub fn version(name: &str) -> ServiceVersion {
    ServiceVersion::new(name).unwrap()
}

pub fn turn(name: &str) -> TurnId {
    TurnId::new(name).unwrap()
}

pub fn key(program: &str, session: &str) -> SessionKey {
    SessionKey {
        program: ProgramId::new(program).unwrap(),
        session: SessionId::new(session).unwrap(),
    }
}

pub fn group(key: &SessionKey) -> GroupId {
    shard_of(key.program.as_str())
}

pub fn soon() -> Instant {
    Instant::now() + PATIENCE
}

/// A bundle whose model service lists versions, oldest first.
pub fn bundle(number: u64, versions: &[(&str, VersionState)]) -> Bundle {
    let versions =
        versions.iter().map(|(name, state)| VersionEntry { version: version(name), state: *state });
    let service_entry = Service {
        kind: ServiceKind::Model,
        model: Some("advisor-7b".parse().unwrap()),
        versions: versions.collect(),
        slots: 16,
        concurrency_per_engine: 64,
        queue_per_engine: 256,
        steps: vec![100],
        step_seconds: 0,
        harm: hooklug_bundle::model::HarmThresholds::default(),
    };
    Bundle {
        version: BundleVersion(number),
        base: BundleVersion(number - 1),
        services: [(service(), service_entry)].into(),
        ..Bundle::default()
    }
}

pub fn installed(bundle: Bundle) -> Option<Arc<InstalledBundle>> {
    let record = BundleRecord {
        version: bundle.version,
        base: bundle.base,
        digest: Digest::of(b"test"),
        sections: [].into(),
        origin: BundleOrigin::Operators(Vec::new()),
        committed: UnixMillis(0),
    };
    Some(Arc::new(InstalledBundle { record, bundle }))
}

/// What differs between engines of tests.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    pub name: &'static str,
    pub version: &'static str,
    pub slots: u32,
    pub grace_ms: u64,
    pub drain_bound_ms: u64,
    pub unconnected_keep_ms: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            name: "e1",
            version: "v1",
            slots: 16,
            grace_ms: 5_000,
            drain_bound_ms: 900_000,
            unconnected_keep_ms: 600_000,
        }
    }
}

/// A running engine and the test's hold on it.
pub struct RunningEngine {
    pub engine: EngineIncarnation,
    pub address: SocketAddr,
    pub feeds: NodeFeeds,
    pub node: NodeHandle,
    pub stop: CancellationToken,
    pub serving: CancellationToken,
    pub ended: JoinHandle<Result<(), EngineError>>,
}

impl RunningEngine {
    /// Ends the engine as a kill would: no drain, no hand-over, its lease runs out.
    pub fn kill(&self) {
        self.ended.abort();
        self.serving.cancel();
    }

    pub fn install(&self, bundle: Bundle) {
        self.feeds.bundle.send_replace(installed(bundle));
    }

    /// Waits until the engine says of itself that it is ready.
    pub async fn ready(&mut self) {
        let ready = self
            .feeds
            .report
            .wait_for(|report| report.engine.as_ref().is_some_and(|engine| engine.ready));
        tokio::time::timeout(PATIENCE, ready).await.expect("ready in time").unwrap();
    }
}

fn settings(options: &EngineOptions, rpc: SocketAddr, model: SocketAddr) -> Settings {
    Settings {
        rpc,
        http: "127.0.0.1:1".parse().unwrap(),
        zone: "z1".parse().unwrap(),
        region: "local".parse().unwrap(),
        seeds: Vec::new(),
        data_folder: None,
        cluster_secret: Secret::new(SECRET),
        grace_ms: options.grace_ms,
        enable_faults: false,
        store: StoreSettings::default(),
        engine: Some(EngineSettings {
            id: options.name.parse().unwrap(),
            service: service(),
            version: version(options.version),
            model_server: model,
            slots: options.slots,
            drain_bound_ms: options.drain_bound_ms,
            unconnected_keep_ms: options.unconnected_keep_ms,
        }),
        gateway: GatewaySettings::default(),
        core: CoreSettings::default(),
        operators: OperatorSettings::default(),
    }
}

fn identity(rpc: SocketAddr, node: u64, role: NodeRole) -> LocalIdentity {
    let address = NodeAddress {
        node: NodeId(node),
        incarnation: Incarnation(node),
        role,
        rpc,
        http: rpc,
        zone: "z1".parse().unwrap(),
    };
    LocalIdentity::new(address, SECRET)
}

/// Shared state, and a gateway's client.
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

    /// Starts an engine beside a model server and waits until it is ready.
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
        let (node, feeds) = NodeHandle::new();
        feeds.bundle.send_replace(installed(bundle));
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
        RunningEngine { engine: incarnation, address, feeds, node, stop, serving, ended }
    }

    pub async fn put_program(&self, program: &str, budget: u64, end_time: UnixMillis) {
        let command = ShardCommand::PutProgram(PutProgram {
            program: ProgramId::new(program).unwrap(),
            tenant: TenantId::new("dalatek").unwrap(),
            group: None,
            token_budget: TokenCount(budget),
            end_time,
        });
        let reply = self.state.execute_shard(shard_of(program), &command, soon()).await.unwrap();
        assert!(matches!(reply, ShardReply::Program(_)), "{reply:?}");
    }

    /// A program with much budget and time, and an open session of it.
    pub async fn session(&self, engine: &RunningEngine, program: &str) -> SessionPlace {
        let end = UnixMillis::now().plus(Duration::from_secs(3_600));
        self.put_program(program, 1_000_000, end).await;
        self.open(engine, key(program, "s1")).await.unwrap()
    }

    pub async fn open(
        &self,
        engine: &RunningEngine,
        key: SessionKey,
    ) -> Result<SessionPlace, EngineRefusal> {
        let request = OpenSession {
            key,
            engine: engine.engine.clone(),
            service: service(),
            prefix: Some("greenhouse-v3".parse().unwrap()),
        };
        self.call(engine, &request).await.map(|record| place(&record))
    }

    pub async fn take(
        &self,
        engine: &RunningEngine,
        from: &SessionPlace,
    ) -> Result<SessionPlace, EngineRefusal> {
        let request = TakeSession {
            key: from.key.clone(),
            engine: engine.engine.clone(),
            expected_epoch: from.epoch,
        };
        self.call(engine, &request).await.map(|record| place(&record))
    }

    /// Takes a session over as soon as its former owner's lease allows it.
    pub async fn take_when_free(
        &self,
        engine: &RunningEngine,
        from: &SessionPlace,
    ) -> SessionPlace {
        let taking = async {
            loop {
                match self.take(engine, from).await {
                    Ok(place) => return place,
                    Err(EngineRefusal::NotOwner { .. }) => {
                        tokio::time::sleep(Duration::from_millis(50)).await;
                    }
                    Err(other) => panic!("{other:?}"),
                }
            }
        };
        tokio::time::timeout(PATIENCE, taking).await.expect("taken in time")
    }

    pub async fn call<R, T>(&self, engine: &RunningEngine, request: &R) -> Result<T, EngineRefusal>
    where
        R: Request<Reply = EngineReply<T>>,
        T: serde::Serialize + serde::de::DeserializeOwned + Send + 'static,
    {
        self.client.call(engine.address, request, soon()).await.unwrap().result
    }

    pub async fn stream<R: StreamRequest>(
        &self,
        engine: &RunningEngine,
        request: &R,
    ) -> ItemStream<R::Item> {
        self.client.open(engine.address, request, soon()).await.unwrap()
    }

    pub async fn close(
        &self,
        engine: &RunningEngine,
        place: &SessionPlace,
    ) -> Result<SessionRecord, EngineRefusal> {
        let deadline = UnixMillis::now().plus(PATIENCE);
        self.call(engine, &CloseSession { place: place.clone(), deadline }).await
    }

    /// Runs a turn to the end of its stream.
    pub async fn run(&self, engine: &RunningEngine, request: &RunTurn) -> TurnOutcome {
        let mut stream = self.stream(engine, request).await;
        read_turn(&mut stream).await
    }

    pub async fn history(&self, key: &SessionKey) -> Vec<Event> {
        let query = ShardQuery::Events { key: key.clone(), after: EventSeq(0), limit: 100_000 };
        match self.state.query_shard(group(key), &query, soon()).await.unwrap() {
            ShardAnswer::Events { events, more: false } => events,
            other => panic!("{other:?}"),
        }
    }

    pub async fn record(&self, key: &SessionKey) -> SessionRecord {
        let query = ShardQuery::Session(key.clone());
        match self.state.query_shard(group(key), &query, soon()).await.unwrap() {
            ShardAnswer::Session(Some(record)) => record,
            other => panic!("{other:?}"),
        }
    }
}

pub fn place(record: &SessionRecord) -> SessionPlace {
    SessionPlace {
        key: record.key.clone(),
        owner: record.owner.clone().expect("an owner"),
        epoch: record.epoch,
    }
}

pub fn run_turn(place: &SessionPlace, name: &str, after: Option<&str>, input: &str) -> RunTurn {
    RunTurn {
        place: place.clone(),
        turn: turn(name),
        after: after.map(turn),
        input: input.to_owned(),
        max_tokens: TokenCount(100),
        tenant: TenantId::new("dalatek").unwrap(),
        group: None,
        urgent: false,
        deadline_ms: 20_000,
        last_seen: EventSeq(0),
    }
}

/// What a turn's stream said.
#[derive(Debug, Default)]
pub struct TurnOutcome {
    pub accepted: bool,
    pub events: Vec<Event>,
    pub refusal: Option<EngineRefusal>,
}

impl TurnOutcome {
    pub fn end(&self) -> Option<&hooklug_types::EndReason> {
        match self.events.last().map(|e| &e.body) {
            Some(EventBody::TurnEnded { reason, .. }) => Some(reason),
            _ => None,
        }
    }

    pub fn text(&self) -> String {
        text_of(&self.events)
    }
}

pub fn text_of(events: &[Event]) -> String {
    let texts = events.iter().filter_map(|e| match &e.body {
        EventBody::Tokens { text, .. } => Some(text.as_str()),
        _ => None,
    });
    texts.collect()
}

pub async fn next_item(stream: &mut ItemStream<TurnItem>) -> Option<TurnItem> {
    let next = tokio::time::timeout(PATIENCE, stream.next());
    next.await.expect("an item in time").ok().flatten()
}

pub async fn read_turn(stream: &mut ItemStream<TurnItem>) -> TurnOutcome {
    let mut outcome = TurnOutcome::default();
    while let Some(item) = next_item(stream).await {
        match item {
            TurnItem::Accepted { .. } => outcome.accepted = true,
            TurnItem::Event(event) => outcome.events.push(event),
            TurnItem::Refused { refusal, .. } => outcome.refusal = Some(refusal),
        }
    }
    outcome
}

/// Reads a turn's stream until it holds so many events.
pub async fn read_events(stream: &mut ItemStream<TurnItem>, count: usize) -> Vec<Event> {
    let mut events = Vec::new();
    while events.len() < count {
        match next_item(stream).await {
            Some(TurnItem::Event(event)) => events.push(event),
            Some(TurnItem::Accepted { .. }) => {}
            other => panic!("{other:?}"),
        }
    }
    events
}

pub async fn next_join(stream: &mut ItemStream<JoinItem>) -> Option<JoinItem> {
    let next = tokio::time::timeout(PATIENCE, stream.next());
    next.await.expect("an item in time").ok().flatten()
}

pub fn join(place: &SessionPlace, last_seen: Option<u64>) -> Join {
    Join { place: place.clone(), last_seen: last_seen.map(EventSeq) }
}

/// Waits for a condition.
pub async fn eventually(what: &str, condition: impl AsyncFn() -> bool) {
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    assert!(tokio::time::timeout(PATIENCE, waiting).await.is_ok(), "not in time: {what}");
}
