//! Fake model server. It streams deterministic text; cache misses and load slow it down.

mod cache;
mod generation;
pub mod text;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hooklug_types::{EngineId, Incarnation, ServiceName, ServiceVersion};
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde::Deserialize;
use tokio::sync::{Semaphore, mpsc};

use crate::fake_backend::{Backend, FakeBackend};
use crate::faults::RequestFaults;
use crate::http::{HandlerResult, NoResponse, read_json, stream_response, text_response};
use crate::identity::{BackendKind, Identity};
use crate::ledger::Ledger;
use crate::state::{BackendState, RequestId};
use cache::KvCache;
use generation::{Generation, ResponseLines};
use text::ContextItem;

/// Capacity of the cache for shared prefixes.
const PREFIX_CAPACITY: usize = 16;
/// Capacity of the cache for session histories.
const HISTORY_CAPACITY: usize = 256;
/// Number of lines buffered for a slow client.
const LINE_BUFFER: usize = 16;

/// Options of a fake model server.
#[derive(Debug, Clone)]
pub struct ModelOptions {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Name of the service.
    pub service: ServiceName,
    /// Id of the engine.
    pub engine: EngineId,
    /// Version of the service.
    pub version: ServiceVersion,
    /// Seed of the generated text.
    pub seed: u64,
    /// Concurrent generations.
    pub slots: u32,
    /// Maximum number of generations that wait for a slot; further ones are refused as overloaded.
    pub queue: u32,
    /// Time to the first token when the complete context is cached.
    pub first_token: Duration,
    /// Time to compute one uncached token of context.
    pub per_uncached_token: Duration,
    /// Length of a shared prefix, in tokens.
    pub prefix_tokens: u64,
    /// Time between tokens when idle.
    pub between_tokens: Duration,
    /// Slowdown of the token interval when all slots are in use: 0.5 means 50 % longer.
    pub load_factor: f64,
    /// File to which the ledger is appended.
    pub ledger: Option<PathBuf>,
}

/// Request body of `POST /generate`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Generate {
    session: String,
    turn: String,
    #[serde(default)]
    prefix: Option<String>,
    max_tokens: u64,
    #[serde(default)]
    context: Vec<ContextItem>,
    input: String,
}

/// Fake model server, started with [`ModelServer::start`].
#[derive(Debug)]
pub struct ModelServer {
    state: Arc<BackendState>,
    options: ModelOptions,
    slots: Arc<Semaphore>,
    cache: Mutex<KvCache>,
    last_response: Mutex<Option<ResponseLines>>,
}

impl ModelServer {
    /// Starts a model server.
    ///
    /// # Errors
    /// When it can't listen or open the ledger file.
    pub async fn start(options: ModelOptions) -> io::Result<FakeBackend> {
        let identity = Identity {
            service: options.service.clone(),
            engine: options.engine.clone(),
            incarnation: Incarnation::at_start(),
            version: options.version.clone(),
            kind: BackendKind::Model,
        };
        let ledger = Ledger::open(options.ledger.as_deref())?;
        let state = Arc::new(BackendState::new(identity, ledger, options.slots));
        let listen = options.listen;
        let server = Arc::new(Self {
            state: state.clone(),
            slots: Arc::new(Semaphore::new(options.slots as usize)),
            cache: Mutex::new(new_cache(&options)),
            last_response: Mutex::default(),
            options,
        });
        FakeBackend::start(listen, state, server).await
    }

    async fn generate(self: Arc<Self>, request: Request<Incoming>) -> HandlerResult {
        let headers = request.headers().clone();
        let body: Generate = match read_json(request).await {
            Ok(body) => body,
            Err(refusal) => return Ok(*refusal),
        };
        let route = body.prefix.clone().unwrap_or_default();
        let (id, faults) = match self.state.admit(&headers, &route) {
            Ok(admitted) => admitted,
            Err(refusal) => return Ok(*refusal),
        };
        if self.state.running() >= self.options.slots + self.options.queue {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Ok(self.state.refusal(&id, status, "overloaded"));
        }
        self.start_generation(body, id, faults).await
    }

    async fn start_generation(
        self: Arc<Self>,
        body: Generate,
        id: RequestId,
        faults: RequestFaults,
    ) -> HandlerResult {
        let (body_sender, body_chunks) = mpsc::channel(LINE_BUFFER);
        let crossed_lines = if faults.cross { self.last_response().clone() } else { None };
        let response_id =
            crossed_lines.as_ref().map_or_else(|| id.clone(), |lines| lines.request.clone());
        let generation = Generation::new(self.clone(), body, id, faults, crossed_lines);
        if faults.lose_answer {
            // Runs the generation to its end and discards its output.
            let (discarded, mut lines) = mpsc::channel(LINE_BUFFER);
            let running = tokio::spawn(generation.run(discarded));
            while lines.recv().await.is_some() {}
            let _ = running.await;
            return Err(NoResponse);
        }
        tokio::spawn(generation.run(body_sender));
        Ok(self
            .state
            .with_identity(&response_id, stream_response("application/x-ndjson", body_chunks)))
    }

    fn cache(&self) -> MutexGuard<'_, KvCache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn last_response(&self) -> MutexGuard<'_, Option<ResponseLines>> {
        self.last_response.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn new_cache(options: &ModelOptions) -> KvCache {
    KvCache::new(options.prefix_tokens, PREFIX_CAPACITY, HISTORY_CAPACITY)
}

impl Backend for ModelServer {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = HandlerResult> + Send>> {
        match (request.method().clone(), request.uri().path()) {
            (Method::POST, "/generate") => Box::pin(self.generate(request)),
            _ => Box::pin(async { Ok(text_response(StatusCode::NOT_FOUND, "no such path")) }),
        }
    }

    fn reset(&self) {
        *self.cache() = new_cache(&self.options);
        *self.last_response() = None;
    }
}
