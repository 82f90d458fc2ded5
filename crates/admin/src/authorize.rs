//! Authorization of operators by key. Operators' keys are separate from callers' keys.

use std::sync::Arc;

use axum::extract::{Request, State};
use axum::middleware::Next;
use axum::response::{IntoResponse, Response};
use hooklug_types::Digest;
use http::{HeaderMap, StatusCode, header};
use subtle::{Choice, ConstantTimeEq};

use crate::AdminContext;
use crate::problem::Problem;

/// Middleware that admits requests with an operator's key. Without keys in the settings, the API is
/// open on loopback addresses only.
pub(crate) async fn authorize(
    State(admin): State<Arc<AdminContext>>,
    request: Request,
    next: Next,
) -> Response {
    let settings = &admin.context.settings;
    let digests = &settings.operators.admin_key_digests;
    let allowed = if digests.is_empty() {
        settings.http.ip().is_loopback()
    } else {
        has_valid_key(request.headers(), digests)
    };
    if allowed {
        return next.run(request).await;
    }
    Problem::new(StatusCode::UNAUTHORIZED, "unauthorized", "an operator's key is needed")
        .detail("send authorization: Bearer KEY")
        .into_response()
}

/// Whether the request carries a valid key. Compares with every digest, each in constant time.
fn has_valid_key(headers: &HeaderMap, digests: &[String]) -> bool {
    let value = headers.get(header::AUTHORIZATION).and_then(|v| v.to_str().ok());
    let Some(key) = value.and_then(|v| v.strip_prefix("Bearer ")) else { return false };
    let own = Digest::of(key.as_bytes()).to_string();
    let matches = digests
        .iter()
        .fold(Choice::from(0), |found, digest| found | own.as_bytes().ct_eq(digest.as_bytes()));
    matches.into()
}
