//! HTTP/1.1 server that can inject failures: truncated bodies, and connections that are closed
//! without a response.

use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Maximum size of a request body, in bytes; contexts of long sessions are large.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Delay before a truncated response is aborted, in which its first half is written.
pub(crate) const ABORT_DELAY: Duration = Duration::from_millis(20);

pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Error that closes the connection without a response.
#[derive(Debug, thiserror::Error)]
#[error("connection closed without a response")]
pub(crate) struct NoResponse;

pub(crate) type HandlerResult = Result<Response<Body>, NoResponse>;

/// Accepts connections until `shutdown` is cancelled, then closes all of them at once.
pub(crate) async fn serve<H, F>(listener: TcpListener, shutdown: CancellationToken, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    let handler = Arc::new(handler);
    let connections = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            () = shutdown.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        if let Ok((stream, _)) = accepted {
            connections.spawn(serve_connection(stream, shutdown.clone(), handler.clone()));
        }
    }
    drop(listener);
    connections.close();
    connections.wait().await;
}

async fn serve_connection<H, F>(stream: TcpStream, shutdown: CancellationToken, handler: Arc<H>)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    // Without `TCP_NODELAY`, small lines would wait for the acknowledgement of the previous one.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| handler(request));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        () = shutdown.cancelled() => {}
        _ = connection => {}
    }
}

/// Reads and decodes the JSON body of a request.
pub(crate) async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, Box<Response<Body>>> {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await;
    let bytes = body.map_err(|e| bad_request(&e.to_string()))?.to_bytes();
    serde_json::from_slice(&bytes).map_err(|e| bad_request(&e.to_string()))
}

fn bad_request(text: &str) -> Box<Response<Body>> {
    Box::new(text_response(StatusCode::BAD_REQUEST, text))
}

/// Builds a complete JSON response.
pub(crate) fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    full_response(status, "application/json", Bytes::from(bytes))
}

/// Builds a complete plain-text response.
pub(crate) fn text_response(status: StatusCode, text: &str) -> Response<Body> {
    full_response(status, "text/plain", Bytes::copy_from_slice(text.as_bytes()))
}

/// Builds a complete response.
pub(crate) fn full_response(
    status: StatusCode,
    content_type: &str,
    bytes: Bytes,
) -> Response<Body> {
    let body = Full::new(bytes).map_err(|never| match never {}).boxed_unsync();
    build(status, content_type, body)
}

/// Builds a response that declares the full length, sends half of the bytes and aborts the
/// connection.
pub(crate) fn truncated_response(content_type: &str, bytes: &Bytes) -> Response<Body> {
    let (sender, chunks) = mpsc::channel(1);
    let half = bytes.slice(..bytes.len() / 2);
    tokio::spawn(async move {
        let _ = sender.send(Ok(half)).await;
        // Without the delay the connection may close before the first half is written.
        tokio::time::sleep(ABORT_DELAY).await;
        let _ = sender.send(Err(abort_error())).await;
    });
    let mut response = stream_response(content_type, chunks);
    response.headers_mut().insert(header::CONTENT_LENGTH, bytes.len().into());
    response
}

/// Builds a streamed response. An error in the channel aborts the connection.
pub(crate) fn stream_response(
    content_type: &str,
    chunks: mpsc::Receiver<Result<Bytes, io::Error>>,
) -> Response<Body> {
    let frames = ReceiverStream::new(chunks).map(|chunk| chunk.map(Frame::data));
    build(StatusCode::OK, content_type, StreamBody::new(frames).boxed_unsync())
}

/// The error that aborts a connection in the middle of a body.
pub(crate) fn abort_error() -> io::Error {
    io::Error::other("response truncated by an injected fault")
}

fn build(status: StatusCode, content_type: &str, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    if let Ok(value) = content_type.parse() {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    response
}
