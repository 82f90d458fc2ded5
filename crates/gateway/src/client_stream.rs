//! A bounded response stream to a caller that is aborted unless it was finished explicitly.

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

/// Number of chunks that may be queued for a slow caller.
const QUEUE_CHUNKS: usize = 64;

/// Time for which a caller may leave a full queue unread before its stream is aborted; the caller
/// can resume.
const SLOW_CLIENT_TIMEOUT: Duration = Duration::from_secs(20);

/// The caller disconnected or stopped reading, or the stream was aborted at shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the caller disconnected or stopped reading")]
pub struct ClientDisconnected;

/// The stream was aborted: the connection is closed without a proper end of the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the stream was aborted")]
pub struct StreamAborted;

/// Sending half of a caller's stream. Dropping it without [`ClientSink::finish`] aborts the stream.
#[derive(Debug)]
pub struct ClientSink {
    chunks: mpsc::Sender<Bytes>,
    complete: Arc<AtomicBool>,
    stop: CancellationToken,
}

/// Receiving half of a caller's stream, used as the response body.
struct ClientBody<G> {
    chunks: mpsc::Receiver<Bytes>,
    complete: Arc<AtomicBool>,
    ended: bool,
    _guard: G,
}

/// Creates a sink and the body that it feeds. `guard` lives as long as the body; `stop` aborts the
/// stream.
pub fn client_stream<G: Send + Unpin + 'static>(
    stop: CancellationToken,
    guard: G,
) -> (ClientSink, Body) {
    let (sender, chunks) = mpsc::channel(QUEUE_CHUNKS);
    let complete = Arc::new(AtomicBool::new(false));
    let body = ClientBody { chunks, complete: complete.clone(), ended: false, _guard: guard };
    (ClientSink { chunks: sender, complete, stop }, Body::from_stream(body))
}

impl ClientSink {
    /// Sends one chunk, waiting up to [`SLOW_CLIENT_TIMEOUT`] for queue capacity.
    ///
    /// # Errors
    /// [`ClientDisconnected`] when the chunk could not be queued.
    pub async fn send(&self, chunk: Bytes) -> Result<(), ClientDisconnected> {
        tokio::select! {
            biased;
            () = self.stop.cancelled() => Err(ClientDisconnected),
            sent = self.chunks.send_timeout(chunk, SLOW_CLIENT_TIMEOUT) => {
                sent.map_err(|_| ClientDisconnected)
            }
        }
    }

    /// Waits until the caller disconnects or the stream is aborted.
    pub async fn closed(&self) {
        tokio::select! {
            () = self.stop.cancelled() => {}
            () = self.chunks.closed() => {}
        }
    }

    /// Marks the stream as complete and ends it.
    pub fn finish(self) {
        self.complete.store(true, Ordering::Release);
    }
}

impl<G: Send + Unpin> Stream for ClientBody<G> {
    type Item = Result<Bytes, StreamAborted>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.ended {
            return Poll::Ready(None);
        }
        if let Some(chunk) = std::task::ready!(self.chunks.poll_recv(cx)) {
            return Poll::Ready(Some(Ok(chunk)));
        }
        self.ended = true;
        // The sink sets the flag before it is dropped, and the end of the channel makes the drop
        // visible.
        let complete = self.complete.load(Ordering::Acquire);
        Poll::Ready((!complete).then_some(Err(StreamAborted)))
    }
}
