//! Client of the gateways' API (see `docs/API.md`). It retries a request at the next gateway while
//! the outcome is unknown.

mod error;
mod sse;
mod stream;
mod turns;
mod views;

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::http::{Answer, HttpClient, HttpRequest};
use error::into_success;
pub use error::{CallerError, Problem};
pub use sse::{SseError, SseParser, StreamEvent};
pub use stream::{EventStream, Transcript};
pub use turns::TurnRequest;
pub use views::{CallAnswer, CallView, ProgramView, SessionView, ToolResultPosition, TurnView};

/// Time after which a request is no longer retried.
const RETRY_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Reference to a session by program and name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionRef {
    /// Program of the session.
    pub program: String,
    /// Name of the session, unique in its program.
    pub session: String,
}

impl SessionRef {
    /// Creates a reference to a session.
    #[must_use]
    pub fn new(program: &str, session: &str) -> Self {
        Self { program: program.to_owned(), session: session.to_owned() }
    }

    fn path(&self) -> String {
        format!("/v1/programs/{}/sessions/{}", self.program, self.session)
    }
}

/// Request body of a tool call.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct CallRequest {
    /// Name of the tool.
    pub tool: String,
    /// Arguments of the call.
    pub arguments: Value,
    /// `Some(false)` makes the call non-repeatable even on a route with repeatable calls.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub repeat: Option<bool>,
    /// Deadline of the call, in milliseconds.
    pub deadline_ms: u64,
}

impl CallRequest {
    /// Creates a call with the repeatability of its route and a deadline of 5 s.
    #[must_use]
    pub fn new(tool: &str, arguments: Value) -> Self {
        Self { tool: tool.to_owned(), arguments, repeat: None, deadline_ms: 5_000 }
    }
}

/// API client for one tenant. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Caller {
    gateways: Vec<SocketAddr>,
    tenant: String,
    http: HttpClient,
}

impl Caller {
    /// Creates a client for these gateways; there must be at least one.
    #[must_use]
    pub fn new(gateways: Vec<SocketAddr>, tenant: &str) -> Self {
        Self { gateways, tenant: tenant.to_owned(), http: HttpClient::default() }
    }

    fn gateway(&self, index: usize) -> SocketAddr {
        self.gateways[index % self.gateways.len()]
    }

    fn with_tenant(&self, request: HttpRequest) -> HttpRequest {
        request.header("x-hooklug-tenant", self.tenant.clone())
    }

    /// Sends a request to one gateway, without retries.
    ///
    /// # Errors
    /// When the response is a problem or does not arrive.
    pub async fn send_once(
        &self,
        gateway: usize,
        request: &HttpRequest,
    ) -> Result<Answer, CallerError> {
        let response =
            self.http.send(self.gateway(gateway), &self.with_tenant(request.clone())).await?;
        into_success(response)
    }

    /// Sends a request, and retries it at the next gateway while the error is retryable.
    ///
    /// # Errors
    /// A permanent error, or the last error when the retry time is over.
    pub async fn send_with_retries(
        &self,
        mut gateway: usize,
        request: &HttpRequest,
    ) -> Result<Answer, CallerError> {
        let deadline = Instant::now() + RETRY_TIMEOUT;
        loop {
            match self.send_once(gateway, request).await {
                Err(error) if error.is_retryable() && Instant::now() < deadline => {
                    gateway += 1;
                    sleep(RETRY_DELAY).await;
                }
                done => return done,
            }
        }
    }

    async fn request_json<T: DeserializeOwned>(
        &self,
        gateway: usize,
        request: HttpRequest,
    ) -> Result<T, CallerError> {
        let response = self.send_with_retries(gateway, &request).await?;
        serde_json::from_slice(&response.body)
            .map_err(|e| CallerError::ContractViolation(e.to_string()))
    }

    /// Declares a program with its token budget and end time.
    ///
    /// # Errors
    /// A permanent error, or the last error when the retry time is over.
    pub async fn put_program(
        &self,
        gateway: usize,
        program: &str,
        token_budget: u64,
        end_time_ms: u64,
    ) -> Result<ProgramView, CallerError> {
        let body = json!({"token_budget": token_budget, "end_time_ms": end_time_ms});
        self.request_json(
            gateway,
            HttpRequest::json(Method::PUT, format!("/v1/programs/{program}"), &body),
        )
        .await
    }

    /// Reads a program.
    ///
    /// # Errors
    /// A permanent error, or the last error when the retry time is over.
    pub async fn program(&self, gateway: usize, program: &str) -> Result<ProgramView, CallerError> {
        self.request_json(gateway, HttpRequest::new(Method::GET, format!("/v1/programs/{program}")))
            .await
    }

    /// Opens a session.
    ///
    /// # Errors
    /// A permanent error, or the last error when the retry time is over.
    pub async fn open_session(
        &self,
        gateway: usize,
        session: &SessionRef,
        model: &str,
        prefix: Option<&str>,
    ) -> Result<SessionView, CallerError> {
        let mut body = json!({"model": model});
        if let Some(prefix) = prefix {
            body["prefix"] = prefix.into();
        }
        self.request_json(gateway, HttpRequest::json(Method::PUT, session.path(), &body)).await
    }

    /// Reads a session.
    ///
    /// # Errors
    /// A permanent error, or the last error when the retry time is over.
    pub async fn session(
        &self,
        gateway: usize,
        session: &SessionRef,
    ) -> Result<SessionView, CallerError> {
        self.request_json(gateway, HttpRequest::new(Method::GET, session.path())).await
    }

    /// Closes a session.
    ///
    /// # Errors
    /// A permanent error, or the last error when the retry time is over.
    pub async fn close_session(
        &self,
        gateway: usize,
        session: &SessionRef,
    ) -> Result<SessionView, CallerError> {
        self.request_json(gateway, HttpRequest::new(Method::DELETE, session.path())).await
    }

    /// Reads a turn.
    ///
    /// # Errors
    /// A permanent error, or the last error when the retry time is over.
    pub async fn turn(
        &self,
        gateway: usize,
        session: &SessionRef,
        turn: &str,
    ) -> Result<TurnView, CallerError> {
        let path = format!("{}/turns/{turn}", session.path());
        self.request_json(gateway, HttpRequest::new(Method::GET, path)).await
    }

    /// Aborts a turn.
    ///
    /// # Errors
    /// A permanent error, or the last error when the retry time is over.
    pub async fn abort_turn(
        &self,
        gateway: usize,
        session: &SessionRef,
        turn: &str,
    ) -> Result<TurnView, CallerError> {
        let path = format!("{}/turns/{turn}/abort", session.path());
        self.request_json(gateway, HttpRequest::new(Method::POST, path)).await
    }

    /// Sends the result of a tool call to its session.
    ///
    /// # Errors
    /// A permanent error, or the last error when the retry time is over.
    pub async fn send_tool_result(
        &self,
        gateway: usize,
        session: &SessionRef,
        call: &str,
        result: &Value,
    ) -> Result<ToolResultPosition, CallerError> {
        let body = json!({"call": call, "result": result});
        let path = format!("{}/tool-results", session.path());
        self.request_json(gateway, HttpRequest::json(Method::POST, path, &body)).await
    }

    /// Makes a call. A call that is sent again with the same id and content gets the same response.
    ///
    /// # Errors
    /// A permanent error, or the last error when the retry time is over; `call_unknown` when the
    /// application's response was lost.
    pub async fn call(
        &self,
        gateway: usize,
        program: &str,
        call: &str,
        request: &CallRequest,
    ) -> Result<CallAnswer, CallerError> {
        let request =
            HttpRequest::json(Method::PUT, format!("/v1/programs/{program}/calls/{call}"), request);
        let response = self.send_with_retries(gateway, &request).await?;
        let body = serde_json::from_slice(&response.body)
            .map_err(|e| CallerError::ContractViolation(e.to_string()))?;
        Ok(CallAnswer { status: response.status.as_u16(), body })
    }

    /// Reads the state of a non-repeatable call.
    ///
    /// # Errors
    /// A permanent error, or the last error when the retry time is over.
    pub async fn call_state(
        &self,
        gateway: usize,
        program: &str,
        call: &str,
    ) -> Result<CallView, CallerError> {
        let path = format!("/v1/programs/{program}/calls/{call}");
        self.request_json(gateway, HttpRequest::new(Method::GET, path)).await
    }

    /// Seals a call, so that it never runs unless it has started already.
    ///
    /// # Errors
    /// A permanent error, or the last error when the retry time is over.
    pub async fn seal_call(
        &self,
        gateway: usize,
        program: &str,
        call: &str,
        request: &CallRequest,
    ) -> Result<CallView, CallerError> {
        let body = json!({"tool": request.tool, "arguments": request.arguments});
        let path = format!("/v1/programs/{program}/calls/{call}/seal");
        self.request_json(gateway, HttpRequest::json(Method::POST, path, &body)).await
    }
}
