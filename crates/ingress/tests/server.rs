//! The end of a server: what was taken is answered, what comes too late is refused, nothing is given up.

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

/// Generous, so that a busy machine refuses in time; all that runs ends long before.
const GRACE: Duration = Duration::from_secs(5);

/// Holds requests for `/held` until they are released, and answers others at once.
#[derive(Default)]
struct Holding {
    taken: Notify,
    released: Notify,
}

impl Handler for Holding {
    async fn handle(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        if request.uri().path() == "/held" {
            self.taken.notify_one();
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

/// All that comes of a request on a connection of its own.
async fn ask(address: std::net::SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("it listens");
    let request = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("it reads");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("a whole answer");
    answer
}

#[tokio::test]
async fn a_request_that_comes_late_after_the_stop_is_refused_and_one_that_runs_is_answered() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("bound");
    let (handler, stop) = (Arc::new(Holding::default()), CancellationToken::new());
    let serving = tokio::spawn(serve(listener, handler.clone(), stop.clone(), GRACE));
    let held = tokio::spawn(async move { ask(address, "/held").await });
    handler.taken.notified().await;
    stop.cancel();
    let mut answer = ask(address, "/").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    while answer.starts_with("HTTP/1.1 200") {
        assert!(answer.to_ascii_lowercase().contains("connection: close"), "{answer}");
        tokio::time::sleep(Duration::from_millis(20)).await;
        answer = ask(address, "/").await;
    }
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    handler.released.notify_one();
    assert!(held.await.unwrap().starts_with("HTTP/1.1 200"));
    serving.await.unwrap();
}
