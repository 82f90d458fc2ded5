//! Polls the identity and the status of the model server once a second.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tracing::info;

use super::connection::{ConnectError, ModelConnection};
use super::generate::ModelClient;
use super::identity::{BackendIdentity, ServerStatus};

/// Interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between probes after a failed one.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Consecutive failed probes after which the server is reported as unready.
const FAILURES_UNTIL_UNREADY: u32 = 2;

/// Health of the model server.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum ModelHealth {
    /// Not probed yet.
    #[default]
    Unknown,
    /// The server responds and accepts requests.
    Ready(ServerStatus),
    /// The server does not respond, or accepts no requests, for this reason.
    Unready(String),
}

impl ModelHealth {
    /// Whether the server accepts requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        matches!(self, Self::Ready(_))
    }
}

/// Periodic health probe of one model server.
#[derive(Debug)]
pub struct ModelProbe {
    client: Arc<ModelClient>,
    health: watch::Sender<ModelHealth>,
}

impl ModelProbe {
    /// Creates a probe of a client's server; nothing is sent before [`ModelProbe::run`].
    #[must_use]
    pub fn new(client: Arc<ModelClient>) -> Self {
        Self { client, health: watch::Sender::new(ModelHealth::Unknown) }
    }

    /// Subscribes to the server's health.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<ModelHealth> {
        self.health.subscribe()
    }

    /// Probes until stopped.
    pub async fn run(self, stop: CancellationToken) {
        let mut connection = None;
        let mut failures = 0;
        loop {
            let result = tokio::select! {
                () = stop.cancelled() => return,
                result = self.probe(&mut connection) => result,
            };
            match result {
                Ok((identity, status)) => {
                    failures = 0;
                    self.record(&identity, status);
                }
                Err(error) => {
                    connection = None;
                    failures += 1;
                    if failures >= FAILURES_UNTIL_UNREADY {
                        self.health.send_replace(ModelHealth::Unready(error.to_string()));
                    }
                }
            }
            let pause = if failures == 0 { PROBE_INTERVAL } else { RETRY_INTERVAL };
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(pause) => {}
            }
        }
    }

    /// Probes on the open connection if it is usable, else on a new one, which reads the identity
    /// again in case the server was replaced.
    async fn probe(
        &self,
        cached: &mut Option<ModelConnection>,
    ) -> Result<(BackendIdentity, ServerStatus), ConnectError> {
        let address = self.client.address();
        let mut connection = match cached.take().filter(ModelConnection::is_usable) {
            Some(connection) => connection,
            None => ModelConnection::open(address).await?,
        };
        let status = connection.get(address, "/status").await?;
        let identity = connection.identity().clone();
        *cached = Some(connection);
        Ok((identity, status))
    }

    fn record(&self, identity: &BackendIdentity, status: ServerStatus) {
        if !self.client.accepts(identity) {
            let reason = format!("{identity} is not this engine's model server");
            self.client.set_expected(None);
            self.health.send_replace(ModelHealth::Unready(reason));
            return;
        }
        if *self.client.watch_expected().borrow() != Some(identity.clone()) {
            info!(%identity, "model server identity changed");
        }
        self.client.set_expected(Some(identity));
        let health = if status.ready && !status.draining {
            ModelHealth::Ready(status)
        } else {
            ModelHealth::Unready("model server is not ready or is draining".to_owned())
        };
        self.health.send_replace(health);
    }
}
