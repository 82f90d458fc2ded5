//! Starts fake backends on port 0, and a client that exposes incomplete responses.
#![allow(dead_code)] // each test file uses its own part

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hooklug_emulator::{
    ApplicationEngine, ApplicationOptions, FakeBackend, FaultKind, FaultRule, Faults, LedgerEntry,
    ModelOptions, ModelServer,
};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

pub const LISTEN: &str = "127.0.0.1:0";

pub async fn application() -> FakeBackend {
    let options = ApplicationOptions {
        listen: LISTEN.parse().unwrap(),
        service: "alarms".parse().unwrap(),
        engine: "app-1".parse().unwrap(),
        version: "v1".parse().unwrap(),
        run_time: Duration::from_millis(1),
        slots: 4,
        ledger: None,
    };
    ApplicationEngine::start(options).await.unwrap()
}

pub fn model_options() -> ModelOptions {
    ModelOptions {
        listen: LISTEN.parse().unwrap(),
        service: "advisor".parse().unwrap(),
        engine: "model-1".parse().unwrap(),
        version: "v1".parse().unwrap(),
        seed: 7,
        slots: 2,
        queue: 1,
        first_token: Duration::from_millis(1),
        per_uncached_token: Duration::ZERO,
        prefix_tokens: 100,
        between_tokens: Duration::from_micros(100),
        load_factor: 0.5,
        ledger: None,
    }
}

pub async fn model() -> FakeBackend {
    ModelServer::start(model_options()).await.unwrap()
}

pub fn faults(kind: FaultKind) -> Faults {
    Faults { rules: vec![FaultRule::always(kind)], ..Faults::default() }
}

/// Result of a request, as seen by its client.
#[derive(Debug)]
pub enum ClientResponse {
    /// A complete response.
    Complete(StatusCode, HeaderMap, Bytes),
    /// The headers arrived, but the body was truncated.
    Truncated,
    /// The connection was closed without a response.
    NoResponse,
}

impl ClientResponse {
    pub fn complete(self) -> (StatusCode, HeaderMap, Bytes) {
        match self {
            Self::Complete(status, headers, body) => (status, headers, body),
            other => panic!("{other:?}"),
        }
    }
}

pub async fn send(
    to: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> ClientResponse {
    let stream = TcpStream::connect(to).await.unwrap();
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    let mut request = Request::builder().method(method).uri(path).header("host", "stand-in");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::from(body.to_string()))).unwrap();
    let Ok(answer) = sender.send_request(request).await else { return ClientResponse::NoResponse };
    let (parts, body) = answer.into_parts();
    match body.collect().await {
        Ok(body) => ClientResponse::Complete(parts.status, parts.headers, body.to_bytes()),
        Err(_) => ClientResponse::Truncated,
    }
}

pub async fn get(to: SocketAddr, path: &str) -> Value {
    let (status, _, body) = send(to, Method::GET, path, &[], &Value::Null).await.complete();
    assert_eq!(status, StatusCode::OK);
    serde_json::from_slice(&body).unwrap()
}

pub async fn call(to: &FakeBackend, request: &str, tool: &str, call: &str) -> ClientResponse {
    let identity = to.identity().to_string();
    let headers = [
        ("x-hooklug-request", request),
        ("x-hooklug-expect", identity.as_str()),
        ("x-hooklug-call", call),
        ("x-hooklug-attempt", "a1"),
    ];
    let path = format!("/calls/{tool}");
    send(to.address(), Method::POST, &path, &headers, &serde_json::json!({"house": 4})).await
}

/// Number of runs of a call in the ledger.
pub fn runs(backend: &FakeBackend, call: &str) -> usize {
    let is_run =
        |entry: &LedgerEntry| matches!(entry, LedgerEntry::CallRan { call: c, .. } if c == call);
    backend.ledger().iter().filter(|line| is_run(&line.entry)).count()
}
