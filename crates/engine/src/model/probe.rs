//! Asks the model server once a second who and how it is.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tracing::info;

use super::connection::{ConnectError, ModelConnection};
use super::generate::ModelClient;
use super::identity::{BackendIdentity, ServerStatus};

/// Time between probes (ours).
const PROBE_EVERY: Duration = Duration::from_secs(1);

/// Time between probes while the server does not answer (ours).
const RETRY_EVERY: Duration = Duration::from_millis(250);

/// Failed probes in a row after which the server counts as gone (ours).
const FAILURES_UNTIL_GONE: u32 = 2;

/// How the model server is.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum ModelHealth {
    /// Not asked yet.
    #[default]
    Unknown,
    /// It answers and takes work.
    Ready(ServerStatus),
    /// It does not, for this reason.
    Unready(String),
}

impl ModelHealth {
    /// Whether it takes work.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        matches!(self, Self::Ready(_))
    }
}

/// Probes one model server.
#[derive(Debug)]
pub struct ModelProbe {
    client: Arc<ModelClient>,
    health: watch::Sender<ModelHealth>,
}

impl ModelProbe {
    /// A probe for a client's server; nothing is asked before [`ModelProbe::run`].
    #[must_use]
    pub fn new(client: Arc<ModelClient>) -> Self {
        Self { client, health: watch::Sender::new(ModelHealth::Unknown) }
    }

    /// Follows how the server is.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<ModelHealth> {
        self.health.subscribe()
    }

    /// Probes until stopped.
    pub async fn run(self, stop: CancellationToken) {
        let mut connection = None;
        let mut failures = 0;
        loop {
            let probed = tokio::select! {
                () = stop.cancelled() => return,
                probed = self.probe(&mut connection) => probed,
            };
            match probed {
                Ok((identity, status)) => {
                    failures = 0;
                    self.note(&identity, status);
                }
                Err(error) => {
                    connection = None;
                    failures += 1;
                    if failures >= FAILURES_UNTIL_GONE {
                        self.health.send_replace(ModelHealth::Unready(error.to_string()));
                    }
                }
            }
            let pause = if failures == 0 { PROBE_EVERY } else { RETRY_EVERY };
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(pause) => {}
            }
        }
    }

    /// Asks on the kept connection, or on a new one: a server that was replaced is asked anew who it is.
    async fn probe(
        &self,
        kept: &mut Option<ModelConnection>,
    ) -> Result<(BackendIdentity, ServerStatus), ConnectError> {
        let address = self.client.address();
        let mut connection = match kept.take().filter(ModelConnection::is_usable) {
            Some(connection) => connection,
            None => ModelConnection::open(address).await?,
        };
        let status = connection.get(address, "/status").await?;
        let identity = connection.identity().clone();
        *kept = Some(connection);
        Ok((identity, status))
    }

    fn note(&self, identity: &BackendIdentity, status: ServerStatus) {
        if !self.client.accepts(identity) {
            let reason = format!("{identity} is not this engine's model server");
            self.client.expect(None);
            self.health.send_replace(ModelHealth::Unready(reason));
            return;
        }
        if *self.client.watch_expected().borrow() != Some(identity.clone()) {
            info!(%identity, "model server");
        }
        self.client.expect(Some(identity));
        let health = if status.ready && !status.draining {
            ModelHealth::Ready(status)
        } else {
            ModelHealth::Unready("model server is not ready or draining".to_owned())
        };
        self.health.send_replace(health);
    }
}
