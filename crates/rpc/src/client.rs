//! RPC client: keeps one connection per peer address, shared by all calls.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hooklug_protocol::{Request, StreamRequest};
use hooklug_types::Incarnation;
use serde::de::DeserializeOwned;
use tokio::sync::{Mutex, mpsc, oneshot};
use tokio::time::{Instant, timeout_at};

use crate::connection::{Connection, OpenError, PendingRequest, READER_QUEUE_ITEMS, Waiter};
use crate::{LocalIdentity, Peer, RpcError};

/// Timeout for opening a connection, handshake included.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay before an address is tried again after its peer failed the handshake. Each attempt costs a
/// connection, and such a peer is unlikely to accept the next one sooner.
pub const HANDSHAKE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Connection state of one peer address.
#[derive(Default)]
struct AddressState {
    connection: Option<Arc<Connection>>,
    /// Newest incarnation known at the address when the connection was opened.
    newest_incarnation: Option<Incarnation>,
    /// When the address may be tried again, and why its handshake failed.
    retry_after: Option<(Instant, String)>,
}

impl AddressState {
    /// Returns the open connection, or opens one. A connection is replaced once a newer incarnation
    /// has been seen at the address.
    async fn connection(
        &mut self,
        to: SocketAddr,
        identity: &LocalIdentity,
    ) -> Result<Arc<Connection>, String> {
        let newest_incarnation = identity.newest_incarnations.newest_at(to.ip());
        let is_open =
            |c: &&Arc<Connection>| !c.is_closed() && newest_incarnation <= self.newest_incarnation;
        if let Some(connection) = self.connection.as_ref().filter(is_open) {
            return Ok(connection.clone());
        }
        if let Some((until, reason)) = &self.retry_after
            && Instant::now() < *until
        {
            return Err(reason.clone());
        }
        match Connection::open(to, identity).await {
            Ok(connection) => {
                self.retry_after = None;
                self.newest_incarnation = identity.newest_incarnations.newest_at(to.ip());
                Ok(self.connection.insert(connection).clone())
            }
            Err(error) => {
                let reason = error.to_string();
                let is_handshake = matches!(error, OpenError::Handshake(_));
                self.retry_after =
                    is_handshake.then(|| (Instant::now() + HANDSHAKE_RETRY_DELAY, reason.clone()));
                Err(reason)
            }
        }
    }
}

type SharedAddressState = Arc<Mutex<AddressState>>;

/// Sends calls to peers by address. Cheap to clone; clones share connections.
#[derive(Clone)]
pub struct RpcClient {
    identity: LocalIdentity,
    addresses: Arc<std::sync::Mutex<HashMap<SocketAddr, SharedAddressState>>>,
}

impl std::fmt::Debug for RpcClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RpcClient")
            .field("from", &self.identity.address.rpc)
            .finish_non_exhaustive()
    }
}

impl RpcClient {
    /// Creates a client that authenticates as the given identity.
    #[must_use]
    pub fn new(identity: LocalIdentity) -> Self {
        Self { identity, addresses: Arc::default() }
    }

    /// Identity that this client authenticates as.
    #[must_use]
    pub fn identity(&self) -> &LocalIdentity {
        &self.identity
    }

    /// Calls a peer and waits for its reply until the deadline.
    ///
    /// # Errors
    /// Only [`RpcError::NotSent`] guarantees that the peer has not received the call.
    pub async fn call<R: Request>(
        &self,
        to: SocketAddr,
        request: &R,
        deadline: Instant,
    ) -> Result<R::Reply, RpcError> {
        let body = encode(request)?;
        let connection = self.connection(to, deadline).await?;
        let (waiter, reply) = oneshot::channel();
        let exchange = async {
            let _pending = connection.send(R::METHOD, body, Waiter::Call(waiter)).await?;
            reply.await.map_err(|_| RpcError::ConnectionLost)?
        };
        let bytes =
            timeout_at(deadline, exchange).await.map_err(|_| RpcError::DeadlineExceeded)??;
        decode(&bytes)
    }

    /// Opens a stream; the deadline applies to sending the request only.
    ///
    /// # Errors
    /// Only [`RpcError::NotSent`] guarantees that the peer has not received the request.
    pub async fn open<R: StreamRequest>(
        &self,
        to: SocketAddr,
        request: &R,
        deadline: Instant,
    ) -> Result<ItemStream<R::Item>, RpcError> {
        let body = encode(request)?;
        let connection = self.connection(to, deadline).await?;
        let (sink, items) = mpsc::channel(READER_QUEUE_ITEMS);
        let sending = connection.send(R::METHOD, body, Waiter::Stream(sink));
        let pending =
            timeout_at(deadline, sending).await.map_err(|_| RpcError::DeadlineExceeded)??;
        Ok(ItemStream { items, connection, _pending: pending, item: std::marker::PhantomData })
    }

    /// Returns the authenticated peer at an address, connecting if necessary.
    ///
    /// # Errors
    /// [`RpcError::NotSent`] when no connection can be opened.
    pub async fn peer(&self, to: SocketAddr, deadline: Instant) -> Result<Peer, RpcError> {
        Ok(self.connection(to, deadline).await?.peer.clone())
    }

    /// Drops the client's connection to an address; calls in flight on it still complete.
    pub fn forget(&self, to: SocketAddr) {
        self.addresses.lock().unwrap_or_else(std::sync::PoisonError::into_inner).remove(&to);
    }

    async fn connection(
        &self,
        to: SocketAddr,
        deadline: Instant,
    ) -> Result<Arc<Connection>, RpcError> {
        let state = {
            let mut addresses =
                self.addresses.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            addresses.entry(to).or_default().clone()
        };
        let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let opening = async { state.lock().await.connection(to, &self.identity).await };
        let opened = timeout_at(deadline, opening)
            .await
            .map_err(|_| RpcError::NotSent(format!("no connection to {to} in time")))?;
        opened.map_err(|e| RpcError::NotSent(format!("no connection to {to}: {e}")))
    }
}

fn encode<T: serde::Serialize>(request: &T) -> Result<Bytes, RpcError> {
    postcard::to_stdvec(request).map(Bytes::from).map_err(|e| RpcError::NotSent(e.to_string()))
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, RpcError> {
    postcard::from_bytes(bytes).map_err(|e| RpcError::Decode(e.to_string()))
}

/// Receiver of an open stream's items. Dropping it cancels the stream.
pub struct ItemStream<T> {
    items: mpsc::Receiver<Result<Bytes, RpcError>>,
    connection: Arc<Connection>,
    _pending: PendingRequest,
    item: std::marker::PhantomData<fn() -> T>,
}

impl<T> std::fmt::Debug for ItemStream<T> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ItemStream").field("peer", &self.connection.peer).finish_non_exhaustive()
    }
}

impl<T: DeserializeOwned> ItemStream<T> {
    /// Waits for the next item; `None` when the peer ended the stream.
    ///
    /// # Errors [`RpcError::ConnectionLost`] when the connection closed before the end of the
    /// stream, and [`RpcError::SlowReader`] when the stream was closed because its items were not
    /// read fast enough.
    pub async fn next(&mut self) -> Result<Option<T>, RpcError> {
        match self.items.recv().await {
            Some(Ok(bytes)) => decode(&bytes).map(Some),
            Some(Err(error)) => Err(error),
            None if self.connection.is_closed() => Err(RpcError::ConnectionLost),
            None => Ok(None),
        }
    }
}
