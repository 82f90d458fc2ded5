//! A fake model server whose behaviour, valid or invalid, is selected by the input of each turn.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use axum::body::{Body, Bytes};
use axum::extract::State;
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use serde_json::{Value, json};
use tokio::sync::{Semaphore, mpsc};

/// A generation request that the server accepted.
#[derive(Debug, Clone)]
pub struct GenerationRequest {
    pub turn: String,
    pub max_tokens: u64,
    pub context: Value,
}

#[derive(Debug)]
struct Inner {
    identity: Mutex<Value>,
    requests: Mutex<Vec<GenerationRequest>>,
    /// Turns whose connection was closed before the generation ended.
    aborted: Mutex<Vec<String>>,
    /// Number of lines that gated generations may still send, by turn.
    gates: Mutex<BTreeMap<String, Arc<Semaphore>>>,
    ready: Mutex<bool>,
}

#[derive(Debug, Clone)]
pub struct ModelServer {
    pub address: SocketAddr,
    inner: Arc<Inner>,
}

impl ModelServer {
    pub async fn start() -> Self {
        let identity = json!({
            "service": "advisor", "engine": "model-1", "incarnation": 7, "version": "v1", "kind": "model"
        });
        let inner = Arc::new(Inner {
            identity: Mutex::new(identity),
            requests: Mutex::default(),
            aborted: Mutex::default(),
            gates: Mutex::default(),
            ready: Mutex::new(true),
        });
        let router = Router::new()
            .route("/identity", get(get_identity))
            .route("/status", get(get_status))
            .route("/generate", post(generate))
            .with_state(inner.clone());
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move { axum::serve(listener, router).await });
        Self { address, inner }
    }

    /// Lets a turn's gated generation send `lines` more lines.
    pub fn let_through(&self, turn: &str, lines: usize) {
        self.inner.gate(turn).add_permits(lines);
    }

    pub fn requests(&self) -> Vec<GenerationRequest> {
        self.inner.requests.lock().unwrap().clone()
    }

    pub fn aborted(&self) -> Vec<String> {
        self.inner.aborted.lock().unwrap().clone()
    }

    pub fn set_identity(&self, field: &str, value: Value) {
        self.inner.identity.lock().unwrap()[field] = value;
    }

    pub fn set_ready(&self, ready: bool) {
        *self.inner.ready.lock().unwrap() = ready;
    }
}

impl Inner {
    fn gate(&self, turn: &str) -> Arc<Semaphore> {
        let mut gates = self.gates.lock().unwrap();
        gates.entry(turn.to_owned()).or_insert_with(|| Arc::new(Semaphore::new(0))).clone()
    }
}

async fn get_identity(State(inner): State<Arc<Inner>>) -> Json<Value> {
    Json(inner.identity.lock().unwrap().clone())
}

async fn get_status(State(inner): State<Arc<Inner>>) -> Json<Value> {
    let ready = *inner.ready.lock().unwrap();
    Json(json!({"ready": ready, "draining": false, "slots": 16, "running": 0}))
}

fn text(request: &str, seq: u64, tokens: u64) -> String {
    json!({"request": request, "seq": seq, "text": format!("w{seq} "), "tokens": tokens})
        .to_string()
}

fn end(request: &str, lines: u64, reason: &str) -> String {
    json!({"request": request, "seq": lines + 1, "end": reason, "tokens_total": lines, "events": lines})
        .to_string()
}

/// The response lines for an input: `say 3`, `cut 2`, `crossed 2`, `gap 2`, `repeated 2`,
/// `miscounted 2`, `after-end 2`, `not-json 2`, `error 1`, `tool 2`, `heavy 5` (one line with five
/// tokens).
fn lines(request: &str, kind: &str, count: u64) -> Vec<String> {
    let mut lines: Vec<String> = (1..=count).map(|seq| text(request, seq, 1)).collect();
    match kind {
        "cut" => {}
        "crossed" => lines.push(text("r-of-another", count + 1, 1)),
        "gap" => lines.push(text(request, count + 2, 1)),
        "repeated" => lines.push(text(request, count, 1)),
        "miscounted" => lines.push(end(request, count + 1, "stop")),
        "after-end" => {
            lines.push(end(request, count, "stop"));
            lines.push(text(request, count + 2, 1));
        }
        "not-json" => lines.push("{\"request\": ".to_owned()),
        "error" => lines.push(end(request, count, "error")),
        "tool" => {
            let tool_line = json!({"request": request, "seq": count + 1,
                "tool": {"name": "read_sensor", "arguments": {"house": 4}}});
            lines.push(tool_line.to_string());
            let end = json!({"request": request, "seq": count + 2, "end": "stop",
                "tokens_total": count, "events": count + 1});
            lines.push(end.to_string());
        }
        "heavy" => lines = vec![text(request, 1, count)],
        _ => lines.push(end(request, count, "stop")),
    }
    lines
}

fn echo(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).map(|v| v.to_str().unwrap().to_owned()).unwrap_or_default()
}

fn current_identity(inner: &Inner) -> String {
    let id = inner.identity.lock().unwrap();
    let word = |field: &str| id[field].as_str().unwrap_or_default().to_owned();
    format!("{}/{}/{}", word("service"), word("engine"), id["incarnation"])
}

async fn generate(
    State(inner): State<Arc<Inner>>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    let request = echo(&headers, "x-hooklug-request");
    let identity = current_identity(&inner);
    let mut echoed = BTreeMap::from([
        ("x-hooklug-request", request.clone()),
        ("x-hooklug-engine", identity.clone()),
        ("content-type", "application/x-ndjson".to_owned()),
    ]);
    let input = body["input"].as_str().unwrap_or_default().to_owned();
    let mut words = input.split(' ');
    let kind = words.next().unwrap_or_default().to_owned();
    let count: u64 = words.next().and_then(|w| w.parse().ok()).unwrap_or(0);
    if kind == "refuse" || echo(&headers, "x-hooklug-expect") != identity {
        echoed.insert("x-hooklug-refused", "draining".to_owned());
        return respond(StatusCode::SERVICE_UNAVAILABLE, &echoed, Body::empty());
    }
    let accepted = GenerationRequest {
        turn: body["turn"].as_str().unwrap_or_default().to_owned(),
        max_tokens: body["max_tokens"].as_u64().unwrap_or_default(),
        context: body["context"].clone(),
    };
    inner.requests.lock().unwrap().push(accepted.clone());
    match kind.as_str() {
        "fail" => {
            return respond(StatusCode::INTERNAL_SERVER_ERROR, &echoed, Body::empty());
        }
        "not-echoed" => drop(echoed.insert("x-hooklug-request", "r-of-another".to_owned())),
        "another" => drop(echoed.insert("x-hooklug-engine", "advisor/model-9/1".to_owned())),
        _ => {}
    }
    let limit = accepted.max_tokens;
    let lines = lines(&request, &kind, if kind == "heavy" { count } else { count.min(limit) });
    let (sink, source) = mpsc::channel::<Result<Bytes, std::io::Error>>(1);
    tokio::spawn(send_lines(inner, accepted.turn, kind, lines, sink));
    let stream = futures::stream::unfold(source, async |mut source| {
        source.recv().await.map(|item| (item, source))
    });
    respond(StatusCode::OK, &echoed, Body::from_stream(stream))
}

async fn send_lines(
    inner: Arc<Inner>,
    turn: String,
    kind: String,
    lines: Vec<String>,
    sink: mpsc::Sender<Result<Bytes, std::io::Error>>,
) {
    let gate = inner.gate(&turn);
    for line in lines {
        if kind == "gated" {
            let permit = tokio::select! {
                permit = gate.acquire() => permit.unwrap(),
                () = sink.closed() => {
                    inner.aborted.lock().unwrap().push(turn);
                    return;
                }
            };
            permit.forget();
        }
        if sink.send(Ok(Bytes::from(line + "\n"))).await.is_err() {
            inner.aborted.lock().unwrap().push(turn);
            return;
        }
    }
    if kind == "broken" {
        let _ = sink.send(Err(std::io::Error::other("injected stream error"))).await;
    }
}

fn respond(status: StatusCode, headers: &BTreeMap<&'static str, String>, body: Body) -> Response {
    let mut response = (status, body).into_response();
    for (name, value) in headers {
        response.headers_mut().insert(*name, value.parse().unwrap());
    }
    response
}
