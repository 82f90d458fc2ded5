//! Typed handlers by method.

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

/// An encoded reply.
pub(crate) type Encoded = Result<Vec<u8>, Fault>;
type UnaryHandler = Arc<dyn Fn(Peer, Bytes) -> BoxFuture<'static, Encoded> + Send + Sync>;
type InlineHandler = Arc<dyn Fn(&Peer, &[u8]) -> Encoded + Send + Sync>;
type DeferredHandler = Arc<dyn Fn(&Peer, &[u8], RawReplier) + Send + Sync>;
type StreamHandler =
    Arc<dyn Fn(Peer, Bytes, RawSink) -> BoxFuture<'static, Result<(), Fault>> + Send + Sync>;

/// Encoded items of one stream, towards the connection's writer.
pub(crate) type RawSink = mpsc::Sender<Vec<u8>>;

#[derive(Clone)]
pub(crate) enum Handler {
    Unary(UnaryHandler),
    Inline(InlineHandler),
    Deferred(DeferredHandler),
    Stream(StreamHandler),
}

/// Where a stream handler puts its items.
#[derive(Debug)]
pub struct ItemSink<T> {
    sink: RawSink,
    item: std::marker::PhantomData<fn(T)>,
}

/// The receiver of a stream is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the stream's receiver is gone")]
pub struct ReceiverGone;

impl<T: Serialize> ItemSink<T> {
    /// Sends one item; waits while the connection is slow.
    ///
    /// # Errors
    /// When the receiver cancelled the stream or its connection broke.
    pub async fn send(&self, item: &T) -> Result<(), ReceiverGone> {
        let bytes = postcard::to_stdvec(item).map_err(|_| ReceiverGone)?;
        self.sink.send(bytes).await.map_err(|_| ReceiverGone)
    }

    /// Waits until the receiver is gone.
    pub async fn closed(&self) {
        self.sink.closed().await;
    }
}

/// Handlers of one process.
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
    /// No handlers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a handler; each request runs in a task of its own, cancelled when its caller gives up.
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

    /// Adds a handler that runs in the connection's reading loop, in the order of arrival. It must not block.
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

    /// Adds a handler that runs in the connection's reading loop and replies later, from any thread. It must
    /// not block; that its caller gives up changes nothing.
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

    /// Adds a handler that answers with a stream; the stream ends when the handler returns.
    #[must_use]
    pub fn stream<R, F, Fut>(mut self, handler: F) -> Self
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

    /// All handlers of both; the other's win.
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

pub(crate) fn encode_reply<T: Serialize>(reply: &T) -> Encoded {
    postcard::to_stdvec(reply).map_err(|e| Fault::Failed(e.to_string()))
}
