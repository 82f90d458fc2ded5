//! Errors of the operators' API, as `application/problem+json` (docs/API.md).

use axum::response::{IntoResponse, Response};
use hooklug_bundle::ValidationError;
use hooklug_store::Unavailable;
use http::{StatusCode, header};
use serde_json::{Value, json};

/// An error response of the operators' API.
#[derive(Debug, Clone)]
pub(crate) struct Problem {
    status: StatusCode,
    code: &'static str,
    title: &'static str,
    detail: String,
    field: Option<String>,
    extra: Vec<(&'static str, Value)>,
}

impl Problem {
    pub(crate) fn new(status: StatusCode, code: &'static str, title: &'static str) -> Self {
        Self { status, code, title, detail: String::new(), field: None, extra: Vec::new() }
    }

    pub(crate) fn detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    pub(crate) fn field(mut self, field: impl Into<String>) -> Self {
        self.field = Some(field.into());
        self
    }

    pub(crate) fn with(mut self, key: &'static str, value: impl Into<Value>) -> Self {
        self.extra.push((key, value.into()));
        self
    }

    pub(crate) fn not_found(code: &'static str, title: &'static str) -> Self {
        Self::new(StatusCode::NOT_FOUND, code, title)
    }

    pub(crate) fn bad_field(field: &str, detail: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, "bad_field", "a field is not valid")
            .field(field)
            .detail(detail)
    }

    pub(crate) fn invalid_bundle(errors: &[ValidationError]) -> Self {
        let list: Vec<Value> =
            errors.iter().map(|e| json!({"path": e.path, "message": e.message})).collect();
        Self::new(StatusCode::UNPROCESSABLE_ENTITY, "invalid_bundle", "the bundle is not valid")
            .detail(format!("{} errors", list.len()))
            .with("faults", list)
    }
}

impl From<Unavailable> for Problem {
    /// Reports that the outcome is unknown: a command may have been applied or may still be
    /// applied. The caller can send the same request again.
    fn from(error: Unavailable) -> Self {
        Self::new(StatusCode::SERVICE_UNAVAILABLE, "try_again", "the stores cannot be reached")
            .detail(error.to_string())
            .with("outcome", "try_again")
            .with("retry_after_ms", 1_000)
    }
}

impl IntoResponse for Problem {
    fn into_response(self) -> Response {
        let mut body = json!({
            "type": "about:blank",
            "title": self.title,
            "status": self.status.as_u16(),
            "code": self.code,
        });
        if let Value::Object(fields) = &mut body {
            if !self.detail.is_empty() {
                fields.insert("detail".to_owned(), self.detail.into());
            }
            if let Some(field) = self.field {
                fields.insert("field".to_owned(), field.into());
            }
            fields.extend(self.extra.into_iter().map(|(key, value)| (key.to_owned(), value)));
        }
        let headers = [(header::CONTENT_TYPE, "application/problem+json")];
        (self.status, headers, body.to_string()).into_response()
    }
}
