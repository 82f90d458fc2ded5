//! Connection pool for application engines, keyed by engine run.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hooklug_rpc::LinkFaults;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::Instant;
use tracing::debug;

use super::identity::{IDENTITY_PATH, Identity, MAX_IDENTITY_BYTES};
use super::{EngineRun, Target};

/// Timeout for opening a connection and verifying the engine's identity.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum number of idle connections per engine run.
const MAX_IDLE_PER_RUN: usize = 64;

/// Why no connection was established; no byte of a request was written.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The connection could not be opened.
    #[error("cannot connect: {0}")]
    Connect(String),
    /// Another process listens at the address.
    #[error("the endpoint at {0} did not report the expected engine identity")]
    OtherIdentity(SocketAddr),
}

/// An open connection to an engine run whose identity was verified.
#[derive(Debug)]
pub struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// Idle connections by engine run.
#[derive(Debug)]
pub struct Pool {
    idle: Mutex<HashMap<EngineRun, Vec<IdleConnection>>>,
    own_ip: IpAddr,
    faults: Arc<LinkFaults>,
}

impl Pool {
    /// Creates an empty pool; connections are opened from the node's own address.
    #[must_use]
    pub fn new(own_ip: IpAddr, faults: Arc<LinkFaults>) -> Self {
        Self { idle: Mutex::default(), own_ip, faults }
    }

    /// Waits while an injected fault blocks the link to an address, as a network that drops packets
    /// would.
    pub async fn wait_for_link(&self, ip: IpAddr) {
        self.faults.wait_until_restored(ip).await;
        let delay = self.faults.delay_to(ip);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }

    /// Returns a connection that is ready for a request: an idle one, or a new one after verifying
    /// the engine's identity.
    ///
    /// # Errors
    /// [`ConnectError`] when neither is available in time.
    pub async fn get(
        &self,
        target: &Target,
        deadline: Instant,
    ) -> Result<Connection, ConnectError> {
        let until = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        while let Some(mut connection) = self.take_idle(&target.run) {
            let ready = tokio::time::timeout_at(until, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Ok(connection);
            }
        }
        let opened = tokio::time::timeout_at(until, self.open(target)).await;
        opened.map_err(|_| {
            ConnectError::Connect(
                "timed out while connecting or verifying the engine's identity".to_owned(),
            )
        })?
    }

    /// Returns a connection to the pool after a complete response.
    pub fn put_back(&self, run: &EngineRun, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.lock();
        let connections = idle.entry(run.clone()).or_default();
        if connections.len() < MAX_IDLE_PER_RUN {
            connections.push(IdleConnection { connection, since: Instant::now() });
        }
    }

    /// Closes connections that have been idle too long or belong to runs that the view no longer
    /// lists.
    pub fn sweep(&self, is_listed: impl Fn(&EngineRun) -> bool) {
        let now = Instant::now();
        self.lock().retain(|run, connections| {
            connections.retain(|idle| now.duration_since(idle.since) < IDLE_TIMEOUT);
            !connections.is_empty() && is_listed(run)
        });
    }

    fn take_idle(&self, run: &EngineRun) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.lock();
        let connections = idle.get_mut(run)?;
        // The most recently used connection is the most likely to be open still.
        while let Some(found) = connections.pop() {
            if now.duration_since(found.since) < IDLE_TIMEOUT
                && !found.connection.sender.is_closed()
            {
                return Some(found.connection);
            }
        }
        None
    }

    async fn open(&self, target: &Target) -> Result<Connection, ConnectError> {
        let stream = self.connect(target.address).await?;
        let (mut sender, driver) =
            handshake(TokioIo::new(stream)).await.map_err(|e| connect_error(&e))?;
        tokio::spawn(async move {
            if let Err(error) = driver.await {
                debug!(%error, "connection to an application engine failed");
            }
        });
        let identity = fetch_identity(&mut sender, target.address).await?;
        if !identity.matches(target) {
            metrics::counter!("hooklug_gateway_identity_mismatches_total").increment(1);
            return Err(ConnectError::OtherIdentity(target.address));
        }
        sender.ready().await.map_err(|e| connect_error(&e))?;
        Ok(Connection { sender })
    }

    async fn connect(&self, to: SocketAddr) -> Result<TcpStream, ConnectError> {
        self.wait_for_link(to.ip()).await;
        let socket = if to.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
        let socket = socket.map_err(|e| connect_error(&e))?;
        if self.own_ip.is_ipv4() == to.is_ipv4() && !self.own_ip.is_unspecified() {
            socket.bind(SocketAddr::new(self.own_ip, 0)).map_err(|e| connect_error(&e))?;
        }
        let stream = socket.connect(to).await.map_err(|e| connect_error(&e))?;
        stream.set_nodelay(true).map_err(|e| connect_error(&e))?;
        Ok(stream)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<EngineRun, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn connect_error(error: &dyn std::error::Error) -> ConnectError {
    ConnectError::Connect(error.to_string())
}

async fn fetch_identity(
    sender: &mut SendRequest<Full<Bytes>>,
    address: SocketAddr,
) -> Result<Identity, ConnectError> {
    let request = Request::get(IDENTITY_PATH)
        .header(header::HOST, address.to_string())
        .body(Full::new(Bytes::new()))
        .map_err(|e| connect_error(&e))?;
    let response = sender.send_request(request).await.map_err(|e| connect_error(&e))?;
    if response.status() != StatusCode::OK {
        return Err(ConnectError::OtherIdentity(address));
    }
    let body = Limited::new(response.into_body(), MAX_IDENTITY_BYTES).collect().await;
    let bytes = body.map_err(|e| ConnectError::Connect(e.to_string()))?.to_bytes();
    serde_json::from_slice(&bytes).map_err(|_| ConnectError::OtherIdentity(address))
}
