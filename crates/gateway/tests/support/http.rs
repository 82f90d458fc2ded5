//! HTTP client for tests: plain requests and event streams.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// A complete response.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub json: Value,
}

impl Answer {
    pub fn code(&self) -> &str {
        self.json["code"].as_str().unwrap_or_default()
    }

    /// Checks that a `try_again` outcome comes with a retry delay.
    fn check_retry_after(&self) {
        if self.json["outcome"] == "try_again" {
            assert!(self.json["retry_after_ms"].as_u64() > Some(0), "{self:?}");
            assert!(self.header("retry-after").parse::<u64>().unwrap() > 0, "{self:?}");
        }
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |value| value.to_str().unwrap_or_default())
    }
}

/// One event of a stream.
#[derive(Debug, Clone, PartialEq)]
pub struct SseEvent {
    pub id: u64,
    pub event: String,
    pub data: Value,
}

/// An open event stream.
pub struct EventStream {
    pub status: u16,
    pub headers: HeaderMap,
    body: Incoming,
    text: String,
}

pub fn request(method: Method, to: SocketAddr, path: &str) -> http::request::Builder {
    Request::builder()
        .method(method)
        .uri(format!("http://{to}{path}"))
        .header("x-hooklug-tenant", "dalatek")
}

pub async fn send(request: Request<Full<Bytes>>) -> http::Response<Incoming> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    client.request(request).await.expect("no response")
}

pub async fn answer(request: Request<Full<Bytes>>) -> Answer {
    let response = send(request).await;
    let (head, body) = response.into_parts();
    let bytes = body.collect().await.expect("incomplete body").to_bytes();
    let json = if bytes.is_empty() {
        Value::Null
    } else {
        serde_json::from_slice(&bytes).unwrap_or_else(|_| panic!("not JSON: {bytes:?}"))
    };
    let answer = Answer { status: head.status.as_u16(), headers: head.headers, json };
    answer.check_retry_after();
    answer
}

pub fn with_json(builder: http::request::Builder, body: &Value) -> Request<Full<Bytes>> {
    builder
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("invalid request")
}

pub fn without_body(builder: http::request::Builder) -> Request<Full<Bytes>> {
    builder.body(Full::new(Bytes::new())).expect("invalid request")
}

pub async fn put(to: SocketAddr, path: &str, body: &Value) -> Answer {
    answer(with_json(request(Method::PUT, to, path), body)).await
}

pub async fn post(to: SocketAddr, path: &str, body: &Value) -> Answer {
    answer(with_json(request(Method::POST, to, path), body)).await
}

pub async fn get(to: SocketAddr, path: &str) -> Answer {
    answer(without_body(request(Method::GET, to, path))).await
}

pub async fn delete(to: SocketAddr, path: &str) -> Answer {
    answer(without_body(request(Method::DELETE, to, path))).await
}

pub async fn post_empty(to: SocketAddr, path: &str) -> Answer {
    answer(without_body(request(Method::POST, to, path))).await
}

pub async fn get_with_last(to: SocketAddr, path: &str, last: u64) -> Answer {
    let builder = request(Method::GET, to, path).header("last-event-id", last.to_string());
    answer(without_body(builder)).await
}

pub async fn open_stream(request: Request<Full<Bytes>>) -> EventStream {
    let response = send(request).await;
    let (head, body) = response.into_parts();
    EventStream { status: head.status.as_u16(), headers: head.headers, body, text: String::new() }
}

pub async fn follow(to: SocketAddr, path: &str, last: Option<u64>) -> EventStream {
    let mut builder = request(Method::GET, to, path);
    if let Some(last) = last {
        builder = builder.header("last-event-id", last.to_string());
    }
    open_stream(without_body(builder)).await
}

pub async fn post_turn(to: SocketAddr, session: &str, body: &Value) -> EventStream {
    let path = format!("/v1/programs/{session}/turns");
    open_stream(with_json(request(Method::POST, to, &path), body)).await
}

impl EventStream {
    /// Returns the next event; `None` at a proper end, an error when the stream was aborted.
    pub async fn next(&mut self) -> Result<Option<SseEvent>, String> {
        loop {
            if let Some(end) = self.text.find("\n\n") {
                let block: String = self.text.drain(..end + 2).collect();
                if let Some(event) = parse(&block) {
                    return Ok(Some(event));
                }
                continue;
            }
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(error)) => return Err(error.to_string()),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.text.push_str(std::str::from_utf8(&data).expect("utf-8"));
                    }
                }
            }
        }
    }

    /// Returns all remaining events, and whether the stream ended properly.
    pub async fn rest(mut self) -> (Vec<SseEvent>, bool) {
        let mut events = Vec::new();
        loop {
            match self.next().await {
                Ok(Some(event)) => events.push(event),
                Ok(None) => return (events, true),
                Err(_) => return (events, false),
            }
        }
    }
}

fn parse(block: &str) -> Option<SseEvent> {
    let field = |name: &str| {
        block.lines().find_map(|line| line.strip_prefix(name)).map(str::trim).map(str::to_owned)
    };
    let event = field("event:")?;
    let id = field("id:")?.parse().ok()?;
    let data = serde_json::from_str(&field("data:")?).ok()?;
    Some(SseEvent { id, event, data })
}
