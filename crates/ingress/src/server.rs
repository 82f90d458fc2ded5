//! Callers' connections: HTTP/1.1 on one listener, with an orderly end.

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
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::debug;

use crate::{AnswerBody, Cut};

/// Time after the stop for which idle connections stay open (ours): what their callers have sent meanwhile is
/// served, and each answer says that the connection ends.
const LINGER_TIME: Duration = Duration::from_millis(2_500);

/// Pause after a failed accept: out of descriptors, most likely.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers callers' requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request; dropped when its caller leaves.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<AnswerBody>> + Send;

    /// How long a connection may rest between requests.
    fn idle_time(&self) -> Duration;
}

/// Serves until stopped, and then until all that runs has ended or `grace` is over. New connections are taken to the
/// last, since callers may not know of the stop yet.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    stop: CancellationToken,
    grace: Duration,
) {
    let close = CancellationToken::new();
    let connections = TaskTracker::new();
    let accepting = accept(&listener, &handler, &stop, &close, &connections);
    let ending = async {
        stop.cancelled().await;
        tokio::time::sleep(LINGER_TIME.min(grace / 2)).await;
        close.cancel();
        connections.close();
        let rest = grace.saturating_sub(LINGER_TIME);
        let _ = tokio::time::timeout(rest, connections.wait()).await;
    };
    tokio::select! {
        () = accepting => {}
        () = ending => {}
    }
}

async fn accept<H: Handler>(
    listener: &TcpListener,
    handler: &Arc<H>,
    stop: &CancellationToken,
    close: &CancellationToken,
    connections: &TaskTracker,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let served = serve_connection(stream, handler.clone(), stop.clone(), close.clone());
                connections.spawn(served);
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    handler: Arc<H>,
    stop: CancellationToken,
    close: CancellationToken,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let idle_time = handler.idle_time();
    let service = service_fn(move |request| {
        let (handler, stop) = (handler.clone(), stop.clone());
        async move {
            let mut response = handler.handle(request).await;
            if stop.is_cancelled() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Cut>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_time)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = close.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        debug!(%error, "a caller's connection ended");
    }
}
