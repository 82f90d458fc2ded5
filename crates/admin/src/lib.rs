//! The operators' HTTP API, readiness and metrics, served by nodes of every role.
//!
//! Any node accepts a bundle or a query and forwards it to the stores. Keys are compared in
//! constant time, and secrets are never included in a response.

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

/// Maximum size of a submitted bundle's request body, in bytes.
const MAX_BUNDLE_BYTES: usize = 32 << 20;

/// State of the operators' API, shared by its handlers.
#[derive(Clone)]
pub struct AdminContext {
    /// Context of the node.
    pub context: NodeContext,
    /// Role of the node.
    pub role: NodeRole,
    /// Renders the metrics; without it `/metrics` is not served.
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

/// Installs the process's metrics recorder; must be called only once per process.
///
/// # Errors
/// When a recorder is already installed.
pub fn install_metrics() -> Result<PrometheusHandle, BuildError> {
    PrometheusBuilder::new().install_recorder()
}

/// Builds the routes `/healthz`, `/readyz`, `/metrics`, `/admin/v1/...`, and `/faults` if faults
/// are enabled.
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
    let authorization = axum::middleware::from_fn_with_state(admin.clone(), authorize::authorize);
    let mut public =
        Router::new().route("/healthz", get(health::healthz)).route("/readyz", get(health::readyz));
    if admin.metrics.is_some() {
        public = public.route("/metrics", get(health::metrics));
    }
    operators
        .layer(authorization)
        .layer(DefaultBodyLimit::max(MAX_BUNDLE_BYTES))
        .merge(public)
        .with_state(admin)
}
