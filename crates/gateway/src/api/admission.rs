//! Admission middleware: attaches the bundle, authenticates the tenant and enforces its limits.

use std::sync::Arc;
use std::time::Instant as StdInstant;

use axum::extract::{MatchedPath, Request, State};
use axum::middleware::Next;
use axum::response::{IntoResponse, Response};
use hooklug_control::InstalledBundle;
use hooklug_settings::GatewayMode;
use http::{HeaderName, HeaderValue};
use tokio_util::task::task_tracker::TaskTrackerToken;

use super::auth::{Caller, authorize};
use super::problem::{Code, Problem};
use super::refusals::RETRY_STORE;
use crate::limits::tenants::TenantPermit;
use crate::shared::Shared;

/// Response header with the version of the bundle that was applied.
pub const BUNDLE_HEADER: HeaderName = HeaderName::from_static("x-hooklug-bundle");

/// Held from a request's admission to the end of its response.
#[derive(Debug)]
pub struct RequestGuard {
    _permit: Option<TenantPermit>,
    _running: TaskTrackerToken,
}

/// Context of an admitted request.
#[derive(Debug, Clone)]
pub struct RequestContext {
    /// The bundle that applies to the request.
    pub bundle: Arc<InstalledBundle>,
    /// The authenticated caller.
    pub caller: Caller,
    /// Holds the tenant's concurrency slot and delays shutdown; streams hold it until they end.
    pub guard: Arc<RequestGuard>,
}

/// Admits a request or rejects it at once.
pub(crate) async fn admit(
    State(shared): State<Arc<Shared>>,
    mut request: Request,
    next: Next,
) -> Response {
    let started = StdInstant::now();
    let bundle = shared.ctx.node.bundle.borrow().clone();
    let version = bundle.as_ref().map_or(0, |b| b.record.version.0);
    let route = request
        .extensions()
        .get::<MatchedPath>()
        .map_or_else(|| "none".to_owned(), |path| path.as_str().to_owned());
    let mut response = match check_admission(&shared, bundle, &request) {
        Ok(context) => {
            request.extensions_mut().insert(context);
            next.run(request).await
        }
        Err(problem) => problem.into_response(),
    };
    response.headers_mut().insert(BUNDLE_HEADER, HeaderValue::from(version));
    let status = response.status().as_u16().to_string();
    metrics::counter!("hooklug_gateway_requests_total", "route" => route.clone(), "status" => status)
        .increment(1);
    metrics::histogram!("hooklug_gateway_answer_seconds", "route" => route)
        .record(started.elapsed().as_secs_f64());
    response
}

fn check_admission(
    shared: &Shared,
    bundle: Option<Arc<InstalledBundle>>,
    request: &Request,
) -> Result<RequestContext, Problem> {
    let bundle =
        bundle.ok_or_else(|| Problem::try_again("no bundle is installed yet", RETRY_STORE))?;
    let caller = authorize(request.headers(), &bundle.bundle)?;
    let permit = match shared.ctx.settings.gateway.mode {
        GatewayMode::Plain => None,
        GatewayMode::Full => Some(shared.tenants.admit(&caller.tenant, &caller.entry.limits)?),
    };
    let guard = Arc::new(RequestGuard { _permit: permit, _running: shared.running.token() });
    Ok(RequestContext { bundle, caller, guard })
}

/// Creates a `429 tenant_limited` error.
pub(crate) fn tenant_limited(what: &str, after: std::time::Duration) -> Problem {
    Problem::retryable(Code::TenantLimited, what, after)
}
