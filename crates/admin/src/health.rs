//! Handlers for liveness, readiness, metrics and fault injection.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;

use axum::Json;
use axum::body::Bytes;
use axum::extract::State;
use axum::response::{IntoResponse, Response};
use hooklug_rpc::LinkFault;
use http::{StatusCode, header};
use serde::{Deserialize, Serialize};

use crate::answers::ReadyAnswer;
use crate::problem::Problem;
use crate::{AdminContext, PrometheusHandle};

type AdminState = State<Arc<AdminContext>>;

pub(crate) async fn healthz() -> &'static str {
    "ok\n"
}

/// Reports readiness from memory only, so that the response does not wait for other nodes.
pub(crate) async fn readyz(State(admin): AdminState) -> Response {
    let reasons: BTreeMap<String, String> = admin
        .context
        .node
        .readiness
        .reasons()
        .into_iter()
        .map(|(component, reason)| (component.to_owned(), reason))
        .collect();
    let ready = reasons.is_empty();
    let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    (status, Json(ReadyAnswer { ready, reasons })).into_response()
}

pub(crate) async fn metrics(State(admin): AdminState) -> Response {
    let text = admin.metrics.as_ref().map(PrometheusHandle::render).unwrap_or_default();
    ([(header::CONTENT_TYPE, "text/plain; version=0.0.4")], text).into_response()
}

/// Request and response body of `/faults`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Faults {
    links: BTreeMap<IpAddr, LinkFault>,
}

pub(crate) async fn set_faults(
    State(admin): AdminState,
    body: Bytes,
) -> Result<Json<Faults>, Problem> {
    let faults: Faults = serde_json::from_slice(&body).map_err(|e| {
        Problem::new(StatusCode::BAD_REQUEST, "bad_json", "the body does not decode")
            .detail(e.to_string())
    })?;
    admin.context.identity.faults.set(faults.links.clone());
    Ok(Json(faults))
}

pub(crate) async fn get_faults(State(admin): AdminState) -> Json<Faults> {
    Json(Faults { links: admin.context.identity.faults.get() })
}
