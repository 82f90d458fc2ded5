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

use crate::fake_backend::{Backend, StandIn};
use crate::faults::Hit;
use crate::headers;
use crate::http::{Answer, Body, Unanswered, cut, json, read_json, text, whole};
use crate::identity::{BackendKind, Identity};
use crate::ledger::{Ledger, LedgerEntry};
use crate::state::{Core, RequestId, header_text};

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
    core: Arc<Core>,
    run_time: Duration,
    slots: Semaphore,
    memory: Mutex<Memory>,
}

/// State that is lost on a restart.
#[derive(Debug, Default)]
struct Memory {
    calls: BTreeMap<String, CallMemory>,
    last_answer: Option<Finished>,
}

#[derive(Debug, Clone, Default)]
struct CallMemory {
    times: u32,
    answer: Option<Value>,
}

/// A response that is ready to be sent.
#[derive(Debug, Clone)]
struct Finished {
    id: RequestId,
    body: Bytes,
}

/// Response body of a call lookup.
#[derive(Debug, Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
enum LookUp {
    Done { status: u16, body: Value },
    Running,
    Never,
}

impl ApplicationEngine {
    /// Starts an application engine.
    ///
    /// # Errors
    /// When it can't listen or open the ledger file.
    pub async fn start(options: ApplicationOptions) -> io::Result<StandIn> {
        let identity = Identity {
            service: options.service,
            engine: options.engine,
            incarnation: Incarnation::at_start(),
            version: options.version,
            kind: BackendKind::Application,
        };
        let ledger = Ledger::open(options.ledger.as_deref())?;
        let core = Arc::new(Core::new(identity, ledger, options.slots));
        let engine = Arc::new(Self {
            core: core.clone(),
            run_time: options.run_time,
            slots: Semaphore::new(options.slots as usize),
            memory: Mutex::default(),
        });
        StandIn::start(options.listen, core, engine).await
    }

    async fn call(self: Arc<Self>, tool: String, request: Request<Incoming>) -> Answer {
        let headers = request.headers().clone();
        let (id, hit) = match self.core.admit(&headers, &tool) {
            Ok(admitted) => admitted,
            Err(refusal) => {
                self.record_refusal(&headers, &refusal);
                return Ok(*refusal);
            }
        };
        let arguments: Value = match read_json(request).await {
            Ok(arguments) => arguments,
            Err(refusal) => return Ok(self.core.signed(&id, *refusal)),
        };
        // Runs in a separate task, so that the call completes even if the client disconnects.
        let running = tokio::spawn(self.clone().run(tool, id, headers, arguments, hit));
        let finished = running.await.map_err(|_| Unanswered)?;
        self.send(finished, hit).await
    }

    fn record_refusal(&self, request: &HeaderMap, answer: &Response<Body>) {
        if let Some(reason) = header_text(answer.headers(), headers::REFUSED) {
            let call = header_text(request, headers::CALL).unwrap_or_default().to_owned();
            self.core.record(LedgerEntry::Refused { call, reason: reason.to_owned() });
        }
    }

    async fn run(
        self: Arc<Self>,
        tool: String,
        id: RequestId,
        headers: HeaderMap,
        arguments: Value,
        hit: Hit,
    ) -> Finished {
        let _running = self.core.enter();
        let _slot = self.slots.acquire().await;
        let named = |name| header_text(&headers, name).unwrap_or_default().to_owned();
        let call = named(headers::CALL);
        let times = self.begin(&call);
        self.core.record(LedgerEntry::CallRan {
            call: call.clone(),
            attempt: named(headers::ATTEMPT),
            tool: tool.clone(),
            request: id.0.clone(),
            times,
        });
        tokio::time::sleep(self.run_time + hit.delay).await;
        let answer = serde_json::json!({
            "tool": tool, "call": call, "times": times, "arguments": arguments,
            "engine": self.core.identity().engine,
        });
        self.end(&call, &answer);
        Finished { id, body: serde_json::to_vec(&answer).unwrap_or_default().into() }
    }

    fn begin(&self, call: &str) -> u32 {
        let mut memory = self.memory();
        let known = memory.calls.entry(call.to_owned()).or_default();
        known.times += 1;
        known.times
    }

    fn end(&self, call: &str, answer: &Value) {
        if let Some(known) = self.memory().calls.get_mut(call) {
            known.answer = Some(answer.clone());
        }
    }

    async fn send(&self, own: Finished, hit: Hit) -> Answer {
        if hit.stall {
            std::future::pending::<()>().await;
        }
        if hit.lose_answer {
            return Err(Unanswered);
        }
        let before = self.memory().last_answer.replace(own.clone());
        let Finished { id, body } = if hit.cross { before.unwrap_or(own) } else { own };
        let answer = if hit.cut_short {
            cut(JSON, &body)
        } else if hit.garble {
            whole(StatusCode::OK, JSON, garbled(&body))
        } else {
            whole(StatusCode::OK, JSON, body)
        };
        Ok(self.core.signed(&id, answer))
    }

    /// Looks up a call. Gateways rely on the result to settle calls, so the response carries the
    /// request id and the identity like any other.
    fn signed_look_up(&self, request: &Request<Incoming>) -> Response<Body> {
        let answer = self.look_up(request.uri().query().unwrap_or_default());
        match RequestId::of(request.headers()) {
            Some(id) => self.core.signed(&id, answer),
            None => answer,
        }
    }

    fn look_up(&self, query: &str) -> Response<Body> {
        if self.core.faults.get().no_lookup {
            return text(StatusCode::NOT_FOUND, "call lookup is disabled");
        }
        let Some(call) = query.split('&').find_map(|pair| pair.strip_prefix("call=")) else {
            return text(StatusCode::BAD_REQUEST, "query parameter call is missing");
        };
        let call = call.replace("%2F", "/").replace("%2f", "/").replace("%3A", ":");
        let state = match self.memory().calls.get(&call).cloned() {
            None => LookUp::Never,
            Some(CallMemory { answer: None, .. }) => LookUp::Running,
            Some(CallMemory { answer: Some(body), .. }) => LookUp::Done { status: 200, body },
        };
        json(StatusCode::OK, &state)
    }

    fn memory(&self) -> MutexGuard<'_, Memory> {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Corrupts a body so that it is not JSON, without changing its length.
fn garbled(body: &Bytes) -> Bytes {
    body.iter().map(|byte| byte ^ 0x15).collect::<Vec<u8>>().into()
}

impl Backend for ApplicationEngine {
    fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = Answer> + Send>> {
        let path = request.uri().path().to_owned();
        let tool = path.strip_prefix("/calls/").filter(|tool| !tool.is_empty());
        match (request.method().clone(), tool) {
            (Method::POST, Some(tool)) => Box::pin(self.call(tool.to_owned(), request)),
            (Method::GET, None) if path == "/calls" => {
                Box::pin(async move { Ok(self.signed_look_up(&request)) })
            }
            _ => Box::pin(async { Ok(text(StatusCode::NOT_FOUND, "no such path")) }),
        }
    }

    fn forget(&self) {
        *self.memory() = Memory::default();
    }
}
