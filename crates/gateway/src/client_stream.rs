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
const QUEUE_PIECES: usize = 64;

/// Time for which a caller may leave a full queue unread before its stream is aborted; the caller
/// can resume.
const SLOW_CLIENT_TIME: Duration = Duration::from_secs(20);

/// The caller disconnected or stopped reading, or the stream was aborted at shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the caller disconnected or stopped reading")]
pub struct ClientGone;

/// The stream was aborted: the connection is closed without a proper end of the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the stream was aborted")]
pub struct StreamCut;

/// Sending half of a caller's stream. Dropping it without [`ClientSink::finish`] aborts the stream.
#[derive(Debug)]
pub struct ClientSink {
    pieces: mpsc::Sender<Bytes>,
    whole: Arc<AtomicBool>,
    stop: CancellationToken,
}

/// Receiving half of a caller's stream, used as the response body.
struct ClientBody<G> {
    pieces: mpsc::Receiver<Bytes>,
    whole: Arc<AtomicBool>,
    ended: bool,
    _guard: G,
}

/// Creates a sink and the body that it feeds. `guard` lives as long as the body; `stop` aborts the
/// stream.
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
    /// Sends one chunk, waiting up to [`SLOW_CLIENT_TIME`] for queue capacity.
    ///
    /// # Errors
    /// [`ClientGone`] when the chunk could not be queued.
    pub async fn send(&self, piece: Bytes) -> Result<(), ClientGone> {
        tokio::select! {
            biased;
            () = self.stop.cancelled() => Err(ClientGone),
            sent = self.pieces.send_timeout(piece, SLOW_CLIENT_TIME) => {
                sent.map_err(|_| ClientGone)
            }
        }
    }

    /// Waits until the caller disconnects or the stream is aborted.
    pub async fn closed(&self) {
        tokio::select! {
            () = self.stop.cancelled() => {}
            () = self.pieces.closed() => {}
        }
    }

    /// Marks the stream as complete and ends it.
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
        // The sink sets the flag before it is dropped, and the end of the channel makes the drop
        // visible.
        let whole = self.whole.load(Ordering::Acquire);
        Poll::Ready((!whole).then_some(Err(StreamCut)))
    }
}
