//! Graceful shutdown of the server: accepted requests are answered, late ones are refused, and none
//! is dropped without a response.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hooklug_ingress::AnswerBody;
use hooklug_ingress::server::{Handler, serve};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// Grace period, long enough that a busy machine refuses requests in time; all requests end long
/// before.
const GRACE: Duration = Duration::from_secs(5);

/// Handler that holds requests for `/held` until released and answers others at once.
#[derive(Default)]
struct HoldingHandler {
    accepted: Notify,
    released: Notify,
}

impl Handler for HoldingHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        if request.uri().path() == "/held" {
            self.accepted.notify_one();
            self.released.notified().await;
        }
        Response::new(AnswerBody::from(Bytes::from_static(b"done")))
    }

    fn refuse(&self) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::from(Bytes::new()));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        response
    }

    fn idle_time(&self) -> Duration {
        Duration::from_secs(30)
    }
}

/// Sends a request on a new connection and returns the complete response text.
async fn send_request(address: std::net::SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("the server listens");
    let request = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("the server reads");
    let mut response = String::new();
    stream.read_to_string(&mut response).await.expect("a complete response");
    response
}

#[tokio::test]
async fn a_stopped_server_refuses_new_requests_and_completes_running_ones() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind to loopback");
    let address = listener.local_addr().expect("a bound address");
    let (handler, stop) = (Arc::new(HoldingHandler::default()), CancellationToken::new());
    let serving = tokio::spawn(serve(listener, handler.clone(), stop.clone(), GRACE));
    let held = tokio::spawn(async move { send_request(address, "/held").await });
    handler.accepted.notified().await;
    stop.cancel();
    let mut response = send_request(address, "/").await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    while response.starts_with("HTTP/1.1 200") {
        assert!(response.to_ascii_lowercase().contains("connection: close"), "{response}");
        tokio::time::sleep(Duration::from_millis(20)).await;
        response = send_request(address, "/").await;
    }
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    handler.released.notify_one();
    assert!(held.await.unwrap().starts_with("HTTP/1.1 200"));
    serving.await.unwrap();
}
