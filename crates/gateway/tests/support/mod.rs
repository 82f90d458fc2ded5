//! Test environment: gateways over in-memory shards, fake engines and a cluster view set by the
//! test.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod app_engine;
pub mod bundles;
pub mod calls;
pub mod fake_engine;
pub mod http;
pub mod sessions;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hooklug_bundle::Bundle;
use hooklug_control::{NodeContext, NodeHandle, NodeHandleChannels, Reachability};
use hooklug_gateway::Gateway;
use hooklug_protocol::control::{
    ApplicationEngine, ClusterView, Member, MemberHealth, NodeAddress, SessionHostInfo,
};
use hooklug_rpc::{LocalIdentity, RpcClient};
use hooklug_settings::GatewayMode;
use hooklug_state::meta::{BundleContent, MetaCommand, MetaReply, SubmitBundle};
use hooklug_state::shard::{
    BeginCall, ShardAnswer, ShardCommand, ShardQuery, ShardReply, TurnRecord,
};
use hooklug_store::MemoryState;
use hooklug_store::StateAccess;
use hooklug_types::*;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

pub use bundles::{bundle, installed, settings};

pub const SECRET: &str = "sixteen characters or more";
/// Long enough to observe a held lease, short enough for a test.
pub const LEASE_TIME: Duration = Duration::from_millis(300);

pub fn id<T: std::str::FromStr<Err = IdError>>(text: &str) -> T {
    text.parse().expect("invalid identifier")
}

pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub fn address(role: NodeRole, node: u64, rpc: SocketAddr, zone: &str) -> NodeAddress {
    NodeAddress {
        node: NodeId(node),
        incarnation: Incarnation(node * 1000),
        role,
        rpc,
        http: loopback(),
        zone: id(zone),
    }
}

/// A gateway and its HTTP listener.
pub struct TestGateway {
    pub http: SocketAddr,
    pub channels: NodeHandleChannels,
    pub node: NodeHandle,
    pub identity: LocalIdentity,
    pub stop: CancellationToken,
    pub task: tokio::task::JoinHandle<()>,
}

impl TestGateway {
    /// Waits until the gateway reports ready, which it does after installing its first bundle.
    pub async fn wait_ready(&self) {
        while !self.node.readiness.reasons().is_empty() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// Waits until the gateway reports unready.
    pub async fn wait_unready(&self) {
        while self.node.readiness.reasons().is_empty() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

pub fn test_deadline() -> Instant {
    Instant::now() + Duration::from_secs(5)
}

/// Releases a session's ownership, as its owner does in a handover.
pub async fn hand_over(env: &TestEnv, program: &str, session: &str, epoch: u64) {
    let key = SessionKey { program: id(program), session: id(session) };
    let command = ShardCommand::HandOver { key, epoch: SessionEpoch(epoch) };
    let reply = env.state.execute_shard(shard_of(program), &command, test_deadline()).await;
    assert!(matches!(reply, Ok(ShardReply::Session(_))), "{reply:?}");
}

/// Shards, cluster view and gateways of one test.
pub struct TestEnv {
    pub state: MemoryState,
    pub view: ClusterView,
    pub bundle: Bundle,
    pub gateways: Vec<TestGateway>,
}

impl TestEnv {
    pub async fn new() -> Self {
        Self::with(bundle(), GatewayMode::Full, 1).await
    }

    pub async fn with(bundle: Bundle, mode: GatewayMode, gateways: u64) -> Self {
        let state = MemoryState::new(LEASE_TIME, Duration::from_secs(3600));
        let mut env = Self { state, view: ClusterView::default(), bundle, gateways: Vec::new() };
        for node in 0..gateways {
            let gateway = env.start_gateway(900 + node, mode).await;
            env.gateways.push(gateway);
        }
        env
    }

    /// Adds a gateway that starts with the current bundle and view.
    pub async fn add_gateway(&mut self) {
        let gateway = self.start_gateway(900 + self.gateways.len() as u64, GatewayMode::Full).await;
        self.gateways.push(gateway);
    }

    /// Commits a bundle in the meta group, as an operator does.
    pub async fn commit_bundle(&self, bundle: &Bundle) {
        let form = MetaCommand::Form { cluster: 1, stores: Vec::new(), placements: Vec::new() };
        assert_eq!(self.state.execute_meta(&form, test_deadline()).await, Ok(MetaReply::Done));
        let command = MetaCommand::SubmitBundle(SubmitBundle {
            version: bundle.version,
            base: bundle.base,
            content: BundleContent::Full(hooklug_bundle::canonical_bytes(bundle)),
            signed_by: Vec::new(),
        });
        let reply = self.state.execute_meta(&command, test_deadline()).await;
        assert!(matches!(reply, Ok(MetaReply::Bundle(_))), "{reply:?}");
    }

    async fn start_gateway(&self, node: u64, mode: GatewayMode) -> TestGateway {
        let (handle, channels) = NodeHandle::new();
        channels.reach.send_replace(Reachability { core: true, store: true, newest_bundle: true });
        channels.bundle.send_replace(Some(installed(self.bundle.clone())));
        channels.view.send_replace(Arc::new(self.view.clone()));
        let identity =
            LocalIdentity::new(address(NodeRole::Gateway, node, loopback(), "z1"), SECRET);
        let stop = CancellationToken::new();
        let ctx = NodeContext {
            settings: Arc::new(settings(mode)),
            identity: identity.clone(),
            client: RpcClient::new(identity.clone()),
            state: Arc::new(self.state.clone()),
            node: handle.clone(),
            stop: stop.clone(),
        };
        let gateway = Gateway::new(ctx);
        let router = gateway.http_router();
        let listener =
            tokio::net::TcpListener::bind(loopback()).await.expect("failed to bind a port");
        let http = listener.local_addr().expect("no local address");
        tokio::spawn(async move { axum::serve(listener, router).await });
        let task = tokio::spawn(gateway.run());
        TestGateway { http, channels, node: handle, identity, stop, task }
    }

    /// Sends the current view to all gateways.
    pub fn publish(&self) {
        for gateway in &self.gateways {
            gateway.channels.view.send_replace(Arc::new(self.view.clone()));
        }
    }

    /// Sends the current bundle to all gateways.
    pub fn publish_bundle(&self) {
        for gateway in &self.gateways {
            let mut bundle = (*installed(self.bundle.clone())).clone();
            bundle.record.committed = UnixMillis::now();
            gateway.channels.bundle.send_replace(Some(Arc::new(bundle)));
        }
    }

    /// Adds a session-host engine to the view.
    pub fn list(&mut self, engine: &fake_engine::FakeEngine, zone: &str) {
        let address = NodeAddress {
            node: NodeId(engine.me.incarnation.0),
            incarnation: engine.me.incarnation,
            ..address(NodeRole::Engine, 0, engine.rpc, zone)
        };
        let hosted = SessionHostInfo {
            engine: engine.me.engine.clone(),
            service: id("advisor"),
            version: engine.version.clone(),
            ready: true,
            draining: false,
            slots: 4,
        };
        let member = Member {
            address: address.clone(),
            health: MemberHealth::Alive,
            bundle: BundleVersion(3),
            engine: Some(hosted),
        };
        self.view.members.insert(address.node, member);
        self.publish();
    }

    /// Removes a session-host engine from the view.
    pub fn unlist(&mut self, engine: &fake_engine::FakeEngine) {
        self.view.members.remove(&NodeId(engine.me.incarnation.0));
        self.publish();
    }

    /// Adds an application engine of service `farm` to the view.
    pub fn list_app(&mut self, engine: &app_engine::AppEngine, version: &str, zone: &str) {
        let listed = ApplicationEngine {
            engine: engine.engine.clone(),
            incarnation: engine.incarnation,
            service: id("farm"),
            version: id(version),
            address: engine.address,
            zone: id(zone),
            draining: false,
            healthy: true,
        };
        self.view.engines.insert(engine.engine.clone(), listed);
        self.publish();
    }

    /// Reads a turn's record from its shard.
    pub async fn turn(&self, program: &str, session: &str, turn: &str) -> Option<TurnRecord> {
        let key = SessionKey { program: id(program), session: id(session) };
        let query = ShardQuery::Turn { key, turn: id(turn) };
        match self.state.query_shard(shard_of(program), &query, test_deadline()).await {
            Ok(ShardAnswer::Turn(record)) => record,
            other => panic!("unexpected reply: {other:?}"),
        }
    }

    /// Claims a call for an attempt that no gateway executes.
    pub async fn begin_call(
        &self,
        program: &str,
        call: &str,
        attempt: &str,
        body: &serde_json::Value,
    ) {
        let tool = body["tool"].as_str().expect("no tool");
        let command = ShardCommand::BeginCall(BeginCall {
            program: id(program),
            call: id(call),
            attempt: id(attempt),
            digest: hooklug_gateway::calls::content_digest(tool, &body["arguments"]),
            route: id("alarms"),
        });
        let reply = self.state.execute_shard(shard_of(program), &command, test_deadline()).await;
        assert_eq!(reply, Ok(ShardReply::CallGranted));
    }

    /// Waits until a call is claimed.
    pub async fn wait_claimed(&self, program: &str, call: &str) {
        let query = ShardQuery::Call { program: id(program), call: id(call) };
        loop {
            let answer = self.state.query_shard(shard_of(program), &query, test_deadline()).await;
            if matches!(answer, Ok(ShardAnswer::Call(Some(_)))) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    /// Waits until a call has an outcome.
    pub async fn wait_outcome(&self, program: &str, call: &str) -> CallOutcome {
        let query = ShardQuery::Call { program: id(program), call: id(call) };
        loop {
            let answer = self.state.query_shard(shard_of(program), &query, test_deadline()).await;
            if let Ok(ShardAnswer::Call(Some(record))) = answer
                && let Some(outcome) = record.outcome
            {
                return outcome;
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    pub fn url(&self, gateway: usize) -> SocketAddr {
        self.gateways[gateway].http
    }

    pub async fn put_program(&self, program: &str) {
        let body = serde_json::json!({"token_budget": 1000, "end_time_ms": 99_999_999_999_999_u64});
        let path = format!("/v1/programs/{program}");
        let answer = http::put(self.url(0), &path, &body).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }

    pub async fn open_session(&self, program: &str, session: &str) -> http::Answer {
        let body = serde_json::json!({"model": "advisor-7b"});
        http::put(self.url(0), &format!("/v1/programs/{program}/sessions/{session}"), &body).await
    }
}
