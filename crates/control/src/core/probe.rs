//! Asks an engine over HTTP/1.1 who it is and how it is (docs/BACKENDS.md).

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hooklug_protocol::control::{ProbeFinding, ProbeOutcome, ProbedEngine};
use hooklug_types::{EngineId, Incarnation, ServiceName, ServiceVersion};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tracing::debug;

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
enum BackendKind {
    /// A model server, reached through its session-host engine.
    Model,
    /// An application engine.
    Application,
}

/// Answer to `GET /identity`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
struct BackendIdentity {
    /// Its service.
    service: ServiceName,
    /// Its engine id.
    engine: EngineId,
    /// Its run.
    incarnation: Incarnation,
    /// Its version.
    version: ServiceVersion,
    /// Its kind.
    kind: BackendKind,
}

/// Answer to `GET /status`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
struct BackendStatus {
    /// Whether it can take work.
    ready: bool,
    /// Whether it takes no new work.
    draining: bool,
}

/// Asks identity and status over one connection, so that both are of one process.
pub async fn probe(address: SocketAddr) -> ProbeOutcome {
    let exchange = tokio::time::timeout(EXCHANGE_TIME, ask(address)).await;
    let finding = match exchange.unwrap_or(Err(HttpError::Timeout)) {
        Ok(finding) => finding,
        Err(HttpError::Refused) => ProbeFinding::Refused,
        Err(error) => {
            debug!(%address, %error, "probe without an answer");
            ProbeFinding::NoAnswer
        }
    };
    ProbeOutcome { address, finding }
}

async fn ask(address: SocketAddr) -> Result<ProbeFinding, HttpError> {
    let mut sender = connect(address).await?;
    let identity: BackendIdentity =
        serde_json::from_slice(&fetch(&mut sender, address, "/identity").await?)?;
    if identity.kind != BackendKind::Application {
        return Ok(ProbeFinding::Other);
    }
    let status: BackendStatus =
        serde_json::from_slice(&fetch(&mut sender, address, "/status").await?)?;
    Ok(ProbeFinding::Engine(ProbedEngine {
        engine: identity.engine,
        incarnation: identity.incarnation,
        service: identity.service,
        version: identity.version,
        ready: status.ready,
        draining: status.draining,
    }))
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
