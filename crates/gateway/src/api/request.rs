//! Extractors of all handlers: the admitted request with its path, and the fields of its body.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use axum::extract::{FromRequest, FromRequestParts, RawPathParams, Request};
use hooklug_types::{CallId, ProgramId, SessionKey};
use http::request::Parts;
use tokio::time::Instant;

use super::admission::RequestContext;
use super::body::{Fields, path_id};
use super::problem::{Code, Problem};
use super::refusals::RETRY_SOON;
use crate::shared::Shared;

/// An admitted request without its body.
#[derive(Debug)]
pub(crate) struct ApiRequest {
    /// State of the gateway.
    pub(crate) shared: Arc<Shared>,
    /// The bundle that applies to the request, and the caller.
    pub(crate) context: RequestContext,
    /// Arrival time; deadlines start here and include reading the body.
    pub(crate) received_at: Instant,
    params: RawPathParams,
}

impl ApiRequest {
    /// Parses an identifier of the path.
    ///
    /// # Errors
    /// `bad_id`.
    pub(crate) fn id<T: FromStr<Err: fmt::Display>>(&self, name: &str) -> Result<T, Problem> {
        path_id(&self.params, name)
    }

    /// Returns the path's program if it belongs to the caller.
    ///
    /// # Errors
    /// `bad_id`, `no_program`, or `try_again` when its shard cannot be read.
    pub(crate) async fn own_program(&self) -> Result<ProgramId, Problem> {
        let program = self.id("program")?;
        self.shared.own_program(&self.context.caller, &program).await?;
        Ok(program)
    }

    /// Returns the path's session if its program belongs to the caller.
    ///
    /// # Errors
    /// As for [`Self::own_program`].
    pub(crate) async fn own_session(&self) -> Result<SessionKey, Problem> {
        let session = self.id("session")?;
        Ok(SessionKey { program: self.own_program().await?, session })
    }

    /// Returns the path's call if its program belongs to the caller.
    ///
    /// # Errors
    /// As for [`Self::own_program`].
    pub(crate) async fn own_call(&self) -> Result<(ProgramId, CallId), Problem> {
        let call = self.id("call")?;
        Ok((self.own_program().await?, call))
    }
}

impl FromRequestParts<Arc<Shared>> for ApiRequest {
    type Rejection = Problem;

    async fn from_request_parts(parts: &mut Parts, shared: &Arc<Shared>) -> Result<Self, Problem> {
        let params = RawPathParams::from_request_parts(parts, shared).await;
        let params =
            params.map_err(|error| Problem::field(Code::BadId, "path", error.to_string()))?;
        let context = parts.extensions.get::<RequestContext>().cloned();
        let context = context
            .ok_or_else(|| Problem::try_again("the request was not admitted", RETRY_SOON))?;
        Ok(Self { shared: shared.clone(), context, received_at: Instant::now(), params })
    }
}

impl FromRequest<Arc<Shared>> for Fields {
    type Rejection = Problem;

    async fn from_request(request: Request, shared: &Arc<Shared>) -> Result<Self, Problem> {
        let (parts, body) = request.into_parts();
        Self::read(&parts.headers, body, shared.body_limit()).await
    }
}
