//! Pool of HTTP/1.1 connections to backends.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
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

/// Longest time to open a connection. A request that waits for it has not been sent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest time that an idle connection stays open, and the default if the backend sends no limit.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Fraction of the backend's idle timeout after which a connection is no longer reused: a request
/// sent while the backend closes the connection is lost.
const IDLE_SHARE: f64 = 0.6;

/// A connection could not be opened; no byte of a request was written.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("cannot connect to {address}: {reason}")]
pub struct ConnectError {
    /// Address of the backend.
    pub address: SocketAddr,
    /// The error of the operating system.
    pub reason: String,
}

/// Identifies a connection within its pool; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionId(u64);

/// An open connection, used by one request at a time.
#[derive(Debug)]
pub struct Connection {
    /// Identity of the connection.
    pub id: ConnectionId,
    /// Request sender of the connection.
    pub sender: SendRequest<Full<Bytes>>,
    backend: EngineId,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// Pool of idle connections by backend.
#[derive(Debug, Default)]
pub struct Connections {
    idle: Mutex<HashMap<EngineId, Vec<Idle>>>,
    next_id: AtomicU64,
}

impl Connections {
    /// Returns an idle connection, or opens a new one.
    ///
    /// `used` names the connections that have carried the request before, which are not returned: a
    /// backend may send an earlier response once more, in place of the next one, and the request id
    /// would not tell the two apart.
    ///
    /// # Errors
    /// [`ConnectError`] if no connection could be opened in time.
    pub async fn get(
        &self,
        backend: &EngineId,
        address: SocketAddr,
        used: &[ConnectionId],
        deadline: Instant,
    ) -> Result<Connection, ConnectError> {
        while let Some(mut connection) = self.take_idle(backend, used) {
            if connection.sender.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        let failed = |reason: String| ConnectError { address, reason };
        let until = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let id = ConnectionId(self.next_id.fetch_add(1, Ordering::Relaxed));
        match timeout_at(until, open(id, backend, address)).await {
            Ok(opened) => opened.map_err(|error| failed(error.to_string())),
            Err(_) => Err(failed("timed out".to_owned())),
        }
    }

    /// Returns a connection to the pool after a complete response.
    pub fn put_back(&self, connection: Connection, idle_time: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        let allowed = idle_time.map_or(IDLE_TIME, |allowed| allowed.mul_f64(IDLE_SHARE));
        let until = Instant::now() + allowed.min(IDLE_TIME);
        let backend = connection.backend.clone();
        self.lock().entry(backend).or_default().push(Idle { connection, until });
    }

    /// Closes connections that have been idle for too long or whose backend is no longer listed.
    pub fn sweep(&self, is_listed: impl Fn(&EngineId) -> bool) {
        let now = Instant::now();
        self.lock().retain(|backend, connections| {
            connections.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
            !connections.is_empty() && is_listed(backend)
        });
    }

    /// Takes the most recently used idle connection that is not in `used`; it is the most likely to
    /// be still open.
    fn take_idle(&self, backend: &EngineId, used: &[ConnectionId]) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.lock();
        let connections = idle.get_mut(backend)?;
        connections.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
        let unused = connections.iter().rposition(|idle| !used.contains(&idle.connection.id))?;
        Some(connections.remove(unused).connection)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<EngineId, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn open(
    id: ConnectionId,
    backend: &EngineId,
    address: SocketAddr,
) -> Result<Connection, Box<dyn std::error::Error + Send + Sync>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, driver) = handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move {
        if let Err(error) = driver.await {
            debug!(%error, "connection to a backend closed with an error");
        }
    });
    sender.ready().await?;
    Ok(Connection { id, sender, backend: backend.clone() })
}
