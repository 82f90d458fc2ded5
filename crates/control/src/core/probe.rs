//! Asks an engine over HTTP/1.1 who it is and how it is (docs/BACKENDS.md).

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hooklug_types::{EngineId, Incarnation, ServiceName, ServiceVersion};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;

/// Longest time for one exchange of probes (ours).
const EXCHANGE_TIME: Duration = Duration::from_millis(900);

/// Longest body accepted, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Why an endpoint gave no answer that can be used.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// Nobody listens there.
    #[error("connection refused")]
    Refused,
    /// No answer in time.
    #[error("no answer in time")]
    Timeout,
    /// The connection broke, or the answer is not whole.
    #[error("{0}")]
    Broken(String),
    /// The answer is not `200`.
    #[error("answered with status {0}")]
    Status(u16),
    /// The body is not what the contract says.
    #[error("the answer does not decode: {0}")]
    Decode(#[from] serde_json::Error),
}

/// What kind of back end an engine says that it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendKind {
    /// A model server, reached through its session-host engine.
    Model,
    /// An application engine.
    Application,
}

/// Answer to `GET /identity`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct BackendIdentity {
    /// Its service.
    pub service: ServiceName,
    /// Its engine id.
    pub engine: EngineId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Its version.
    pub version: ServiceVersion,
    /// Its kind.
    pub kind: BackendKind,
}

/// Answer to `GET /status`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct BackendStatus {
    /// Whether it can take work.
    pub ready: bool,
    /// Whether it takes no new work.
    pub draining: bool,
}

/// Who answers at an address, and how it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbeAnswer {
    /// Who.
    pub identity: BackendIdentity,
    /// How.
    pub status: BackendStatus,
}

/// Asks identity and status over one connection, so that both are of one process.
///
/// # Errors
/// [`HttpError`].
pub async fn probe(address: SocketAddr) -> Result<ProbeAnswer, HttpError> {
    let exchange = async {
        let mut sender = connect(address).await?;
        let identity = fetch(&mut sender, address, "/identity").await?;
        let status = fetch(&mut sender, address, "/status").await?;
        Ok(ProbeAnswer {
            identity: serde_json::from_slice(&identity)?,
            status: serde_json::from_slice(&status)?,
        })
    };
    tokio::time::timeout(EXCHANGE_TIME, exchange).await.unwrap_or(Err(HttpError::Timeout))
}

/// One `GET` over a connection of its own.
///
/// # Errors
/// [`HttpError`].
pub async fn get(address: SocketAddr, path: &str) -> Result<Bytes, HttpError> {
    let exchange = async {
        let mut sender = connect(address).await?;
        fetch(&mut sender, address, path).await
    };
    tokio::time::timeout(EXCHANGE_TIME, exchange).await.unwrap_or(Err(HttpError::Timeout))
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Empty<Bytes>>, HttpError> {
    let stream = TcpStream::connect(address).await.map_err(|e| match e.kind() {
        std::io::ErrorKind::ConnectionRefused => HttpError::Refused,
        _ => HttpError::Broken(e.to_string()),
    })?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(|e| broken(&e))?;
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
        .map_err(|e| HttpError::Broken(e.to_string()))?;
    sender.ready().await.map_err(|e| broken(&e))?;
    let response = sender.send_request(request).await.map_err(|e| broken(&e))?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_BODY_BYTES);
    let body = body.collect().await.map_err(|e| HttpError::Broken(e.to_string()))?.to_bytes();
    if status == http::StatusCode::OK { Ok(body) } else { Err(HttpError::Status(status.as_u16())) }
}

fn broken(error: &hyper::Error) -> HttpError {
    HttpError::Broken(error.to_string())
}
