//! Runs one process: identity, listeners, the node agent and the role, until the process is
//! stopped.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use axum::serve::ListenerExt;
use hooklug_admin::{AdminContext, PrometheusHandle};
use hooklug_control::{NodeAgent, NodeContext, NodeHandle};
use hooklug_protocol::control::NodeAddress;
use hooklug_rpc::{LocalIdentity, Router, RpcClient, RpcServer};
use hooklug_settings::Settings;
use hooklug_store::StoreClient;
use hooklug_types::{Incarnation, NodeId, NodeRole};
use rand::RngExt;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::{info, warn};

use crate::build_info;
use crate::roles::{RoleExit, RoleProcess};
use crate::signals;

/// Maximum number of worker threads. Low, because a deployment has many small machines.
const MAX_THREADS: usize = 4;

/// Interval of the metrics recorder's upkeep.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Time for open connections to close once the role has exited.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Builds the process of a role; called once for each incarnation.
pub trait BuildRole: Fn(NodeRole, &NodeContext) -> anyhow::Result<Box<dyn RoleProcess>> {}

impl<F> BuildRole for F where F: Fn(NodeRole, &NodeContext) -> anyhow::Result<Box<dyn RoleProcess>> {}

/// Runs a role until the process is stopped.
///
/// # Errors
/// When the process cannot start, or its role fails.
pub fn run(role: NodeRole, settings: Settings, build: impl BuildRole) -> anyhow::Result<()> {
    build_info::log();
    let runtime = runtime()?;
    let result = runtime.block_on(serve(role, Arc::new(settings), &build));
    // Tasks that are still running after the grace period end with the process.
    runtime.shutdown_background();
    result
}

/// Builds the async runtime. With a single processor it is single-threaded, so that tasks never
/// wait for another thread to wake up.
fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    let threads = std::thread::available_parallelism().map_or(MAX_THREADS, std::num::NonZero::get);
    if threads == 1 {
        return tokio::runtime::Builder::new_current_thread().enable_all().build();
    }
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads.min(MAX_THREADS))
        .enable_all()
        .build()
}

async fn serve(
    role: NodeRole,
    settings: Arc<Settings>,
    build: &impl BuildRole,
) -> anyhow::Result<()> {
    let stop = signals::listen()?;
    let metrics =
        hooklug_admin::install_metrics().context("cannot install the metrics recorder")?;
    build_info::publish();
    tokio::spawn(run_metrics_upkeep(metrics.clone()));
    loop {
        let run = NodeRun { role, settings: settings.clone(), stop: stop.child_token() };
        match run.execute(metrics.clone(), build).await? {
            RoleExit::Stopped => return Ok(()),
            RoleExit::Restart => info!(%role, "restarting with a new incarnation"),
        }
    }
}

async fn run_metrics_upkeep(metrics: PrometheusHandle) {
    loop {
        tokio::time::sleep(METRICS_UPKEEP_INTERVAL).await;
        metrics.run_upkeep();
    }
}

/// One run of the node, with its own incarnation.
struct NodeRun {
    role: NodeRole,
    settings: Arc<Settings>,
    stop: CancellationToken,
}

impl NodeRun {
    async fn execute(
        self,
        metrics: PrometheusHandle,
        build: &impl BuildRole,
    ) -> anyhow::Result<RoleExit> {
        let rpc = bind("rpc", self.settings.rpc).await?;
        let http = bind("http", self.settings.http).await?;
        let identity = self.identity()?;
        let client = RpcClient::new(identity.clone());
        let (node, channels) = NodeHandle::new();
        let state = Arc::new(StoreClient::new(client.clone(), node.stores.clone()));
        let context = NodeContext {
            settings: self.settings.clone(),
            identity: identity.clone(),
            client: client.clone(),
            state: state.clone(),
            node: node.clone(),
            stop: self.stop.clone(),
        };
        let process = build(self.role, &context)?;
        let agent = NodeAgent::new(
            &self.settings,
            identity.clone(),
            client,
            state,
            channels,
            node.statistics.clone(),
            node.readiness.clone(),
        );
        let admin =
            AdminContext { context: context.clone(), role: self.role, metrics: Some(metrics) };
        let router = agent.rpc_router().merge(process.rpc_router());
        let http_router = process.http_router().merge(hooklug_admin::router(admin));
        let servers = Servers::start(rpc, http, identity, router, http_router, agent);
        self.log_start(&context.identity);
        let exit = self.run_role(process, &context).await;
        servers.close().await;
        exit
    }

    fn identity(&self) -> anyhow::Result<LocalIdentity> {
        let settings = &self.settings;
        let node = match (&settings.data_folder, self.role) {
            (Some(folder), NodeRole::Store) => hooklug_store::load_node_id(folder)?,
            _ => NodeId(rand::rng().random()),
        };
        let address = NodeAddress {
            node,
            incarnation: Incarnation::at_start(),
            role: self.role,
            rpc: settings.rpc,
            http: settings.http,
            zone: settings.zone.clone(),
        };
        Ok(LocalIdentity::new(address, settings.cluster_secret.reveal()))
    }

    fn log_start(&self, identity: &LocalIdentity) {
        let own = &identity.address;
        info!(
            role = %self.role,
            node = %own.node,
            incarnation = %own.incarnation,
            rpc = %own.rpc,
            http = %own.http,
            zone = %own.zone,
            "started"
        );
    }

    /// Runs the role until it exits. Once the process is asked to stop, the role has the grace
    /// period to finish.
    async fn run_role(
        &self,
        process: Box<dyn RoleProcess>,
        context: &NodeContext,
    ) -> anyhow::Result<RoleExit> {
        let running = process.run(self.stop.clone());
        tokio::pin!(running);
        tokio::select! {
            biased;
            () = self.stop.cancelled() => {}
            exit = &mut running => return exit,
        }
        context.node.readiness.set_not_ready("process", "stopping");
        info!("stopping");
        let grace = Duration::from_millis(self.settings.grace_ms).saturating_sub(CLOSE_TIMEOUT);
        match tokio::time::timeout(grace, running).await {
            Ok(exit) => exit.map(|_| RoleExit::Stopped),
            Err(_) => {
                warn!(role = %self.role, "role did not finish within the grace period; exiting");
                Ok(RoleExit::Stopped)
            }
        }
    }
}

async fn bind(setting: &str, address: SocketAddr) -> anyhow::Result<TcpListener> {
    RpcServer::bind(address)
        .await
        .with_context(|| format!("cannot listen on {address} (setting {setting})"))
}

/// The RPC and HTTP servers and the node agent. They keep running until the role has exited, so
/// that it can finish its work.
struct Servers {
    halt: CancellationToken,
    tasks: TaskTracker,
}

impl Servers {
    fn start(
        rpc: TcpListener,
        http: TcpListener,
        identity: LocalIdentity,
        router: Router,
        http_router: axum::Router,
        agent: NodeAgent,
    ) -> Self {
        let halt = CancellationToken::new();
        let tasks = TaskTracker::new();
        tasks.spawn(RpcServer::new(rpc, identity, router).run(halt.clone()));
        tasks.spawn(agent.run(halt.clone()));
        let http = http.tap_io(|stream| {
            // Without TCP_NODELAY, small events of a stream would be delayed and sent together.
            if let Err(error) = stream.set_nodelay(true) {
                warn!(%error, "cannot set TCP_NODELAY on an HTTP connection");
            }
        });
        let service = http_router.into_make_service_with_connect_info::<SocketAddr>();
        let halted = halt.clone().cancelled_owned();
        tasks.spawn(async move {
            if let Err(error) = axum::serve(http, service).with_graceful_shutdown(halted).await {
                warn!(%error, "the HTTP server failed");
            }
        });
        Self { halt, tasks }
    }

    /// Stops all servers and waits up to [`CLOSE_TIMEOUT`]; what is still running then ends with
    /// the process.
    async fn close(self) {
        self.halt.cancel();
        self.tasks.close();
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, self.tasks.wait()).await;
    }
}
