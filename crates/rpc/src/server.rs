//! RPC server: accepts connections and dispatches requests to handlers.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::AsyncRead;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinError, JoinSet};
use tokio_util::sync::CancellationToken;
use tracing::{debug, error};

use crate::deferred::RawReplier;
use crate::frame::{ClientFrame, ServerBody, ServerFrame, encode, read};
use crate::router::{EncodedReply, Handler};
use crate::writer::{BUFFER_BYTES, QueuedFrame, WRITE_QUEUE_FRAMES, write_frames};
use crate::{Fault, LocalIdentity, Peer, Router, handshake};

/// Time allowed for the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time without a frame from the client after which a connection is closed; clients ping each
/// second.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Items of one stream that may wait for the connection's write queue.
const STREAM_QUEUE_ITEMS: usize = 64;

/// Accepts connections and runs request handlers.
#[derive(Debug)]
pub struct RpcServer {
    listener: TcpListener,
    identity: LocalIdentity,
    router: Arc<Router>,
}

impl RpcServer {
    /// Binds a listener to an address (port 0 for any free port).
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
        TcpListener::bind(address).await
    }

    /// Creates a server on a listener; connections are accepted only once [`RpcServer::run`] is
    /// called.
    #[must_use]
    pub fn new(listener: TcpListener, identity: LocalIdentity, router: Router) -> Self {
        Self { listener, identity, router: Arc::new(router) }
    }

    /// Serves until `stop` is cancelled, then closes the open connections.
    pub async fn run(self, stop: CancellationToken) {
        let mut connections = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => break,
                accepted = self.listener.accept() => accepted,
            };
            let Ok((stream, from)) = accepted else {
                // Most likely the process is out of file descriptors; wait until some are freed.
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            let (identity, router) = (self.identity.clone(), self.router.clone());
            connections.spawn(async move {
                if let Err(error) = serve(stream, from, identity, router).await {
                    debug!(%from, %error, "rpc connection closed");
                }
            });
            while connections.try_join_next().is_some() {}
        }
        connections.shutdown().await;
    }
}

async fn serve(
    mut stream: TcpStream,
    from: SocketAddr,
    identity: LocalIdentity,
    router: Arc<Router>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let handshake = handshake::accept(&mut stream, &identity, from.ip());
    let peer = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await??;
    let (reading, writing) = stream.into_split();
    let (queue, frames) = mpsc::channel(WRITE_QUEUE_FRAMES);
    let writer = tokio::spawn(write_frames(
        writing,
        frames,
        identity.faults.clone(),
        identity.traffic.clone(),
        from.ip(),
    ));
    let mut connection = Connection {
        peer,
        identity,
        router,
        replies: ReplySender { queue, bundles: Arc::default() },
        tasks: JoinSet::new(),
        running: HashMap::new(),
    };
    connection.replies.bundles = connection.identity.bundles.clone();
    let reader = tokio::io::BufReader::with_capacity(BUFFER_BYTES, reading);
    let result = connection.read_frames(reader).await;
    connection.tasks.shutdown().await;
    drop(connection);
    writer.abort();
    result
}

/// Queues the replies of one connection for its writer.
#[derive(Debug, Clone)]
pub(crate) struct ReplySender {
    pub(crate) queue: mpsc::Sender<QueuedFrame>,
    bundles: Arc<crate::BundleVersions>,
}

impl ReplySender {
    pub(crate) fn frame(&self, body: ServerBody) -> Option<QueuedFrame> {
        let frame = ServerFrame { bundle: self.bundles.advertised(), body };
        encode(&frame).ok().map(QueuedFrame::new)
    }

    async fn send(&self, body: ServerBody) -> bool {
        let Some(frame) = self.frame(body) else { return false };
        self.queue.send(frame).await.is_ok()
    }
}

/// Server side of a connection.
struct Connection {
    peer: Peer,
    identity: LocalIdentity,
    router: Arc<Router>,
    replies: ReplySender,
    tasks: JoinSet<u64>,
    running: HashMap<u64, AbortHandle>,
}

impl Connection {
    async fn read_frames<R: AsyncRead + Unpin>(&mut self, mut reader: R) -> io::Result<()> {
        loop {
            let traffic = self.identity.traffic.clone();
            let reading = read(&mut reader, &traffic);
            let frame = tokio::time::timeout(CLIENT_IDLE_TIMEOUT, reading).await??;
            while let Some(done) = self.tasks.try_join_next() {
                match done {
                    Ok(id) => drop(self.running.remove(&id)),
                    Err(error) => self.report_panic(&error).await,
                }
            }
            self.handle_frame(frame).await;
        }
    }

    async fn handle_frame(&mut self, frame: ClientFrame) {
        match frame {
            ClientFrame::Ping { bundle } => {
                self.identity.bundles.observe(bundle);
                self.replies.send(ServerBody::Pong).await;
            }
            ClientFrame::Cancel { id } => {
                if let Some(task) = self.running.remove(&id) {
                    task.abort();
                }
            }
            ClientFrame::Call { id, method, body } | ClientFrame::Open { id, method, body } => {
                match self.router.get(method).cloned() {
                    Some(handler) => self.start_handler(id, handler, body).await,
                    None => self.send_fault(id, Fault::NoHandler).await,
                }
            }
        }
    }

    /// Sends a fault for a handler that panicked. Cancelled handlers are not in `running` any more
    /// and need no reply.
    async fn report_panic(&mut self, error: &JoinError) {
        let found = self.running.iter().find(|(_, task)| task.id() == error.id());
        let Some(id) = found.map(|(id, _)| *id) else { return };
        self.running.remove(&id);
        error!(%error, "rpc handler panicked");
        self.send_fault(id, Fault::Failed("the handler panicked".to_owned())).await;
    }

    async fn send_fault(&self, id: u64, fault: Fault) {
        self.replies.send(ServerBody::Fault { id, fault }).await;
    }

    async fn start_handler(&mut self, id: u64, handler: Handler, body: Bytes) {
        let replies = self.replies.clone();
        let peer = self.peer.clone();
        let task = match handler {
            Handler::Inline(handler) => {
                replies.send(reply_body(id, handler(&peer, &body))).await;
                return;
            }
            Handler::Deferred(handler) => {
                handler(&peer, &body, RawReplier::new(id, replies));
                return;
            }
            Handler::Unary(handler) => self.tasks.spawn(async move {
                let reply = handler(peer, body).await;
                replies.send(reply_body(id, reply)).await;
                id
            }),
            Handler::Stream(handler) => self.tasks.spawn(async move {
                let (sink, items) = mpsc::channel(STREAM_QUEUE_ITEMS);
                let ((), result) =
                    tokio::join!(forward_items(id, items, &replies), handler(peer, body, sink));
                let last = match result {
                    Ok(()) => ServerBody::End { id },
                    Err(fault) => ServerBody::Fault { id, fault },
                };
                replies.send(last).await;
                id
            }),
        };
        self.running.insert(id, task);
    }
}

pub(crate) fn reply_body(id: u64, reply: EncodedReply) -> ServerBody {
    match reply {
        Ok(body) => ServerBody::Reply { id, body: body.into() },
        Err(fault) => ServerBody::Fault { id, fault },
    }
}

async fn forward_items(id: u64, mut items: mpsc::Receiver<Vec<u8>>, replies: &ReplySender) {
    while let Some(body) = items.recv().await {
        if !replies.send(ServerBody::Item { id, body: body.into() }).await {
            return;
        }
    }
}
