//! An ingress on in-memory state with fake backends on loopback that follow a script.

#![allow(dead_code, unused_imports, reason = "each test file uses only some of the helpers")]

mod fake_backend;
pub mod gateway;
mod held_state;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hooklug_bundle::Bundle;
use hooklug_bundle::http::{
    HttpRoute, HttpRouting, HttpService, ModelPool, RepeatRule, WeightedService,
};
use hooklug_control::backends::BackendList;
use hooklug_control::{InstalledBundle, NodeContext, NodeHandle, NodeHandleChannels};
use hooklug_ingress::{
    AnswerBody, BackendDialect, BackendHead, Ingress, IngressAnswer, IngressContext,
    IngressRequest, LoadReport, Outgoing, Truncated, TurnRequest, Verdict,
};
use hooklug_protocol::backends::ListedBackend;
use hooklug_protocol::control::NodeAddress;
use hooklug_rpc::{LocalIdentity, RpcClient};
use hooklug_settings::{
    CoreSettings, GatewaySettings, OperatorSettings, Secret, Settings, StoreSettings,
};
use hooklug_state::meta::{BundleOrigin, BundleRecord};
use hooklug_store::{MemoryState, StateAccess};
use hooklug_types::{
    BundleVersion, EngineId, Incarnation, NodeId, NodeRole, ProgramId, RegionName, RouteName,
    ServiceName, ServiceVersion, SessionId, TokenCount, TurnId, UnixMillis, ZoneName,
};
use http::response::Parts;
use http::{HeaderMap, Method, Request, Uri};
use http_body_util::{BodyExt, Full};
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

pub use fake_backend::{Behaviour, FakeBackend, Script};
pub use held_state::{HeldState, Link};

/// Longest wait for a condition; not a tested bound.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);
pub const HOST: &str = "app.example";
pub const TOKENS_PER_EVENT: u64 = 3;
const SECRET: &str = "a secret of the tests";

/// Header with the request id, in requests and responses.
pub const ID: &str = "test-id";
/// Header with the addressed backend.
pub const EXPECTED_BACKEND: &str = "test-meant";
/// Header with the reason of a backend's refusal: `full` or `other`.
pub const NOT_RUN: &str = "test-not-run";

/// The dialect of the fake backends.
pub struct TestDialect;

impl BackendDialect for TestDialect {
    fn request(&self, outgoing: &Outgoing<'_>) -> Request<Full<Bytes>> {
        Request::builder()
            .method(outgoing.request.method.clone())
            .uri(outgoing.request.uri.clone())
            .header("host", &outgoing.request.host)
            .header(ID, &outgoing.request.id)
            .header(EXPECTED_BACKEND, outgoing.backend.as_str())
            .body(Full::new(outgoing.body.clone()))
            .expect("a request")
    }

    fn read_head(&self, head: &Parts, request_id: &str) -> BackendHead {
        let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let verdict = match (text(ID), text(NOT_RUN)) {
            (id, _) if id != Some(request_id) => Verdict::WrongRequest,
            (_, Some("full")) => Verdict::AtCapacity,
            (_, Some(_)) => Verdict::NotExecuted { stale: true },
            _ => Verdict::Answer,
        };
        let load = Some(LoadReport { running: 0, waiting: 0, slots: 8 });
        BackendHead { verdict, load, idle_time: None, closes_connection: false }
    }
}

pub struct World {
    pub ingress: Arc<Ingress>,
    pub state: MemoryState,
    pub list: watch::Sender<Option<Arc<BackendList>>>,
    pub channels: NodeHandleChannels,
}

impl World {
    /// Creates an ingress whose routes `/once/`, `/any/`, `/kept/` and `/free/` all lead to these
    /// backends.
    pub async fn new(backends: &[&FakeBackend]) -> Self {
        Self::on(MemoryState::default(), backends).await
    }

    /// Creates an ingress on state that other worlds may share.
    pub async fn on(state: MemoryState, backends: &[&FakeBackend]) -> Self {
        Self::started(Self::without_bundle(state, backends)).await
    }

    /// Creates an ingress on state behind a link, which is returned.
    pub async fn behind_link(backends: &[&FakeBackend]) -> (Self, HeldState) {
        let link = HeldState::new(MemoryState::default());
        (Self::on_link(&link, backends).await, link)
    }

    /// Creates an ingress on state behind a link that other worlds may share.
    pub async fn on_link(link: &HeldState, backends: &[&FakeBackend]) -> Self {
        let world = Self::with_access(link.memory().clone(), Arc::new(link.clone()), backends);
        Self::started(world).await
    }

    async fn started(world: Self) -> Self {
        world.install_bundle();
        let ingress = world.ingress.clone();
        tokio::spawn(async move { ingress.run().await });
        while matches!(
            world.ingress.serve(&call("/nowhere/", "probe")).await,
            IngressAnswer::Refused(hooklug_ingress::Refusal::NotConfigured { .. })
        ) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        world
    }

    pub fn without_bundle(state: MemoryState, backends: &[&FakeBackend]) -> Self {
        Self::with_access(state.clone(), Arc::new(state), backends)
    }

    fn with_access(
        state: MemoryState,
        access: Arc<dyn StateAccess>,
        backends: &[&FakeBackend],
    ) -> Self {
        let (handle, channels) = NodeHandle::new();
        let listed = backends.iter().map(|backend| listed(backend));
        let (list, watch_list) = watch::channel(Some(Arc::new(BackendList::new(listed))));
        let node = context(access, handle);
        let dialect = Arc::new(TestDialect);
        let ingress = Ingress::new(IngressContext { node, backends: watch_list, dialect });
        Self { ingress: Arc::new(ingress), state, list, channels }
    }

    pub fn install_bundle(&self) {
        let bundle = bundle();
        let record = BundleRecord {
            version: bundle.version,
            base: bundle.base,
            digest: hooklug_bundle::digest(&bundle),
            sections: hooklug_bundle::section_digests(&bundle),
            origin: BundleOrigin::Operators(Vec::new()),
            committed: UnixMillis(0),
        };
        self.channels.bundle.send_replace(Some(Arc::new(InstalledBundle { record, bundle })));
    }
}

fn listed(backend: &FakeBackend) -> ListedBackend {
    ListedBackend {
        id: EngineId::new(&backend.name).unwrap(),
        service: ServiceName::new("pool").unwrap(),
        version: ServiceVersion::new("v1").unwrap(),
        address: backend.address,
        zone: ZoneName::new("z1").unwrap(),
        slots: 8,
        draining: false,
    }
}

fn context(state: Arc<dyn StateAccess>, node: NodeHandle) -> NodeContext {
    let own: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let address = NodeAddress {
        node: NodeId(5),
        incarnation: Incarnation::at_start(),
        role: NodeRole::Gateway,
        rpc: own,
        http: own,
        zone: ZoneName::new("z1").unwrap(),
    };
    let identity = LocalIdentity::new(address, SECRET);
    NodeContext {
        settings: Arc::new(settings(own)),
        client: RpcClient::new(identity.clone()),
        identity,
        state,
        node,
        stop: CancellationToken::new(),
    }
}

fn settings(own: SocketAddr) -> Settings {
    Settings {
        rpc: own,
        http: own,
        zone: ZoneName::new("z1").unwrap(),
        region: RegionName::new("local").unwrap(),
        seeds: Vec::new(),
        data_folder: None,
        cluster_secret: Secret::new(SECRET),
        grace_ms: 1_000,
        enable_faults: false,
        store: StoreSettings::default(),
        engine: None,
        gateway: GatewaySettings::default(),
        core: CoreSettings::default(),
        operators: OperatorSettings::default(),
    }
}

fn bundle() -> Bundle {
    let pool = ServiceName::new("pool").unwrap();
    let call = HttpRoute {
        host: HOST.to_owned(),
        path_prefix: String::new(),
        repeat: RepeatRule::Once,
        streaming: false,
        keep_ms: None,
        timeout_ms: 20_000,
        target_latency_ms: 400,
        priority: 0,
        max_attempts: 2,
        sticky: false,
        backends: vec![WeightedService { service: pool.clone(), weight: 1 }],
    };
    let turns = HttpRoute { streaming: true, max_attempts: 1, ..call.clone() };
    let routes = [
        ("once", call.clone()),
        ("any", HttpRoute { repeat: RepeatRule::Repeatable, ..call }),
        ("kept", HttpRoute { keep_ms: Some(60_000), ..turns.clone() }),
        ("free", turns),
    ];
    let routes = routes.map(|(name, route)| {
        let path_prefix = format!("/{name}/");
        (RouteName::new(name).unwrap(), HttpRoute { path_prefix, ..route })
    });
    let model = ModelPool { slots: 8, memory_tokens: 100_000, tokens_per_event: TOKENS_PER_EVENT };
    let service = HttpService { max_connections: 100, model: Some(model) };
    let http = HttpRouting {
        routes: routes.into_iter().collect(),
        services: [(pool, service)].into_iter().collect(),
        ..HttpRouting::default()
    };
    Bundle { version: BundleVersion(1), http: Some(http), ..Bundle::default() }
}

/// A tool call request, without a turn.
pub fn call(path: &str, id: &str) -> IngressRequest {
    IngressRequest {
        id: id.to_owned(),
        method: Method::POST,
        uri: path.parse::<Uri>().unwrap(),
        host: HOST.to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::from(format!("[{id}]")),
        received: Instant::now(),
        caller_timeout: Some(Duration::from_secs(10)),
        turn: None,
        prompt: Vec::new(),
    }
}

/// A turn of the program `p`.
pub fn turn(path: &str, id: &str, after: Option<&str>) -> IngressRequest {
    let turn = TurnRequest {
        program: ProgramId::new("p").unwrap(),
        session: SessionId::new("s").unwrap(),
        turn: TurnId::new(id).unwrap(),
        after: after.map(|after| TurnId::new(after).unwrap()),
        token_budget: Some(TokenCount(30)),
        max_tokens: TokenCount(12),
    };
    IngressRequest { turn: Some(turn), ..call(path, id) }
}

/// Status and body of a forwarded response; the body is `Err` if it was truncated.
pub async fn forwarded(answer: IngressAnswer) -> (u16, Result<String, Truncated>) {
    match answer {
        IngressAnswer::Forwarded(head, body) => (head.status.as_u16(), read_body(body).await),
        IngressAnswer::Refused(refusal) => panic!("refused: {refusal}"),
    }
}

pub async fn read_body(body: AnswerBody) -> Result<String, Truncated> {
    let bytes = body.collect().await?.to_bytes();
    Ok(String::from_utf8(bytes.to_vec()).expect("text"))
}

/// Waits until a condition holds.
pub async fn eventually(what: &str, condition: impl Fn() -> bool) {
    let until = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < until, "timed out: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Seeds of a seeded test: those that `SOAK_SEEDS` names, separated by commas, or these.
const DEFAULT_SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

/// Runs a seeded test with each seed, which is printed.
pub async fn run_seeds(check: impl AsyncFn(u64)) {
    let seeds = match std::env::var("SOAK_SEEDS") {
        Ok(named) => named.split(',').map(|seed| seed.trim().parse().expect("a seed")).collect(),
        Err(_) => DEFAULT_SEEDS.to_vec(),
    };
    for seed in seeds {
        println!("seed {seed}");
        check(seed).await;
    }
}
