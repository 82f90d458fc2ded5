//! Client side of a connection, shared by all calls to a peer.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hooklug_protocol::Method;
use tokio::io::BufReader;
use tokio::net::TcpSocket;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::frame::{ClientFrame, ServerBody, ServerFrame, encode, read};
use crate::writer::{BUFFER_BYTES, QueuedFrame, WRITE_QUEUE_FRAMES, write_frames};
use crate::{Fault, LocalIdentity, Peer, RpcError, handshake};

/// Interval between pings on an open connection.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a frame from the server after which the connection is closed.
const SERVER_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Items of one stream that may wait for its reader before the stream is closed.
pub(crate) const READER_QUEUE_ITEMS: usize = 1024;

/// Channel that delivers replies or items to the caller.
pub(crate) enum Waiter {
    Call(oneshot::Sender<Result<Bytes, RpcError>>),
    Stream(mpsc::Sender<Result<Bytes, RpcError>>),
}

type Waiters = Arc<Mutex<HashMap<u64, Waiter>>>;

/// An open connection to a peer. Dropping the last handle closes it.
pub(crate) struct Connection {
    pub(crate) peer: Peer,
    queue: mpsc::Sender<QueuedFrame>,
    waiters: Waiters,
    next_id: AtomicU64,
    closed: CancellationToken,
    _closing: DropGuard,
}

fn lock(waiters: &Waiters) -> std::sync::MutexGuard<'_, HashMap<u64, Waiter>> {
    waiters.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Reason why a connection could not be opened.
#[derive(Debug, thiserror::Error)]
pub(crate) enum OpenError {
    /// No TCP connection could be established.
    #[error(transparent)]
    Connect(#[from] io::Error),
    /// The peer accepted the connection but failed the handshake.
    #[error("hello: {0}")]
    Handshake(#[source] io::Error),
}

impl Connection {
    /// Connects from this node's own IP address and performs the handshake.
    pub(crate) async fn open(
        to: SocketAddr,
        identity: &LocalIdentity,
    ) -> Result<Arc<Self>, OpenError> {
        identity.faults.wait_until_restored(to.ip()).await;
        let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        let own = identity.address.rpc.ip();
        if own.is_ipv4() == to.is_ipv4() && !own.is_unspecified() {
            socket.bind(SocketAddr::new(own, 0))?;
        }
        let mut stream = socket.connect(to).await?;
        stream.set_nodelay(true)?;
        let handshake = handshake::connect(&mut stream, identity, to.ip()).await;
        let peer = handshake.map_err(OpenError::Handshake)?;
        let (reading, writing) = stream.into_split();
        let (queue, frames) = mpsc::channel(WRITE_QUEUE_FRAMES);
        let closed = CancellationToken::new();
        let waiters = Waiters::default();
        let connection = Arc::new(Self {
            peer,
            queue: queue.clone(),
            waiters: waiters.clone(),
            next_id: AtomicU64::new(1),
            closed: closed.clone(),
            _closing: closed.clone().drop_guard(),
        });
        let writer = write_frames(
            writing,
            frames,
            identity.faults.clone(),
            identity.traffic.clone(),
            to.ip(),
        );
        let reader = read_frames(reading, waiters.clone(), identity.clone());
        let pinger = ping(queue, identity.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = closed.cancelled() => {}
                _ = writer => {}
                _ = reader => {}
                () = pinger => {}
            }
            closed.cancel();
            // Closes the waiters' channels, so that they report `ConnectionLost`.
            lock(&waiters).clear();
        });
        Ok(connection)
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.closed.is_cancelled()
    }

    /// Sends a request and registers the waiter for its reply.
    pub(crate) async fn send(
        self: &Arc<Self>,
        method: Method,
        body: Bytes,
        waiter: Waiter,
    ) -> Result<PendingRequest, RpcError> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let frame = match waiter {
            Waiter::Call(_) => ClientFrame::Call { id, method, body },
            Waiter::Stream(_) => ClientFrame::Open { id, method, body },
        };
        let bytes = encode(&frame).map_err(|e| RpcError::NotSent(e.to_string()))?;
        lock(&self.waiters).insert(id, waiter);
        let pending = PendingRequest { connection: self.clone(), id };
        if self.is_closed() {
            return Err(RpcError::NotSent("connection closed".to_owned()));
        }
        let sent = self.queue.send(QueuedFrame::new(bytes)).await;
        sent.map_err(|_| RpcError::NotSent("connection closed".to_owned()))?;
        Ok(pending)
    }
}

/// A request in flight. Dropping it before the reply has arrived cancels the request at the peer.
pub(crate) struct PendingRequest {
    connection: Arc<Connection>,
    id: u64,
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if lock(&self.connection.waiters).remove(&self.id).is_none() {
            return;
        }
        if let Ok(bytes) = encode(&ClientFrame::Cancel { id: self.id }) {
            let _ = self.connection.queue.try_send(QueuedFrame::new(bytes));
        }
    }
}

async fn ping(queue: mpsc::Sender<QueuedFrame>, identity: LocalIdentity) {
    loop {
        let frame = ClientFrame::Ping { bundle: identity.bundles.advertised() };
        let Ok(bytes) = encode(&frame) else { return };
        if queue.send(QueuedFrame::new(bytes)).await.is_err() {
            return;
        }
        tokio::time::sleep(PING_INTERVAL).await;
    }
}

async fn read_frames(
    half: OwnedReadHalf,
    waiters: Waiters,
    identity: LocalIdentity,
) -> io::Result<()> {
    let mut reader = BufReader::with_capacity(BUFFER_BYTES, half);
    loop {
        let reading = read(&mut reader, &identity.traffic);
        let frame: ServerFrame = tokio::time::timeout(SERVER_IDLE_TIMEOUT, reading).await??;
        identity.bundles.observe(frame.bundle);
        deliver(&waiters, frame.body);
    }
}

fn deliver(waiters: &Waiters, body: ServerBody) {
    match body {
        ServerBody::Pong => {}
        ServerBody::Reply { id, body } => finish(waiters, id, Ok(body)),
        ServerBody::Fault { id, fault } => finish(waiters, id, Err(fault)),
        ServerBody::End { id } => drop(lock(waiters).remove(&id)),
        ServerBody::Item { id, body } => {
            let mut waiters = lock(waiters);
            let Some(Waiter::Stream(items)) = waiters.get(&id) else { return };
            // The last slot is reserved for the `SlowReader` error.
            if items.capacity() > 1 {
                let _ = items.try_send(Ok(body));
            } else {
                let _ = items.try_send(Err(RpcError::SlowReader));
                waiters.remove(&id);
            }
        }
    }
}

fn finish(waiters: &Waiters, id: u64, reply: Result<Bytes, Fault>) {
    let reply = reply.map_err(RpcError::Fault);
    match lock(waiters).remove(&id) {
        Some(Waiter::Call(waiter)) => drop(waiter.send(reply)),
        Some(Waiter::Stream(items)) => drop(items.try_send(reply)),
        None => {}
    }
}
