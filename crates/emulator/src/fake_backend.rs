//! A running fake backend: its listener, its restarts in place, and the control requests under
//! `/emulator`.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::faults::Faults;
use crate::http::{
    Body, HandlerResult, full_response, json_response, read_json, serve, text_response,
};
use crate::identity::{Identity, Restart};
use crate::ledger::LedgerLine;
use crate::state::BackendState;

/// Behaviour that differs between kinds of backends.
pub(crate) trait Backend: Send + Sync + 'static {
    /// Handles a request other than those that all backends share.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = HandlerResult> + Send>>;

    /// Clears the state that a process loses on a restart.
    fn reset(&self);
}

/// A running fake backend. Dropping it stops it.
#[derive(Debug)]
pub struct FakeBackend {
    address: SocketAddr,
    state: Arc<BackendState>,
    restarts: watch::Sender<Restart>,
    stop: CancellationToken,
}

/// Response body of `GET /status`.
#[derive(Debug, Serialize)]
struct Status {
    ready: bool,
    draining: bool,
    slots: u32,
    running: u32,
}

impl FakeBackend {
    pub(crate) async fn start(
        listen: SocketAddr,
        state: Arc<BackendState>,
        backend: Arc<dyn Backend>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        let restarts = watch::Sender::new(Restart::default());
        let serve_loop = ServeLoop {
            address,
            state: state.clone(),
            backend,
            restarts: restarts.clone(),
            stop: stop.clone(),
        };
        tokio::spawn(serve_loop.run(listener));
        Ok(Self { address, state, restarts, stop })
    }

    /// The address on which it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The current identity.
    #[must_use]
    pub fn identity(&self) -> Identity {
        self.state.identity()
    }

    /// Replaces its faults.
    pub fn set_faults(&self, faults: Faults) {
        self.state.faults.set(faults);
    }

    /// Restarts the backend in place; the port is closed for `down_ms`.
    pub fn restart(&self, restart: Restart) {
        self.restarts.send_replace(restart);
    }

    /// The ledger, over all restarts.
    #[must_use]
    pub fn ledger(&self) -> Vec<LedgerLine> {
        self.state.ledger.lines()
    }

    /// The number of requests that are running.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.state.running()
    }

    /// Closes the port and all connections.
    pub fn stop(&self) {
        self.stop.cancel();
    }

    /// Waits until the backend is stopped.
    pub async fn stopped(&self) {
        self.stop.cancelled().await;
    }
}

impl Drop for FakeBackend {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Serves the successive incarnations of a fake backend on the same port.
struct ServeLoop {
    address: SocketAddr,
    state: Arc<BackendState>,
    backend: Arc<dyn Backend>,
    restarts: watch::Sender<Restart>,
    stop: CancellationToken,
}

impl ServeLoop {
    async fn run(self, mut listener: TcpListener) {
        let mut restarts = self.restarts.subscribe();
        loop {
            let shutdown = self.stop.child_token();
            let serving = tokio::spawn(self.serve_incarnation(listener, shutdown.clone()));
            let restart = tokio::select! {
                () = self.stop.cancelled() => return,
                changed = restarts.changed() => match changed {
                    Ok(()) => restarts.borrow_and_update().clone(),
                    Err(_) => return,
                },
            };
            shutdown.cancel();
            // A panic of the task has been reported already; the next incarnation starts anyway.
            let _ = serving.await;
            self.backend.reset();
            self.state.faults.end_drain();
            tokio::time::sleep(Duration::from_millis(restart.down_ms)).await;
            self.state.set_identity(self.state.identity().restarted(&restart));
            match self.rebind().await {
                Some(bound) => listener = bound,
                None => return,
            }
        }
    }

    fn serve_incarnation(
        &self,
        listener: TcpListener,
        shutdown: CancellationToken,
    ) -> impl Future<Output = ()> + use<> {
        let (state, backend, restarts) =
            (self.state.clone(), self.backend.clone(), self.restarts.clone());
        serve(listener, shutdown, move |request| {
            handle_request(state.clone(), backend.clone(), restarts.clone(), request)
        })
    }

    async fn rebind(&self) -> Option<TcpListener> {
        while !self.stop.is_cancelled() {
            match TcpListener::bind(self.address).await {
                Ok(listener) => return Some(listener),
                Err(error) => {
                    tracing::warn!(%error, address = %self.address, "cannot listen after a restart, retrying");
                }
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        None
    }
}

async fn handle_request(
    state: Arc<BackendState>,
    backend: Arc<dyn Backend>,
    restarts: watch::Sender<Restart>,
    request: Request<Incoming>,
) -> HandlerResult {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    match (method, path.as_str()) {
        (Method::GET, "/identity") => Ok(json_response(StatusCode::OK, &state.identity())),
        (Method::GET, "/status") => Ok(status_response(&state)),
        (Method::GET, "/emulator/ledger") => Ok(ledger_response(&state)),
        (Method::GET, "/emulator/faults") => Ok(json_response(StatusCode::OK, &state.faults.get())),
        (Method::PUT, "/emulator/faults") => {
            Ok(apply_update(read_json(request).await, |faults| state.faults.set(faults)))
        }
        (Method::PUT, "/emulator/restart") => {
            Ok(apply_update(read_json(request).await, |restart| {
                // The response is sent first, because the restart closes this connection, too.
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    restarts.send_replace(restart);
                });
            }))
        }
        _ => backend.handle(request).await,
    }
}

fn apply_update<T>(read: Result<T, Box<Response<Body>>>, apply: impl FnOnce(T)) -> Response<Body> {
    match read {
        Ok(value) => {
            apply(value);
            text_response(StatusCode::OK, "switched")
        }
        Err(refusal) => *refusal,
    }
}

fn status_response(state: &BackendState) -> Response<Body> {
    let status = Status {
        ready: true,
        draining: state.faults.get().draining,
        slots: state.slots,
        running: state.running(),
    };
    json_response(StatusCode::OK, &status)
}

fn ledger_response(state: &BackendState) -> Response<Body> {
    let lines = state.ledger.lines();
    let text: String = lines
        .iter()
        .filter_map(|line| serde_json::to_string(line).ok())
        .map(|line| line + "\n")
        .collect();
    full_response(StatusCode::OK, "application/x-ndjson", text.into())
}
