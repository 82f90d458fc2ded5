//! Liveness, readiness, metrics, and the switches of failure tests.

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

type Admin = State<Arc<AdminContext>>;

pub(crate) async fn healthz() -> &'static str {
    "ok\n"
}

/// Answers from memory, so within milliseconds whatever else goes on.
pub(crate) async fn readyz(State(admin): Admin) -> Response {
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

pub(crate) async fn metrics(State(admin): Admin) -> Response {
    let text = admin.metrics.as_ref().map(PrometheusHandle::render).unwrap_or_default();
    ([(header::CONTENT_TYPE, "text/plain; version=0.0.4")], text).into_response()
}

/// Body of `/faults`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Faults {
    links: BTreeMap<IpAddr, LinkFault>,
}

pub(crate) async fn set_faults(State(admin): Admin, body: Bytes) -> Result<Json<Faults>, Problem> {
    let faults: Faults = serde_json::from_slice(&body).map_err(|e| {
        Problem::new(StatusCode::BAD_REQUEST, "bad_json", "the body does not decode")
            .detail(e.to_string())
    })?;
    admin.context.identity.faults.set(faults.links.clone());
    Ok(Json(faults))
}

pub(crate) async fn get_faults(State(admin): Admin) -> Json<Faults> {
    Json(Faults { links: admin.context.identity.faults.get() })
}
