//! The opening side: one connection a peer address, reused by all calls.

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

use crate::connection::{Connection, OpenError, READER_QUEUE_ITEMS, Registration, Waiter};
use crate::{LocalIdentity, Peer, RpcError};

/// Longest time to open a connection.
const CONNECT_TIME: Duration = Duration::from_secs(2);

/// Time in which an address is not tried again after a peer there did not complete the hello (ours):
/// such a peer costs a connection each time, and will hardly think better of it sooner.
pub const HELLO_PAUSE: Duration = Duration::from_millis(200);

/// What is known of one address.
#[derive(Default)]
struct Line {
    connection: Option<Arc<Connection>>,
    /// Newest run that had been seen there when the connection was open.
    newest_run: Option<Incarnation>,
    /// Until when the address is not tried, and why.
    paused: Option<(Instant, String)>,
}

impl Line {
    /// The open connection, or a new one.
    async fn connection(
        &mut self,
        to: SocketAddr,
        identity: &LocalIdentity,
    ) -> Result<Arc<Connection>, String> {
        let newest_run = identity.runs.at(to.ip());
        let is_open = |c: &&Arc<Connection>| !c.is_closed() && newest_run <= self.newest_run;
        if let Some(connection) = self.connection.as_ref().filter(is_open) {
            return Ok(connection.clone());
        }
        if let Some((until, reason)) = &self.paused
            && Instant::now() < *until
        {
            return Err(reason.clone());
        }
        match Connection::open(to, identity).await {
            Ok(connection) => {
                self.paused = None;
                self.newest_run = identity.runs.at(to.ip());
                Ok(self.connection.insert(connection).clone())
            }
            Err(error) => {
                let reason = error.to_string();
                let is_hello = matches!(error, OpenError::Hello(_));
                self.paused = is_hello.then(|| (Instant::now() + HELLO_PAUSE, reason.clone()));
                Err(reason)
            }
        }
    }
}

type Slot = Arc<Mutex<Line>>;

/// Calls peers by address. Cheap to clone; clones share connections.
#[derive(Clone)]
pub struct RpcClient {
    identity: LocalIdentity,
    slots: Arc<std::sync::Mutex<HashMap<SocketAddr, Slot>>>,
}

impl std::fmt::Debug for RpcClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RpcClient")
            .field("from", &self.identity.address.rpc)
            .finish_non_exhaustive()
    }
}

impl RpcClient {
    /// A client that speaks for an identity.
    #[must_use]
    pub fn new(identity: LocalIdentity) -> Self {
        Self { identity, slots: Arc::default() }
    }

    /// Who this client speaks for.
    #[must_use]
    pub fn identity(&self) -> &LocalIdentity {
        &self.identity
    }

    /// Calls a peer and waits for its reply until the deadline.
    ///
    /// # Errors
    /// [`RpcError`]; only `NotSent` says that the peer has not seen the call.
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
            let _registration = connection.send(R::METHOD, body, Waiter::Call(waiter)).await?;
            reply.await.map_err(|_| RpcError::ConnectionLost)?
        };
        let bytes =
            timeout_at(deadline, exchange).await.map_err(|_| RpcError::DeadlineExceeded)??;
        decode(&bytes)
    }

    /// Opens a stream; the deadline is for the opening only.
    ///
    /// # Errors
    /// [`RpcError`]; only `NotSent` says that the peer has not seen the request.
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
        let registration =
            timeout_at(deadline, sending).await.map_err(|_| RpcError::DeadlineExceeded)??;
        Ok(ItemStream {
            items,
            connection,
            _registration: registration,
            item: std::marker::PhantomData,
        })
    }

    /// Who answers at an address, connecting if need be.
    ///
    /// # Errors
    /// `NotSent` when no connection could be had.
    pub async fn peer(&self, to: SocketAddr, deadline: Instant) -> Result<Peer, RpcError> {
        Ok(self.connection(to, deadline).await?.peer.clone())
    }

    /// Drops the connection to an address; calls under way on it go on until it is unused.
    pub fn forget(&self, to: SocketAddr) {
        self.slots.lock().unwrap_or_else(std::sync::PoisonError::into_inner).remove(&to);
    }

    async fn connection(
        &self,
        to: SocketAddr,
        deadline: Instant,
    ) -> Result<Arc<Connection>, RpcError> {
        let slot = {
            let mut slots = self.slots.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            slots.entry(to).or_default().clone()
        };
        let deadline = deadline.min(Instant::now() + CONNECT_TIME);
        let opening = async { slot.lock().await.connection(to, &self.identity).await };
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

/// Items of an open stream. Dropping it cancels the stream.
pub struct ItemStream<T> {
    items: mpsc::Receiver<Result<Bytes, RpcError>>,
    connection: Arc<Connection>,
    _registration: Registration,
    item: std::marker::PhantomData<fn() -> T>,
}

impl<T> std::fmt::Debug for ItemStream<T> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ItemStream").field("peer", &self.connection.peer).finish_non_exhaustive()
    }
}

impl<T: DeserializeOwned> ItemStream<T> {
    /// The next item; `None` when the peer ended the stream.
    ///
    /// # Errors
    /// `ConnectionLost` when the connection broke before the end, `SlowReader` when the stream was cut.
    pub async fn next(&mut self) -> Result<Option<T>, RpcError> {
        match self.items.recv().await {
            Some(Ok(bytes)) => decode(&bytes).map(Some),
            Some(Err(error)) => Err(error),
            None if self.connection.is_closed() => Err(RpcError::ConnectionLost),
            None => Ok(None),
        }
    }
}
