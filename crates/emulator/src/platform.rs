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

use crate::http::{Answer, json, read_json, serve, text};

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
struct Versions {
    shown: EngineList,
    /// Changes that are not visible yet with the time at which they become visible, oldest first.
    coming: Vec<(Instant, EngineList)>,
    lag: Duration,
}

impl Versions {
    fn set(&mut self, list: EngineList) {
        self.coming.push((Instant::now() + self.lag, list));
    }

    fn show(&mut self) -> EngineList {
        let now = Instant::now();
        let seen = self.coming.iter().take_while(|(at, _)| *at <= now).count();
        if let Some((_, newest)) = self.coming.drain(..seen).next_back() {
            self.shown = newest;
        }
        self.shown.clone()
    }
}

/// Server of the platform's engine list at `GET /engines`. Dropping it stops it.
#[derive(Debug)]
pub struct PlatformList {
    address: SocketAddr,
    versions: Arc<Mutex<Versions>>,
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
        let versions = Versions { shown: options.engines, coming: Vec::new(), lag: options.lag };
        let versions = Arc::new(Mutex::new(versions));
        let stop = CancellationToken::new();
        let served = versions.clone();
        tokio::spawn(serve(listener, stop.clone(), move |request| answer(served.clone(), request)));
        Ok(Self { address, versions, stop })
    }

    /// The address on which it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the list; the change becomes visible after the delay.
    pub fn set(&self, list: EngineList) {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner).set(list);
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

async fn answer(versions: Arc<Mutex<Versions>>, request: Request<Incoming>) -> Answer {
    let lock = || versions.lock().unwrap_or_else(PoisonError::into_inner);
    let path = request.uri().path().to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::GET, "/engines") => Ok(json(StatusCode::OK, &lock().show())),
        (Method::PUT, "/emulator/engines") => match read_json(request).await {
            Ok(list) => {
                lock().set(list);
                Ok(text(StatusCode::OK, "switched"))
            }
            Err(refusal) => Ok(*refusal),
        },
        _ => Ok(text(StatusCode::NOT_FOUND, "no such path")),
    }
}
