//! Queries the identity and status of an engine over HTTP/1.1 (docs/BACKENDS.md).

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hooklug_protocol::control::{ProbeOutcome, ProbeResult, ProbedEngine};
use hooklug_types::{EngineId, Incarnation, ServiceName, ServiceVersion};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tracing::debug;

/// Timeout of one probe or request.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(900);

/// Maximum size of a response body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Why an endpoint gave no usable response.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The connection was refused.
    #[error("connection refused")]
    Refused,
    /// No response before the timeout.
    #[error("request timed out")]
    Timeout,
    /// The connection failed, or the response is incomplete.
    #[error("{0}")]
    Connection(String),
    /// The status of the response is not `200`.
    #[error("response has status {0}, expected 200")]
    Status(u16),
    /// The body does not match the contract.
    #[error("cannot decode the response: {0}")]
    Decode(#[from] serde_json::Error),
}

/// The kind of backend that an endpoint reports to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum BackendKind {
    /// A model server, reached through its session-host engine.
    Model,
    /// An application engine.
    Application,
}

/// Response to `GET /identity`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
struct BackendIdentity {
    /// The service that it belongs to.
    service: ServiceName,
    /// Its engine id.
    engine: EngineId,
    /// The incarnation of its process.
    incarnation: Incarnation,
    /// Its version.
    version: ServiceVersion,
    /// Its kind.
    kind: BackendKind,
}

/// Response to `GET /status`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
struct BackendStatus {
    /// Whether it can accept work.
    ready: bool,
    /// Whether it accepts no new work.
    draining: bool,
}

/// Queries identity and status over one connection, so that both describe the same process.
pub async fn probe(address: SocketAddr) -> ProbeOutcome {
    let request = tokio::time::timeout(EXCHANGE_TIMEOUT, query(address)).await;
    let result = match request.unwrap_or(Err(HttpError::Timeout)) {
        Ok(result) => result,
        Err(HttpError::Refused) => ProbeResult::Refused,
        Err(error) => {
            debug!(%address, %error, "probe failed");
            ProbeResult::NoAnswer
        }
    };
    ProbeOutcome { address, result }
}

async fn query(address: SocketAddr) -> Result<ProbeResult, HttpError> {
    let mut sender = connect(address).await?;
    let identity: BackendIdentity =
        serde_json::from_slice(&fetch(&mut sender, address, "/identity").await?)?;
    if identity.kind != BackendKind::Application {
        return Ok(ProbeResult::Other);
    }
    let status: BackendStatus =
        serde_json::from_slice(&fetch(&mut sender, address, "/status").await?)?;
    Ok(ProbeResult::Engine(ProbedEngine {
        engine: identity.engine,
        incarnation: identity.incarnation,
        service: identity.service,
        version: identity.version,
        ready: status.ready,
        draining: status.draining,
    }))
}

/// Sends one `GET` request over a new connection and returns the body.
///
/// # Errors
/// [`HttpError`] if there is no usable response.
pub async fn get(address: SocketAddr, path: &str) -> Result<Bytes, HttpError> {
    let request = async {
        let mut sender = connect(address).await?;
        fetch(&mut sender, address, path).await
    };
    tokio::time::timeout(EXCHANGE_TIMEOUT, request).await.unwrap_or(Err(HttpError::Timeout))
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Empty<Bytes>>, HttpError> {
    let stream = TcpStream::connect(address).await.map_err(|e| match e.kind() {
        std::io::ErrorKind::ConnectionRefused => HttpError::Refused,
        _ => HttpError::Connection(e.to_string()),
    })?;
    let (sender, connection) =
        handshake(TokioIo::new(stream)).await.map_err(|e| connection_error(&e))?;
    // The connection ends when its sender is dropped.
    tokio::spawn(connection);
    Ok(sender)
}

async fn fetch(
    sender: &mut SendRequest<Empty<Bytes>>,
    address: SocketAddr,
    path: &str,
) -> Result<Bytes, HttpError> {
    let request = http::Request::get(path)
        .header(http::header::HOST, address.to_string())
        .body(Empty::new())
        .map_err(|e| HttpError::Connection(e.to_string()))?;
    sender.ready().await.map_err(|e| connection_error(&e))?;
    let response = sender.send_request(request).await.map_err(|e| connection_error(&e))?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_BODY_BYTES);
    let body = body.collect().await.map_err(|e| HttpError::Connection(e.to_string()))?.to_bytes();
    if status == http::StatusCode::OK { Ok(body) } else { Err(HttpError::Status(status.as_u16())) }
}

fn connection_error(error: &hyper::Error) -> HttpError {
    HttpError::Connection(error.to_string())
}
