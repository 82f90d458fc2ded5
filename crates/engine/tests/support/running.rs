//! A running engine and its settings.

use std::net::SocketAddr;

use hooklug_bundle::Bundle;
use hooklug_control::{NodeHandle, NodeHandleChannels};
use hooklug_engine::EngineError;
use hooklug_protocol::control::NodeAddress;
use hooklug_rpc::LocalIdentity;
use hooklug_settings::{
    CoreSettings, EngineSettings, GatewaySettings, OperatorSettings, Secret, Settings,
    StoreSettings,
};
use hooklug_types::{EngineIncarnation, Incarnation, NodeId, NodeRole};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::{TEST_TIMEOUT, installed, service, version};

const SECRET: &str = "a secret of the test cluster";

/// Options of an engine under test.
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

/// A running engine with the handles that control it.
pub struct RunningEngine {
    pub engine: EngineIncarnation,
    pub address: SocketAddr,
    pub channels: NodeHandleChannels,
    pub node: NodeHandle,
    pub stop: CancellationToken,
    pub serving: CancellationToken,
    pub ended: JoinHandle<Result<(), EngineError>>,
}

impl RunningEngine {
    /// Stops the engine as a kill would: no drain, no handover; its lease runs out.
    pub fn kill(&self) {
        self.ended.abort();
        self.serving.cancel();
    }

    pub fn install(&self, bundle: Bundle) {
        self.channels.bundle.send_replace(installed(bundle));
    }

    /// Waits until the engine reports that it is ready.
    pub async fn ready(&mut self) {
        let ready = self
            .channels
            .report
            .wait_for(|report| report.engine.as_ref().is_some_and(|engine| engine.ready));
        tokio::time::timeout(TEST_TIMEOUT, ready).await.expect("ready in time").unwrap();
    }
}

pub(super) fn settings(options: &EngineOptions, rpc: SocketAddr, model: SocketAddr) -> Settings {
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

pub(super) fn identity(rpc: SocketAddr, node: u64, role: NodeRole) -> LocalIdentity {
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
