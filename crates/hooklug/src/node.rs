//! Runs one process: identity, listeners, the node agent and the role, until it is told to stop.

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

use crate::roles::{Ended, RoleProcess};
use crate::signals;

/// Most threads of a process (ours: machines are small and many).
const MOST_THREADS: usize = 4;

/// Pause between upkeeps of the metrics (ours).
const METRICS_PAUSE: Duration = Duration::from_secs(5);

/// Longest time for the last connections to close once the role has ended (ours).
const CLOSE_TIME: Duration = Duration::from_millis(500);

/// Makes the process of a role; called anew for each run.
pub trait BuildRole: Fn(NodeRole, &NodeContext) -> anyhow::Result<Box<dyn RoleProcess>> {}

impl<F> BuildRole for F where F: Fn(NodeRole, &NodeContext) -> anyhow::Result<Box<dyn RoleProcess>> {}

/// Runs a role until the process is stopped.
///
/// # Errors
/// When the process cannot start, or its role cannot go on.
pub fn run(role: NodeRole, settings: Settings, build: impl BuildRole) -> anyhow::Result<()> {
    let runtime = runtime()?;
    let ended = runtime.block_on(serve(role, Arc::new(settings), &build));
    // Tasks that outlived the grace period end with the process.
    runtime.shutdown_background();
    ended
}

/// One thread where there is one processor: tasks then never wait for another thread to be woken.
fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    let threads = std::thread::available_parallelism().map_or(MOST_THREADS, std::num::NonZero::get);
    if threads == 1 {
        return tokio::runtime::Builder::new_current_thread().enable_all().build();
    }
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads.min(MOST_THREADS))
        .enable_all()
        .build()
}

async fn serve(
    role: NodeRole,
    settings: Arc<Settings>,
    build: &impl BuildRole,
) -> anyhow::Result<()> {
    let stop = signals::listen()?;
    let metrics = hooklug_admin::install_metrics().context("metrics cannot be gathered")?;
    tokio::spawn(keep_up(metrics.clone()));
    loop {
        let run = Run { role, settings: settings.clone(), stop: stop.child_token() };
        match run.execute(metrics.clone(), build).await? {
            Ended::Stopped => return Ok(()),
            Ended::Anew => info!("starting anew as another run"),
        }
    }
}

async fn keep_up(metrics: PrometheusHandle) {
    loop {
        tokio::time::sleep(METRICS_PAUSE).await;
        metrics.run_upkeep();
    }
}

/// One run of the node, with an incarnation of its own.
struct Run {
    role: NodeRole,
    settings: Arc<Settings>,
    stop: CancellationToken,
}

impl Run {
    async fn execute(
        self,
        metrics: PrometheusHandle,
        build: &impl BuildRole,
    ) -> anyhow::Result<Ended> {
        let rpc = bind("rpc", self.settings.rpc).await?;
        let http = bind("http", self.settings.http).await?;
        let identity = self.identity()?;
        let client = RpcClient::new(identity.clone());
        let (node, feeds) = NodeHandle::new();
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
            feeds,
            node.statistics.clone(),
            node.readiness.clone(),
        );
        let admin =
            AdminContext { context: context.clone(), role: self.role, metrics: Some(metrics) };
        let router = agent.rpc_router().merge(process.rpc_router());
        let pages = process.http_router().merge(hooklug_admin::router(admin));
        let servers = Servers::start(rpc, http, identity, router, pages, agent);
        self.log_start(&context.identity);
        let ended = self.run_role(process, &context).await;
        servers.close().await;
        ended
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

    /// Runs the role to its end; once the process is told to stop, for the grace period at most.
    async fn run_role(
        &self,
        process: Box<dyn RoleProcess>,
        context: &NodeContext,
    ) -> anyhow::Result<Ended> {
        let running = process.run(self.stop.clone());
        tokio::pin!(running);
        tokio::select! {
            biased;
            () = self.stop.cancelled() => {}
            ended = &mut running => return ended,
        }
        context.node.readiness.unready("process", "stopping");
        info!("stopping");
        let grace = Duration::from_millis(self.settings.grace_ms).saturating_sub(CLOSE_TIME);
        match tokio::time::timeout(grace, running).await {
            Ok(ended) => ended.map(|_| Ended::Stopped),
            Err(_) => {
                warn!("the grace period is over");
                Ok(Ended::Stopped)
            }
        }
    }
}

async fn bind(what: &str, address: SocketAddr) -> anyhow::Result<TcpListener> {
    RpcServer::bind(address).await.with_context(|| format!("cannot listen on {address} ({what})"))
}

/// The listeners and the node agent; they outlive the role, so that it can finish.
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
        pages: axum::Router,
        agent: NodeAgent,
    ) -> Self {
        let halt = CancellationToken::new();
        let tasks = TaskTracker::new();
        tasks.spawn(RpcServer::new(rpc, identity, router).run(halt.clone()));
        tasks.spawn(agent.run(halt.clone()));
        let http = http.tap_io(|stream| {
            // Without it small events of a stream would wait for each other.
            if let Err(error) = stream.set_nodelay(true) {
                warn!(%error, "cannot send at once on a connection");
            }
        });
        let pages = pages.into_make_service_with_connect_info::<SocketAddr>();
        let halted = halt.clone().cancelled_owned();
        tasks.spawn(async move {
            if let Err(error) = axum::serve(http, pages).with_graceful_shutdown(halted).await {
                warn!(%error, "the HTTP server has ended");
            }
        });
        Self { halt, tasks }
    }

    /// Ends all; what does not end soon is left to the end of the process.
    async fn close(self) {
        self.halt.cancel();
        self.tasks.close();
        let _ = tokio::time::timeout(CLOSE_TIME, self.tasks.wait()).await;
    }
}
