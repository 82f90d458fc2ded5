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
use crate::http::{Answer, Body, json, read_json, serve, text, whole};
use crate::identity::{Identity, Restart};
use crate::ledger::LedgerLine;
use crate::state::Core;

/// Behaviour that differs between kinds of backends.
pub(crate) trait Backend: Send + Sync + 'static {
    /// Handles a request other than those that all backends share.
    fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = Answer> + Send>>;

    /// Clears the state that a process loses on a restart.
    fn forget(&self);
}

/// A running fake backend. Dropping it stops it.
#[derive(Debug)]
pub struct StandIn {
    address: SocketAddr,
    core: Arc<Core>,
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

impl StandIn {
    pub(crate) async fn start(
        listen: SocketAddr,
        core: Arc<Core>,
        backend: Arc<dyn Backend>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        let restarts = watch::Sender::new(Restart::default());
        let runs = Runs {
            address,
            core: core.clone(),
            backend,
            restarts: restarts.clone(),
            stop: stop.clone(),
        };
        tokio::spawn(runs.serve_all(listener));
        Ok(Self { address, core, restarts, stop })
    }

    /// The address on which it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The current identity.
    #[must_use]
    pub fn identity(&self) -> Identity {
        self.core.identity()
    }

    /// Replaces its faults.
    pub fn set_faults(&self, faults: Faults) {
        self.core.faults.set(faults);
    }

    /// Restarts the backend in place; the port is closed for `down_ms`.
    pub fn restart(&self, restart: Restart) {
        self.restarts.send_replace(restart);
    }

    /// The ledger, over all restarts.
    #[must_use]
    pub fn ledger(&self) -> Vec<LedgerLine> {
        self.core.ledger.lines()
    }

    /// The number of requests that are running.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.core.running()
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

impl Drop for StandIn {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Serves the successive incarnations of a fake backend on the same port.
struct Runs {
    address: SocketAddr,
    core: Arc<Core>,
    backend: Arc<dyn Backend>,
    restarts: watch::Sender<Restart>,
    stop: CancellationToken,
}

impl Runs {
    async fn serve_all(self, mut listener: TcpListener) {
        let mut restarts = self.restarts.subscribe();
        loop {
            let run = self.stop.child_token();
            let serving = tokio::spawn(self.serve_run(listener, run.clone()));
            let restart = tokio::select! {
                () = self.stop.cancelled() => return,
                changed = restarts.changed() => match changed {
                    Ok(()) => restarts.borrow_and_update().clone(),
                    Err(_) => return,
                },
            };
            run.cancel();
            // A panic of the task has been reported already; the next incarnation starts anyway.
            let _ = serving.await;
            self.backend.forget();
            self.core.faults.end_drain();
            tokio::time::sleep(Duration::from_millis(restart.down_ms)).await;
            self.core.set_identity(self.core.identity().restarted(&restart));
            match self.listen_again().await {
                Some(bound) => listener = bound,
                None => return,
            }
        }
    }

    fn serve_run(
        &self,
        listener: TcpListener,
        run: CancellationToken,
    ) -> impl Future<Output = ()> + use<> {
        let (core, backend, restarts) =
            (self.core.clone(), self.backend.clone(), self.restarts.clone());
        serve(listener, run, move |request| {
            route(core.clone(), backend.clone(), restarts.clone(), request)
        })
    }

    async fn listen_again(&self) -> Option<TcpListener> {
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

async fn route(
    core: Arc<Core>,
    backend: Arc<dyn Backend>,
    restarts: watch::Sender<Restart>,
    request: Request<Incoming>,
) -> Answer {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    match (method, path.as_str()) {
        (Method::GET, "/identity") => Ok(json(StatusCode::OK, &core.identity())),
        (Method::GET, "/status") => Ok(status(&core)),
        (Method::GET, "/emulator/ledger") => Ok(ledger(&core)),
        (Method::GET, "/emulator/faults") => Ok(json(StatusCode::OK, &core.faults.get())),
        (Method::PUT, "/emulator/faults") => {
            Ok(switched(read_json(request).await, |faults| core.faults.set(faults)))
        }
        (Method::PUT, "/emulator/restart") => {
            Ok(switched(read_json(request).await, |restart| {
                // The response is sent first, because the restart closes this connection, too.
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    restarts.send_replace(restart);
                });
            }))
        }
        _ => backend.answer(request).await,
    }
}

fn switched<T>(read: Result<T, Box<Response<Body>>>, switch: impl FnOnce(T)) -> Response<Body> {
    match read {
        Ok(value) => {
            switch(value);
            text(StatusCode::OK, "switched")
        }
        Err(refusal) => *refusal,
    }
}

fn status(core: &Core) -> Response<Body> {
    let status = Status {
        ready: true,
        draining: core.faults.get().draining,
        slots: core.slots,
        running: core.running(),
    };
    json(StatusCode::OK, &status)
}

fn ledger(core: &Core) -> Response<Body> {
    let lines = core.ledger.lines();
    let text: String = lines
        .iter()
        .filter_map(|line| serde_json::to_string(line).ok())
        .map(|line| line + "\n")
        .collect();
    whole(StatusCode::OK, "application/x-ndjson", text.into())
}
