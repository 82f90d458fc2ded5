//! Fake application engine. It runs every request that it receives, without deduplication: callers
//! must make sure that a call runs at most once, and the ledger shows whether they do.

use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hooklug_types::{EngineId, Incarnation, ServiceName, ServiceVersion};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use serde_json::Value;
use tokio::sync::Semaphore;

use crate::fake_backend::{Backend, FakeBackend};
use crate::faults::RequestFaults;
use crate::headers;
use crate::http::{
    Body, HandlerResult, NoResponse, full_response, json_response, read_json, text_response,
    truncated_response,
};
use crate::identity::{BackendKind, Identity};
use crate::ledger::{Ledger, LedgerEntry};
use crate::state::{BackendState, RequestId, header_text};

const JSON: &str = "application/json";

/// Options of a fake application engine.
#[derive(Debug, Clone)]
pub struct ApplicationOptions {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Name of the service.
    pub service: ServiceName,
    /// Id of the engine.
    pub engine: EngineId,
    /// Version of the service.
    pub version: ServiceVersion,
    /// Run time of a call.
    pub run_time: Duration,
    /// Concurrent calls; further ones wait.
    pub slots: u32,
    /// File to which the ledger is appended.
    pub ledger: Option<PathBuf>,
}

/// Fake application engine, started with [`ApplicationEngine::start`].
#[derive(Debug)]
pub struct ApplicationEngine {
    state: Arc<BackendState>,
    run_time: Duration,
    slots: Semaphore,
    memory: Mutex<ProcessMemory>,
}

/// State that is lost on a restart.
#[derive(Debug, Default)]
struct ProcessMemory {
    calls: BTreeMap<String, CallRecord>,
    last_response: Option<PreparedResponse>,
}

#[derive(Debug, Clone, Default)]
struct CallRecord {
    times: u32,
    response: Option<Value>,
}

/// A response that is ready to be sent.
#[derive(Debug, Clone)]
struct PreparedResponse {
    id: RequestId,
    body: Bytes,
}

/// Response body of a call lookup.
#[derive(Debug, Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
enum CallLookup {
    Done { status: u16, body: Value },
    Running,
    Never,
}

impl ApplicationEngine {
    /// Starts an application engine.
    ///
    /// # Errors
    /// When it can't listen or open the ledger file.
    pub async fn start(options: ApplicationOptions) -> io::Result<FakeBackend> {
        let identity = Identity {
            service: options.service,
            engine: options.engine,
            incarnation: Incarnation::at_start(),
            version: options.version,
            kind: BackendKind::Application,
        };
        let ledger = Ledger::open(options.ledger.as_deref())?;
        let state = Arc::new(BackendState::new(identity, ledger, options.slots));
        let engine = Arc::new(Self {
            state: state.clone(),
            run_time: options.run_time,
            slots: Semaphore::new(options.slots as usize),
            memory: Mutex::default(),
        });
        FakeBackend::start(options.listen, state, engine).await
    }

    async fn call(self: Arc<Self>, tool: String, request: Request<Incoming>) -> HandlerResult {
        let headers = request.headers().clone();
        let (id, faults) = match self.state.admit(&headers, &tool) {
            Ok(admitted) => admitted,
            Err(refusal) => {
                self.record_refusal(&headers, &refusal);
                return Ok(*refusal);
            }
        };
        let arguments: Value = match read_json(request).await {
            Ok(arguments) => arguments,
            Err(refusal) => return Ok(self.state.with_identity(&id, *refusal)),
        };
        // Runs in a separate task, so that the call completes even if the client disconnects.
        let running = tokio::spawn(self.clone().run(tool, id, headers, arguments, faults));
        let prepared = running.await.map_err(|_| NoResponse)?;
        self.send(prepared, faults).await
    }

    fn record_refusal(&self, request: &HeaderMap, response: &Response<Body>) {
        if let Some(reason) = header_text(response.headers(), headers::REFUSED) {
            let call = header_text(request, headers::CALL).unwrap_or_default().to_owned();
            self.state.record(LedgerEntry::Refused { call, reason: reason.to_owned() });
        }
    }

    async fn run(
        self: Arc<Self>,
        tool: String,
        id: RequestId,
        headers: HeaderMap,
        arguments: Value,
        faults: RequestFaults,
    ) -> PreparedResponse {
        let _running = self.state.count_running();
        let _slot = self.slots.acquire().await;
        let header = |name| header_text(&headers, name).unwrap_or_default().to_owned();
        let call = header(headers::CALL);
        let times = self.record_start(&call);
        self.state.record(LedgerEntry::CallRan {
            call: call.clone(),
            attempt: header(headers::ATTEMPT),
            tool: tool.clone(),
            request: id.0.clone(),
            times,
        });
        tokio::time::sleep(self.run_time + faults.delay).await;
        let response = serde_json::json!({
            "tool": tool, "call": call, "times": times, "arguments": arguments,
            "engine": self.state.identity().engine,
        });
        self.record_response(&call, &response);
        PreparedResponse { id, body: serde_json::to_vec(&response).unwrap_or_default().into() }
    }

    fn record_start(&self, call: &str) -> u32 {
        let mut memory = self.memory();
        let record = memory.calls.entry(call.to_owned()).or_default();
        record.times += 1;
        record.times
    }

    fn record_response(&self, call: &str, response: &Value) {
        if let Some(record) = self.memory().calls.get_mut(call) {
            record.response = Some(response.clone());
        }
    }

    async fn send(&self, own: PreparedResponse, faults: RequestFaults) -> HandlerResult {
        if faults.stall {
            std::future::pending::<()>().await;
        }
        if faults.lose_answer {
            return Err(NoResponse);
        }
        let previous = self.memory().last_response.replace(own.clone());
        let PreparedResponse { id, body } =
            if faults.cross { previous.unwrap_or(own) } else { own };
        let response = if faults.cut_short {
            truncated_response(JSON, &body)
        } else if faults.garble {
            full_response(StatusCode::OK, JSON, garbled_body(&body))
        } else {
            full_response(StatusCode::OK, JSON, body)
        };
        Ok(self.state.with_identity(&id, response))
    }

    /// Looks up a call. Gateways rely on the result to settle calls, so the response carries the
    /// request id and the identity like any other.
    fn handle_lookup(&self, request: &Request<Incoming>) -> Response<Body> {
        let response = self.lookup(request.uri().query().unwrap_or_default());
        match RequestId::from_headers(request.headers()) {
            Some(id) => self.state.with_identity(&id, response),
            None => response,
        }
    }

    fn lookup(&self, query: &str) -> Response<Body> {
        if self.state.faults.get().no_lookup {
            return text_response(StatusCode::NOT_FOUND, "call lookup is disabled");
        }
        let Some(call) = query.split('&').find_map(|pair| pair.strip_prefix("call=")) else {
            return text_response(StatusCode::BAD_REQUEST, "query parameter call is missing");
        };
        let call = call.replace("%2F", "/").replace("%2f", "/").replace("%3A", ":");
        let state = match self.memory().calls.get(&call).cloned() {
            None => CallLookup::Never,
            Some(CallRecord { response: None, .. }) => CallLookup::Running,
            Some(CallRecord { response: Some(body), .. }) => CallLookup::Done { status: 200, body },
        };
        json_response(StatusCode::OK, &state)
    }

    fn memory(&self) -> MutexGuard<'_, ProcessMemory> {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Corrupts a body so that it is not JSON, without changing its length.
fn garbled_body(body: &Bytes) -> Bytes {
    body.iter().map(|byte| byte ^ 0x15).collect::<Vec<u8>>().into()
}

impl Backend for ApplicationEngine {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = HandlerResult> + Send>> {
        let path = request.uri().path().to_owned();
        let tool = path.strip_prefix("/calls/").filter(|tool| !tool.is_empty());
        match (request.method().clone(), tool) {
            (Method::POST, Some(tool)) => Box::pin(self.call(tool.to_owned(), request)),
            (Method::GET, None) if path == "/calls" => {
                Box::pin(async move { Ok(self.handle_lookup(&request)) })
            }
            _ => Box::pin(async { Ok(text_response(StatusCode::NOT_FOUND, "no such path")) }),
        }
    }

    fn reset(&self) {
        *self.memory() = ProcessMemory::default();
    }
}
