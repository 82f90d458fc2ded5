//! Registry of typed request handlers by method.

use std::collections::BTreeMap;
use std::future::Future;
use std::sync::Arc;

use bytes::Bytes;
use futures::future::BoxFuture;
use hooklug_protocol::{Method, Request, StreamRequest};
use serde::Serialize;
use tokio::sync::mpsc;

use crate::deferred::{RawReplier, Replier};
use crate::{Fault, Peer};

/// Result of a handler: the encoded reply, or a fault.
pub(crate) type EncodedReply = Result<Vec<u8>, Fault>;
type UnaryHandler = Arc<dyn Fn(Peer, Bytes) -> BoxFuture<'static, EncodedReply> + Send + Sync>;
type InlineHandler = Arc<dyn Fn(&Peer, &[u8]) -> EncodedReply + Send + Sync>;
type DeferredHandler = Arc<dyn Fn(&Peer, &[u8], RawReplier) + Send + Sync>;
type StreamHandler =
    Arc<dyn Fn(Peer, Bytes, RawSink) -> BoxFuture<'static, Result<(), Fault>> + Send + Sync>;

/// Channel for the encoded items of one stream.
pub(crate) type RawSink = mpsc::Sender<Vec<u8>>;

#[derive(Clone)]
pub(crate) enum Handler {
    Unary(UnaryHandler),
    Inline(InlineHandler),
    Deferred(DeferredHandler),
    Stream(StreamHandler),
}

/// Sends the items of a stream to its receiver.
#[derive(Debug)]
pub struct ItemSink<T> {
    sink: RawSink,
    item: std::marker::PhantomData<fn(T)>,
}

/// Error of [`ItemSink::send`]: the receiver has cancelled the stream or disconnected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the stream's receiver has disconnected")]
pub struct ReceiverDisconnected;

impl<T: Serialize> ItemSink<T> {
    /// Sends one item; waits while the connection's write queue is full.
    ///
    /// # Errors
    /// When the receiver has cancelled the stream or its connection has closed.
    pub async fn send(&self, item: &T) -> Result<(), ReceiverDisconnected> {
        let bytes = postcard::to_stdvec(item).map_err(|_| ReceiverDisconnected)?;
        self.sink.send(bytes).await.map_err(|_| ReceiverDisconnected)
    }

    /// Waits until the receiver has cancelled the stream or disconnected.
    pub async fn closed(&self) {
        self.sink.closed().await;
    }
}

/// Request handlers of one process, by method.
#[derive(Clone, Default)]
pub struct Router {
    handlers: BTreeMap<Method, Handler>,
}

impl std::fmt::Debug for Router {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_list().entries(self.handlers.keys()).finish()
    }
}

impl Router {
    /// Creates a router without handlers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a handler. Each request runs in its own task, which is aborted when the caller cancels.
    #[must_use]
    pub fn route<R, F, Fut>(mut self, handler: F) -> Self
    where
        R: Request,
        F: Fn(Peer, R) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = R::Reply> + Send + 'static,
    {
        let handler = Arc::new(handler);
        let unary: UnaryHandler = Arc::new(move |peer, body| {
            let handler = handler.clone();
            Box::pin(async move {
                let request = decode::<R>(&body)?;
                encode_reply(&handler(peer, request).await)
            })
        });
        self.handlers.insert(R::METHOD, Handler::Unary(unary));
        self
    }

    /// Adds a handler that runs in the connection's read loop, in order of arrival. It must not
    /// block.
    #[must_use]
    pub fn route_inline<R, F>(mut self, handler: F) -> Self
    where
        R: Request,
        F: Fn(&Peer, R) -> R::Reply + Send + Sync + 'static,
    {
        let inline: InlineHandler = Arc::new(move |peer, body| {
            let request = decode::<R>(body)?;
            encode_reply(&handler(peer, request))
        });
        self.handlers.insert(R::METHOD, Handler::Inline(inline));
        self
    }

    /// Adds a handler that runs in the connection's read loop and replies later, from any thread.
    /// It must not block, and it is not notified when the caller cancels.
    #[must_use]
    pub fn route_deferred<R, F>(mut self, handler: F) -> Self
    where
        R: Request,
        F: Fn(&Peer, R, Replier<R::Reply>) + Send + Sync + 'static,
    {
        let deferred: DeferredHandler =
            Arc::new(move |peer, body, mut replier| match decode::<R>(body) {
                Ok(request) => handler(peer, request, Replier::new(replier)),
                Err(fault) => replier.fail(fault),
            });
        self.handlers.insert(R::METHOD, Handler::Deferred(deferred));
        self
    }

    /// Adds a handler whose response is a stream; the stream ends when the handler returns.
    #[must_use]
    pub fn route_stream<R, F, Fut>(mut self, handler: F) -> Self
    where
        R: StreamRequest,
        F: Fn(Peer, R, ItemSink<R::Item>) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = ()> + Send + 'static,
    {
        let handler = Arc::new(handler);
        let stream: StreamHandler = Arc::new(move |peer, body, sink| {
            let handler = handler.clone();
            Box::pin(async move {
                let request: R =
                    postcard::from_bytes(&body).map_err(|e| Fault::Decode(e.to_string()))?;
                handler(peer, request, ItemSink { sink, item: std::marker::PhantomData }).await;
                Ok(())
            })
        });
        self.handlers.insert(R::METHOD, Handler::Stream(stream));
        self
    }

    /// Merges the handlers of two routers; on conflict those of `other` are used.
    #[must_use]
    pub fn merge(mut self, other: Self) -> Self {
        self.handlers.extend(other.handlers);
        self
    }

    pub(crate) fn get(&self, method: Method) -> Option<&Handler> {
        self.handlers.get(&method)
    }
}

fn decode<R: Request>(body: &[u8]) -> Result<R, Fault> {
    postcard::from_bytes(body).map_err(|e| Fault::Decode(e.to_string()))
}

pub(crate) fn encode_reply<T: Serialize>(reply: &T) -> EncodedReply {
    postcard::to_stdvec(reply).map_err(|e| Fault::Failed(e.to_string()))
}
