//! Open connections to back ends, kept by back end and used again.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hooklug_types::EngineId;
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};
use tracing::debug;

/// Longest time to open a connection (ours); a request that waits for it has not been sent.
const CONNECT_TIME: Duration = Duration::from_millis(400);

/// How long an unused connection is kept when its back end does not say (ours).
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Part of the rest that a back end allows after which a connection is not used again (ours): what is sent as the
/// back end closes is lost.
const IDLE_SHARE: f64 = 0.6;

/// No connection could be had; not one byte of a request was written.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("cannot connect to {address}: {reason}")]
pub struct ConnectError {
    /// The address.
    pub address: SocketAddr,
    /// The system's words.
    pub reason: String,
}

/// An open connection that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests.
    pub sender: SendRequest<Full<Bytes>>,
    backend: EngineId,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// Unused connections by back end.
#[derive(Debug, Default)]
pub struct Connections {
    idle: Mutex<HashMap<EngineId, Vec<Idle>>>,
}

impl Connections {
    /// An unused connection, else a new one.
    ///
    /// # Errors
    /// [`ConnectError`] when none could be opened in time.
    pub async fn get(
        &self,
        backend: &EngineId,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<Connection, ConnectError> {
        while let Some(mut connection) = self.take_idle(backend) {
            if connection.sender.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        let failed = |reason: String| ConnectError { address, reason };
        let until = deadline.min(Instant::now() + CONNECT_TIME);
        match timeout_at(until, open(backend, address)).await {
            Ok(opened) => opened.map_err(|error| failed(error.to_string())),
            Err(_) => Err(failed("not in time".to_owned())),
        }
    }

    /// Takes a connection back after a whole answer.
    pub fn put_back(&self, connection: Connection, idle_time: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        let allowed = idle_time.map_or(IDLE_TIME, |allowed| allowed.mul_f64(IDLE_SHARE));
        let until = Instant::now() + allowed.min(IDLE_TIME);
        let backend = connection.backend.clone();
        self.lock().entry(backend).or_default().push(Idle { connection, until });
    }

    /// Closes what has been unused for long, or leads to back ends that are not listed any more.
    pub fn sweep(&self, is_listed: impl Fn(&EngineId) -> bool) {
        let now = Instant::now();
        self.lock().retain(|backend, kept| {
            kept.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
            !kept.is_empty() && is_listed(backend)
        });
    }

    /// The unused connection that was used last; it is the likeliest to be open still.
    fn take_idle(&self, backend: &EngineId) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.lock();
        let kept = idle.get_mut(backend)?;
        while let Some(found) = kept.pop() {
            if found.until > now && !found.connection.sender.is_closed() {
                return Some(found.connection);
            }
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<EngineId, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn open(
    backend: &EngineId,
    address: SocketAddr,
) -> Result<Connection, Box<dyn std::error::Error + Send + Sync>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, driver) = handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move {
        if let Err(error) = driver.await {
            debug!(%error, "connection to a back end ended");
        }
    });
    sender.ready().await?;
    Ok(Connection { sender, backend: backend.clone() })
}
