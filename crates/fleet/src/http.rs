//! A small HTTP client for JSON requests with timeouts and for streamed responses.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

/// Default timeout of a request.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);

/// Error of an HTTP request.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The connection failed; the server may have received the request.
    #[error("request to {to} failed: {reason}")]
    Connection {
        /// Address of the server.
        to: SocketAddr,
        /// Description of the failure.
        reason: String,
    },
    /// The request timed out; the server may have received it.
    #[error("request to {to} timed out")]
    TimedOut {
        /// Address of the server.
        to: SocketAddr,
    },
    /// The response has an unexpected status.
    #[error("{to} responded with status {status}: {body}")]
    Status {
        /// Address of the server.
        to: SocketAddr,
        /// Status of the response.
        status: u16,
        /// Body of the response.
        body: String,
    },
    /// The body can't be decoded, or the request can't be built.
    #[error("invalid request to or response from {to}: {reason}")]
    Body {
        /// Address of the server.
        to: SocketAddr,
        /// Description of the failure.
        reason: String,
    },
}

/// A complete response.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Address of the server.
    pub from: SocketAddr,
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// Decodes the JSON body of a successful response.
    ///
    /// # Errors
    /// When the status is not a success, or the body can't be decoded.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, HttpError> {
        if !self.status.is_success() {
            let body = String::from_utf8_lossy(&self.body).into_owned();
            return Err(HttpError::Status { to: self.from, status: self.status.as_u16(), body });
        }
        serde_json::from_slice(&self.body)
            .map_err(|e| HttpError::Body { to: self.from, reason: e.to_string() })
    }
}

/// An HTTP request, without the address of the server.
#[derive(Debug, Clone)]
pub struct HttpRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Additional headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body; empty if there is none.
    pub body: Bytes,
}

impl HttpRequest {
    /// Creates a request without a body.
    #[must_use]
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self { method, path: path.into(), headers: Vec::new(), body: Bytes::new() }
    }

    /// Creates a request with a JSON body.
    #[must_use]
    pub fn json<T: Serialize>(method: Method, path: impl Into<String>, body: &T) -> Self {
        let body = serde_json::to_vec(body).unwrap_or_default().into();
        Self { body, ..Self::new(method, path) }.header("content-type", "application/json")
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

/// HTTP client; its clones share one connection pool.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(2)));
        Self { client: Client::builder(TokioExecutor::new()).build(connector) }
    }
}

impl HttpClient {
    /// Sends a request and reads the complete response, with the default timeout.
    ///
    /// # Errors
    /// [`HttpError`] when no complete response arrives in time. Any status counts as a response.
    pub async fn send(&self, to: SocketAddr, request: &HttpRequest) -> Result<Answer, HttpError> {
        self.send_with_timeout(to, request, DEFAULT_TIMEOUT).await
    }

    /// Sends a request and reads the complete response within a timeout.
    ///
    /// # Errors
    /// [`HttpError`] when no complete response arrives in time. Any status counts as a response.
    pub async fn send_with_timeout(
        &self,
        to: SocketAddr,
        request: &HttpRequest,
        time: Duration,
    ) -> Result<Answer, HttpError> {
        let exchange = async {
            let (parts, body) = self.send_request(to, request).await?.into_parts();
            let body = body.collect().await.map_err(|e| connection_error(to, &e))?.to_bytes();
            Ok(Answer { from: to, status: parts.status, headers: parts.headers, body })
        };
        timeout(time, exchange).await.map_err(|_| HttpError::TimedOut { to })?
    }

    /// Sends a request and returns the response with its body unread, so that the caller can stream
    /// it.
    ///
    /// # Errors
    /// [`HttpError`] when no response headers arrive in time. Any status counts as a response.
    pub async fn open(
        &self,
        to: SocketAddr,
        request: &HttpRequest,
    ) -> Result<Response<Incoming>, HttpError> {
        let sent = timeout(DEFAULT_TIMEOUT, self.send_request(to, request)).await;
        sent.map_err(|_| HttpError::TimedOut { to })?
    }

    async fn send_request(
        &self,
        to: SocketAddr,
        request: &HttpRequest,
    ) -> Result<Response<Incoming>, HttpError> {
        let mut builder = Request::builder()
            .method(request.method.clone())
            .uri(format!("http://{to}{}", request.path))
            .header(header::HOST, to.to_string());
        for (name, value) in &request.headers {
            builder = builder.header(*name, value);
        }
        let outgoing = builder
            .body(Full::new(request.body.clone()))
            .map_err(|e| HttpError::Body { to, reason: e.to_string() })?;
        self.client.request(outgoing).await.map_err(|e| connection_error(to, &e))
    }
}

fn connection_error(to: SocketAddr, error: &dyn std::error::Error) -> HttpError {
    let mut reason = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        reason = format!("{reason}: {cause}");
        source = cause.source();
    }
    HttpError::Connection { to, reason }
}
