//! A stream towards a caller: bounded, with an end that shows whether it is whole.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use futures::Stream;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Pieces that may wait for a slow caller.
const QUEUE_PIECES: usize = 64;

/// Time that a caller may leave a full queue untouched before its stream is cut (ours); it can resume.
const SLOW_CLIENT_TIME: Duration = Duration::from_secs(20);

/// The caller has gone, takes nothing, or its stream was cut at the gateway's stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the caller has gone")]
pub struct ClientGone;

/// The stream was cut: the connection is closed without a proper end of the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the stream was cut")]
pub struct StreamCut;

/// The gateway's end of a caller's stream. Dropped without [`ClientSink::finish`], it cuts the stream.
#[derive(Debug)]
pub struct ClientSink {
    pieces: mpsc::Sender<Bytes>,
    whole: Arc<AtomicBool>,
    stop: CancellationToken,
}

/// The caller's end.
struct ClientBody<G> {
    pieces: mpsc::Receiver<Bytes>,
    whole: Arc<AtomicBool>,
    ended: bool,
    _guard: G,
}

/// A sink and the body that it feeds. `guard` lives as long as the body; `stop` cuts the stream.
pub fn client_stream<G: Send + Unpin + 'static>(
    stop: CancellationToken,
    guard: G,
) -> (ClientSink, Body) {
    let (sender, pieces) = mpsc::channel(QUEUE_PIECES);
    let whole = Arc::new(AtomicBool::new(false));
    let body = ClientBody { pieces, whole: whole.clone(), ended: false, _guard: guard };
    (ClientSink { pieces: sender, whole, stop }, Body::from_stream(body))
}

impl ClientSink {
    /// Sends one piece; waits a while for a slow caller.
    ///
    /// # Errors
    /// [`ClientGone`].
    pub async fn send(&self, piece: Bytes) -> Result<(), ClientGone> {
        tokio::select! {
            biased;
            () = self.stop.cancelled() => Err(ClientGone),
            sent = self.pieces.send_timeout(piece, SLOW_CLIENT_TIME) => {
                sent.map_err(|_| ClientGone)
            }
        }
    }

    /// Waits until the caller has gone or the stream is to be cut.
    pub async fn closed(&self) {
        tokio::select! {
            () = self.stop.cancelled() => {}
            () = self.pieces.closed() => {}
        }
    }

    /// Ends a whole stream.
    pub fn finish(self) {
        self.whole.store(true, Ordering::Release);
    }
}

impl<G: Send + Unpin> Stream for ClientBody<G> {
    type Item = Result<Bytes, StreamCut>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.ended {
            return Poll::Ready(None);
        }
        if let Some(piece) = std::task::ready!(self.pieces.poll_recv(cx)) {
            return Poll::Ready(Some(Ok(piece)));
        }
        self.ended = true;
        // The sink sets the mark before it is dropped, and the channel's end shows the drop.
        let whole = self.whole.load(Ordering::Acquire);
        Poll::Ready((!whole).then_some(Err(StreamCut)))
    }
}
