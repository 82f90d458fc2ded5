//! Fake of the platform's engine list. Changes become visible after a configured delay.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hooklug_types::ZoneName;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::http::{HandlerResult, json_response, read_json, serve, text_response};

/// Engine list, as specified in `docs/BACKENDS.md`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineList {
    /// Entries of the list.
    pub engines: Vec<ListedEngine>,
}

/// An engine that the platform has started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedEngine {
    /// Address on which the engine listens.
    pub address: SocketAddr,
    /// Zone of the engine.
    pub zone: ZoneName,
}

/// Options of the fake engine list.
#[derive(Debug, Clone)]
pub struct PlatformOptions {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Initial list.
    pub engines: EngineList,
    /// Delay until a change becomes visible.
    pub lag: Duration,
}

#[derive(Debug)]
struct DelayedList {
    visible: EngineList,
    /// Changes that are not visible yet with the time at which they become visible, oldest first.
    pending: Vec<(Instant, EngineList)>,
    lag: Duration,
}

impl DelayedList {
    fn set(&mut self, list: EngineList) {
        self.pending.push((Instant::now() + self.lag, list));
    }

    fn visible_list(&mut self) -> EngineList {
        let now = Instant::now();
        let due = self.pending.iter().take_while(|(at, _)| *at <= now).count();
        if let Some((_, newest)) = self.pending.drain(..due).next_back() {
            self.visible = newest;
        }
        self.visible.clone()
    }
}

/// Server of the platform's engine list at `GET /engines`. Dropping it stops it.
#[derive(Debug)]
pub struct PlatformList {
    address: SocketAddr,
    list: Arc<Mutex<DelayedList>>,
    stop: CancellationToken,
}

impl PlatformList {
    /// Starts the server.
    ///
    /// # Errors
    /// When it can't listen.
    pub async fn start(options: PlatformOptions) -> io::Result<Self> {
        let listener = TcpListener::bind(options.listen).await?;
        let address = listener.local_addr()?;
        let list = DelayedList { visible: options.engines, pending: Vec::new(), lag: options.lag };
        let list = Arc::new(Mutex::new(list));
        let stop = CancellationToken::new();
        let served = list.clone();
        tokio::spawn(serve(listener, stop.clone(), move |request| handle(served.clone(), request)));
        Ok(Self { address, list, stop })
    }

    /// The address on which it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the list; the change becomes visible after the delay.
    pub fn set(&self, list: EngineList) {
        self.list.lock().unwrap_or_else(PoisonError::into_inner).set(list);
    }

    /// Waits until the server is stopped.
    pub async fn stopped(&self) {
        self.stop.cancelled().await;
    }
}

impl Drop for PlatformList {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn handle(list: Arc<Mutex<DelayedList>>, request: Request<Incoming>) -> HandlerResult {
    let lock = || list.lock().unwrap_or_else(PoisonError::into_inner);
    let path = request.uri().path().to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::GET, "/engines") => Ok(json_response(StatusCode::OK, &lock().visible_list())),
        (Method::PUT, "/emulator/engines") => match read_json(request).await {
            Ok(list) => {
                lock().set(list);
                Ok(text_response(StatusCode::OK, "switched"))
            }
            Err(refusal) => Ok(*refusal),
        },
        _ => Ok(text_response(StatusCode::NOT_FOUND, "no such path")),
    }
}
