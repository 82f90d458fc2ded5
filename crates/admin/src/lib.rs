//! The operators' HTTP API, readiness and metrics, mounted in every role.
//!
//! Any node takes a bundle or a question and forwards it to the stores. Keys are compared in constant
//! time; nothing secret is ever shown.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod answers;
mod authorize;
mod bundles;
mod cluster;
mod health;
mod problem;
mod sessions;
mod shards;

use std::sync::Arc;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::routing::{get, post, put};
use hooklug_control::NodeContext;
use hooklug_rpc::RpcClient;
use hooklug_types::NodeRole;
pub use metrics_exporter_prometheus::PrometheusHandle;
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder};

/// Longest body of a submitted bundle, in bytes (ours).
const MAX_BUNDLE_BYTES: usize = 32 << 20;

/// What the operators' API is built from.
#[derive(Clone)]
pub struct AdminContext {
    /// The node.
    pub context: NodeContext,
    /// What the node does.
    pub role: NodeRole,
    /// Renders the metrics; `None` leaves `/metrics` out.
    pub metrics: Option<PrometheusHandle>,
}

impl std::fmt::Debug for AdminContext {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AdminContext").field("role", &self.role).finish_non_exhaustive()
    }
}

impl AdminContext {
    fn client(&self) -> &RpcClient {
        &self.context.client
    }
}

/// Starts gathering the process's metrics; once a process.
///
/// # Errors
/// When another recorder is installed already.
pub fn install_metrics() -> Result<PrometheusHandle, BuildError> {
    PrometheusBuilder::new().install_recorder()
}

/// All routes: `/healthz`, `/readyz`, `/metrics`, `/admin/v1/...`, and `/faults` where they are enabled.
pub fn router(admin: AdminContext) -> Router {
    let admin = Arc::new(admin);
    let mut operators = Router::new()
        .route("/admin/v1/bundles", post(bundles::submit).get(bundles::history))
        .route("/admin/v1/bundles/{version}", get(bundles::show))
        .route("/admin/v1/rollouts", get(cluster::rollouts))
        .route("/admin/v1/members", get(cluster::members))
        .route("/admin/v1/engines", get(cluster::engines))
        .route("/admin/v1/view", get(cluster::view))
        .route("/admin/v1/windows", get(cluster::windows))
        .route("/admin/v1/slots", get(cluster::slots))
        .route("/admin/v1/shards", get(shards::shards))
        .route("/admin/v1/stores/{node}/retire", post(shards::retire))
        .route("/admin/v1/sessions", get(sessions::list))
        .route("/admin/v1/sessions/{program}/{session}", get(sessions::show));
    if admin.context.settings.enable_faults {
        operators = operators.route("/faults", put(health::set_faults).get(health::get_faults));
    }
    let guard = axum::middleware::from_fn_with_state(admin.clone(), authorize::authorize);
    let mut open =
        Router::new().route("/healthz", get(health::healthz)).route("/readyz", get(health::readyz));
    if admin.metrics.is_some() {
        open = open.route("/metrics", get(health::metrics));
    }
    operators
        .layer(guard)
        .layer(DefaultBodyLimit::max(MAX_BUNDLE_BYTES))
        .merge(open)
        .with_state(admin)
}
