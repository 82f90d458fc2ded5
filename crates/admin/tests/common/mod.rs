//! The operators' API over HTTP, with an in-memory state instead of stores.

#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;
use std::sync::Arc;

use hooklug_admin::AdminContext;
use hooklug_bundle::{Bundle, TextFormat, parse};
use hooklug_control::{NodeContext, NodeHandle, NodeHandleChannels};
use hooklug_protocol::control::{ClusterView, Member, MemberHealth, NodeAddress};
use hooklug_rpc::{LocalIdentity, RpcClient};
use hooklug_settings::{
    CoreSettings, GatewaySettings, OperatorSettings, Secret, Settings, StoreSettings,
};
use hooklug_state::meta::{MetaCommand, StoreRecord, StoreState};
use hooklug_store::{MemoryState, StateAccess};
use hooklug_types::{BundleVersion, Incarnation, NodeId, NodeRole, RegionName, ZoneName};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

pub const STORE: NodeId = NodeId(41);

/// A running operators' API and the state behind it.
pub struct Api {
    pub address: SocketAddr,
    pub state: MemoryState,
    pub context: NodeContext,
    pub channels: NodeHandleChannels,
}

/// A response of the API.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub content_type: String,
    pub body: Value,
}

impl Answer {
    pub fn code(&self) -> &str {
        self.body["code"].as_str().unwrap_or_default()
    }
}

pub fn settings() -> Settings {
    Settings {
        rpc: "127.0.0.1:1".parse().expect("an address"),
        http: "127.0.0.1:2".parse().expect("an address"),
        zone: ZoneName::new("z1").expect("valid"),
        region: RegionName::new("local").expect("valid"),
        seeds: Vec::new(),
        data_folder: None,
        cluster_secret: Secret::new("a secret of the test"),
        grace_ms: 1_000,
        enable_faults: false,
        store: StoreSettings::default(),
        engine: None,
        gateway: GatewaySettings::default(),
        core: CoreSettings::default(),
        operators: OperatorSettings::default(),
    }
}

impl Api {
    pub async fn start(settings: Settings) -> Self {
        let state = MemoryState::default();
        let store = StoreRecord {
            node: STORE,
            incarnation: Incarnation(1),
            address: settings.rpc,
            zone: settings.zone.clone(),
            state: StoreState::Active,
        };
        let form = MetaCommand::Form { cluster: 77, stores: vec![store], placements: Vec::new() };
        let deadline = tokio::time::Instant::now() + std::time::Duration::from_secs(5);
        state.execute_meta(&form, deadline).await.expect("in memory");
        let address = NodeAddress {
            node: NodeId(7),
            incarnation: Incarnation(1),
            role: NodeRole::Gateway,
            rpc: settings.rpc,
            http: settings.http,
            zone: settings.zone.clone(),
        };
        let identity = LocalIdentity::new(address, settings.cluster_secret.reveal());
        let (node, channels) = NodeHandle::new();
        let context = NodeContext {
            settings: Arc::new(settings),
            client: RpcClient::new(identity.clone()),
            identity,
            state: Arc::new(state.clone()),
            node,
            stop: CancellationToken::new(),
        };
        let admin =
            AdminContext { context: context.clone(), role: NodeRole::Gateway, metrics: None };
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
        let address = listener.local_addr().expect("bound");
        let router = hooklug_admin::router(admin);
        tokio::spawn(async move { axum::serve(listener, router).await });
        Self { address, state, context, channels }
    }

    /// Publishes a view with one live node that has installed a bundle version.
    pub fn publish_member(&self, bundle: u64) {
        let member = Member {
            address: self.context.identity.address.clone(),
            health: MemberHealth::Alive,
            bundle: BundleVersion(bundle),
            engine: None,
        };
        let mut view = ClusterView::default();
        view.members.insert(member.address.node, member);
        self.channels.view.send_replace(Arc::new(view));
    }

    pub async fn get(&self, path: &str) -> Answer {
        self.request(Method::GET, path, None, "").await
    }

    pub async fn request(
        &self,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> Answer {
        let stream = TcpStream::connect(self.address).await.expect("the API listens");
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.expect("HTTP");
        tokio::spawn(connection);
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "api")
            .header("content-type", "application/json");
        if let Some(key) = key {
            request = request.header("authorization", format!("Bearer {key}"));
        }
        let request = request.body(Full::new(Bytes::from(body.to_owned()))).expect("valid");
        let response = sender.send_request(request).await.expect("an answer");
        let status = response.status();
        let content_type = response.headers().get("content-type");
        let content_type =
            content_type.and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned();
        let bytes = response.into_body().collect().await.expect("a complete body").to_bytes();
        let body = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
        Answer { status, content_type, body }
    }

    pub async fn submit(&self, bundle: &Bundle) -> Answer {
        let body = serde_json::json!({ "bundle": bundle }).to_string();
        self.request(Method::POST, "/admin/v1/bundles", None, &body).await
    }
}

/// A valid bundle based on the previous version; `slots` distinguishes it from others of its
/// version.
pub fn bundle(version: u64, slots: u32) -> Bundle {
    let text = format!(
        r#"{{"version": {version}, "base": {}, "services": {{"notices": {{"kind": "application",
        "slots": {slots}, "versions": [{{"version": "v1"}}, {{"version": "v2"}}]}}}}}}"#,
        version - 1
    );
    parse(&text, TextFormat::Json).expect("valid")
}

pub fn deadline() -> tokio::time::Instant {
    tokio::time::Instant::now() + std::time::Duration::from_secs(10)
}
