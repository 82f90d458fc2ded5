//! HTTP/1.1 server for callers, with graceful shutdown.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::debug;

use crate::{AnswerBody, Truncated};

/// Fraction of the grace period for which idle connections stay open. Requests sent in this time are
/// served, and each response announces that the connection closes.
const IDLE_CLOSE_SHARE: f64 = 0.3;

/// Fraction of the grace period after which new requests are refused, because an accepted request
/// must have time to complete.
const REFUSE_SHARE: f64 = 0.4;

/// Pause after a failed accept, which most likely means that no file descriptors are free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Handler of callers' requests.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request. The future is dropped when the caller disconnects.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<AnswerBody>> + Send;

    /// The response to a request that arrives too late during shutdown. The request is not run.
    fn refuse(&self) -> Response<AnswerBody>;

    /// How long a connection may be idle between requests.
    fn idle_time(&self) -> Duration;
}

/// The stages of a graceful shutdown, as tokens that are cancelled when a stage begins.
#[derive(Debug, Clone, Default)]
struct ShutdownStages {
    /// Responses announce that their connection closes.
    stop: CancellationToken,
    /// Idle connections are closed.
    close: CancellationToken,
    /// New requests are refused.
    refuse: CancellationToken,
}

/// Serves until stopped, and then until all running requests have completed or `grace` is over.
///
/// New connections are accepted until the end, since callers may not know of the stop yet. New
/// requests are refused once they could not complete in time.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    stop: CancellationToken,
    grace: Duration,
) {
    let stages = ShutdownStages { stop, ..ShutdownStages::default() };
    let connections = TaskTracker::new();
    let accepting = accept(&listener, &handler, &stages, &connections);
    let shutdown = async {
        stages.stop.cancelled().await;
        let (stopped, idle_period) = (Instant::now(), grace.mul_f64(IDLE_CLOSE_SHARE));
        tokio::time::sleep_until(stopped + idle_period).await;
        stages.close.cancel();
        tokio::time::sleep_until(stopped + grace.mul_f64(REFUSE_SHARE)).await;
        stages.refuse.cancel();
        connections.close();
        let _ = tokio::time::timeout_at(stopped + grace, connections.wait()).await;
    };
    tokio::select! {
        () = accepting => {}
        () = shutdown => {}
    }
}

async fn accept<H: Handler>(
    listener: &TcpListener,
    handler: &Arc<H>,
    stages: &ShutdownStages,
    connections: &TaskTracker,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.spawn(serve_connection(stream, handler.clone(), stages.clone()));
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_connection<H: Handler>(stream: TcpStream, handler: Arc<H>, stages: ShutdownStages) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let idle_time = handler.idle_time();
    // A connection accepted after the idle ones were closed must not be closed before its first
    // request.
    let close =
        if stages.close.is_cancelled() { CancellationToken::new() } else { stages.close.clone() };
    let service = service_fn(move |request| {
        let (handler, stages) = (handler.clone(), stages.clone());
        async move {
            let mut response = match stages.refuse.is_cancelled() {
                true => handler.refuse(),
                false => handler.handle(request).await,
            };
            if stages.stop.is_cancelled() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Truncated>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_time)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = close.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        debug!(%error, "connection of a caller closed with an error");
    }
}
