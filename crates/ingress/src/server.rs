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
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::debug;

use crate::{AnswerBody, Cut};

/// Part of the grace period for which idle connections stay open (ours): what their callers have sent meanwhile is
/// served, and each answer says that the connection ends.
const LINGER_SHARE: f64 = 0.3;

/// Part of the grace period after which new requests are refused (ours): one that is taken must have the time to end.
const REFUSE_SHARE: f64 = 0.4;

/// Pause after a failed accept: out of descriptors, most likely.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers callers' requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request; dropped when its caller leaves.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<AnswerBody>> + Send;

    /// The answer to a request that came too late before the end of the process. It has not run and never will.
    fn refuse(&self) -> Response<AnswerBody>;

    /// How long a connection may rest between requests.
    fn idle_time(&self) -> Duration;
}

/// When a stopping server does what.
#[derive(Debug, Clone, Default)]
struct Stages {
    /// Answers say that their connection ends.
    stop: CancellationToken,
    /// Idle connections are closed.
    close: CancellationToken,
    /// New requests are refused.
    refuse: CancellationToken,
}

/// Serves until stopped, and then until all that runs has ended or `grace` is over. New connections are taken to the
/// last, since callers may not know of the stop yet; new requests are refused once they could not end in time.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    stop: CancellationToken,
    grace: Duration,
) {
    let stages = Stages { stop, ..Stages::default() };
    let connections = TaskTracker::new();
    let accepting = accept(&listener, &handler, &stages, &connections);
    let ending = async {
        stages.stop.cancelled().await;
        let (stopped, linger) = (Instant::now(), grace.mul_f64(LINGER_SHARE));
        tokio::time::sleep_until(stopped + linger).await;
        stages.close.cancel();
        tokio::time::sleep_until(stopped + grace.mul_f64(REFUSE_SHARE)).await;
        stages.refuse.cancel();
        connections.close();
        let _ = tokio::time::timeout_at(stopped + grace, connections.wait()).await;
    };
    tokio::select! {
        () = accepting => {}
        () = ending => {}
    }
}

async fn accept<H: Handler>(
    listener: &TcpListener,
    handler: &Arc<H>,
    stages: &Stages,
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

async fn serve_connection<H: Handler>(stream: TcpStream, handler: Arc<H>, stages: Stages) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let idle_time = handler.idle_time();
    // A connection that comes after the idle ones were closed is there for one request, and is not closed before it.
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
