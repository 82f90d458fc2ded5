//! An HTTP/1.1 connection to the model server whose identity was read when it was opened.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use super::identity::BackendIdentity;

/// Longest time to open a connection and read the identity, or to read another JSON document.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of a JSON response body in bytes.
const MAX_JSON_BYTES: usize = 64 << 10;

/// Why opening a connection or a request on it failed.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The connection could not be opened.
    #[error("cannot connect: {0}")]
    Io(#[from] std::io::Error),
    /// The HTTP exchange failed.
    #[error("HTTP exchange failed: {0}")]
    Http(#[from] hyper::Error),
    /// No response arrived before the timeout.
    #[error("the model server did not respond in time")]
    TimedOut,
    /// The response does not conform to the backend protocol.
    #[error("response does not conform to the backend protocol: {0}")]
    Contract(String),
}

/// An open connection. Dropping it closes it, which aborts a generation that runs on it.
#[derive(Debug)]
pub struct ModelConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    identity: BackendIdentity,
}

impl Drop for ModelConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl ModelConnection {
    /// Opens a connection and reads the server's identity.
    ///
    /// # Errors
    /// When the server does not respond in time or violates the backend protocol.
    pub async fn open(address: SocketAddr) -> Result<Self, ConnectError> {
        timeout(CONNECT_TIMEOUT, Self::connect(address))
            .await
            .map_err(|_| ConnectError::TimedOut)?
    }

    async fn connect(address: SocketAddr) -> Result<Self, ConnectError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "connection to the model server closed with an error");
            }
        })
        .abort_handle();
        match read_json(&mut sender, address, "/identity").await {
            Ok(identity) => Ok(Self { sender, driver, identity }),
            Err(error) => {
                driver.abort();
                Err(error)
            }
        }
    }

    /// The server's identity, read when the connection was opened.
    #[must_use]
    pub fn identity(&self) -> &BackendIdentity {
        &self.identity
    }

    /// Whether a request can be sent now.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Reads a small JSON document.
    ///
    /// # Errors
    /// When no complete, valid response arrives in time.
    pub async fn get<T: DeserializeOwned>(
        &mut self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, ConnectError> {
        timeout(CONNECT_TIMEOUT, read_json(&mut self.sender, address, path))
            .await
            .map_err(|_| ConnectError::TimedOut)?
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// When the connection fails first.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, hyper::Error> {
        self.sender.ready().await?;
        self.sender.send_request(request).await
    }
}

async fn read_json<T: DeserializeOwned>(
    sender: &mut SendRequest<Full<Bytes>>,
    address: SocketAddr,
    path: &str,
) -> Result<T, ConnectError> {
    let request = Request::get(path)
        .header(http::header::HOST, address.to_string())
        .body(Full::default())
        .map_err(|e| ConnectError::Contract(e.to_string()))?;
    sender.ready().await?;
    let response = sender.send_request(request).await?;
    if response.status() != StatusCode::OK {
        return Err(ConnectError::Contract(format!("{path} returned {}", response.status())));
    }
    let body = Limited::new(response.into_body(), MAX_JSON_BYTES)
        .collect()
        .await
        .map_err(|e| ConnectError::Contract(format!("{path}: {e}")))?;
    serde_json::from_slice(&body.to_bytes())
        .map_err(|e| ConnectError::Contract(format!("{path}: {e}")))
}
