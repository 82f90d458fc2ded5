//! The accepting side.

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
use crate::router::{Encoded, Handler};
use crate::writer::{BUFFER_BYTES, Outgoing, WRITE_QUEUE_FRAMES, write_frames};
use crate::{Fault, LocalIdentity, Peer, Router, handshake};

/// Time a peer has to prove the cluster secret.
const HELLO_TIME: Duration = Duration::from_secs(5);

/// Silence after which the other end of a connection counts as gone; clients ping each second.
const CLIENT_SILENCE: Duration = Duration::from_secs(30);

/// Items of one stream that may wait for the connection's writer.
const STREAM_QUEUE_ITEMS: usize = 64;

/// Accepts connections and runs handlers.
#[derive(Debug)]
pub struct RpcServer {
    listener: TcpListener,
    identity: LocalIdentity,
    router: Arc<Router>,
}

impl RpcServer {
    /// Listens on an address (port 0 for any).
    ///
    /// # Errors
    /// When the address cannot be had.
    pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
        TcpListener::bind(address).await
    }

    /// A server on a listener; nothing is accepted before [`RpcServer::run`].
    #[must_use]
    pub fn new(listener: TcpListener, identity: LocalIdentity, router: Router) -> Self {
        Self { listener, identity, router: Arc::new(router) }
    }

    /// Serves until stopped; open connections are then closed.
    pub async fn run(self, stop: CancellationToken) {
        let mut connections = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => break,
                accepted = self.listener.accept() => accepted,
            };
            let Ok((stream, from)) = accepted else {
                // Out of descriptors, most likely: give the rest of the process time to free some.
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            let (identity, router) = (self.identity.clone(), self.router.clone());
            connections.spawn(async move {
                if let Err(error) = serve(stream, from, identity, router).await {
                    debug!(%from, %error, "rpc connection ended");
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
    let hello = handshake::accept(&mut stream, &identity, from.ip());
    let peer = tokio::time::timeout(HELLO_TIME, hello).await??;
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
        answers: Answers { queue, bundles: Arc::default() },
        tasks: JoinSet::new(),
        running: HashMap::new(),
    };
    connection.answers.bundles = connection.identity.bundles.clone();
    let reader = tokio::io::BufReader::with_capacity(BUFFER_BYTES, reading);
    let ended = connection.read_frames(reader).await;
    connection.tasks.shutdown().await;
    drop(connection);
    writer.abort();
    ended
}

/// Where replies of one connection go.
#[derive(Debug, Clone)]
pub(crate) struct Answers {
    pub(crate) queue: mpsc::Sender<Outgoing>,
    bundles: Arc<crate::BundleNews>,
}

impl Answers {
    pub(crate) fn frame(&self, body: ServerBody) -> Option<Outgoing> {
        let frame = ServerFrame { bundle: self.bundles.named(), body };
        encode(&frame).ok().map(Outgoing::new)
    }

    async fn send(&self, body: ServerBody) -> bool {
        let Some(frame) = self.frame(body) else { return false };
        self.queue.send(frame).await.is_ok()
    }
}

struct Connection {
    peer: Peer,
    identity: LocalIdentity,
    router: Arc<Router>,
    answers: Answers,
    tasks: JoinSet<u64>,
    running: HashMap<u64, AbortHandle>,
}

impl Connection {
    async fn read_frames<R: AsyncRead + Unpin>(&mut self, mut reader: R) -> io::Result<()> {
        loop {
            let traffic = self.identity.traffic.clone();
            let reading = read(&mut reader, &traffic);
            let frame = tokio::time::timeout(CLIENT_SILENCE, reading).await??;
            while let Some(done) = self.tasks.try_join_next() {
                match done {
                    Ok(id) => drop(self.running.remove(&id)),
                    Err(error) => self.failed(&error).await,
                }
            }
            self.handle(frame).await;
        }
    }

    async fn handle(&mut self, frame: ClientFrame) {
        match frame {
            ClientFrame::Ping { bundle } => {
                self.identity.bundles.saw(bundle);
                self.answers.send(ServerBody::Pong).await;
            }
            ClientFrame::Cancel { id } => {
                if let Some(task) = self.running.remove(&id) {
                    task.abort();
                }
            }
            ClientFrame::Call { id, method, body } | ClientFrame::Open { id, method, body } => {
                match self.router.get(method).cloned() {
                    Some(handler) => self.start(id, handler, body).await,
                    None => self.fault(id, Fault::NoHandler).await,
                }
            }
        }
    }

    /// A handler that panicked has sent no answer; one that was cancelled is not waited for any more.
    async fn failed(&mut self, error: &JoinError) {
        let found = self.running.iter().find(|(_, task)| task.id() == error.id());
        let Some(id) = found.map(|(id, _)| *id) else { return };
        self.running.remove(&id);
        error!(%error, "a handler panicked");
        self.fault(id, Fault::Failed("the handler panicked".to_owned())).await;
    }

    async fn fault(&self, id: u64, fault: Fault) {
        self.answers.send(ServerBody::Fault { id, fault }).await;
    }

    async fn start(&mut self, id: u64, handler: Handler, body: Bytes) {
        let answers = self.answers.clone();
        let peer = self.peer.clone();
        let task = match handler {
            Handler::Inline(handler) => {
                answers.send(reply_body(id, handler(&peer, &body))).await;
                return;
            }
            Handler::Deferred(handler) => {
                handler(&peer, &body, RawReplier::new(id, answers));
                return;
            }
            Handler::Unary(handler) => self.tasks.spawn(async move {
                let reply = handler(peer, body).await;
                answers.send(reply_body(id, reply)).await;
                id
            }),
            Handler::Stream(handler) => self.tasks.spawn(async move {
                let (sink, items) = mpsc::channel(STREAM_QUEUE_ITEMS);
                let ((), ended) =
                    tokio::join!(forward_items(id, items, &answers), handler(peer, body, sink));
                let last = match ended {
                    Ok(()) => ServerBody::End { id },
                    Err(fault) => ServerBody::Fault { id, fault },
                };
                answers.send(last).await;
                id
            }),
        };
        self.running.insert(id, task);
    }
}

pub(crate) fn reply_body(id: u64, reply: Encoded) -> ServerBody {
    match reply {
        Ok(body) => ServerBody::Reply { id, body: body.into() },
        Err(fault) => ServerBody::Fault { id, fault },
    }
}

async fn forward_items(id: u64, mut items: mpsc::Receiver<Vec<u8>>, answers: &Answers) {
    while let Some(body) = items.recv().await {
        if !answers.send(ServerBody::Item { id, body: body.into() }).await {
            return;
        }
    }
}
