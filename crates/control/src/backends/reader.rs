//! A core's side: reads the list again and again and serves it to followers.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use hooklug_protocol::backends::{BackendsItem, ListedBackend, WatchBackends};
use hooklug_rpc::{ItemSink, Router};
use tokio::sync::watch;
use tokio::time::{Instant, timeout};
use tracing::warn;

use super::BackendList;

/// Age of the last reading at which the list is no longer served (ours): followers try another core.
const STALE_AFTER: Duration = Duration::from_secs(3);

/// Why the platform's list could not be read; the last one read stays in use for a while.
#[derive(Debug, thiserror::Error)]
#[error("the platform's list cannot be read: {0}")]
pub struct SourceError(pub String);

/// Where the platform's list comes from.
#[async_trait]
pub trait BackendSource: Send + Sync {
    /// Reads the whole list.
    ///
    /// # Errors
    /// [`SourceError`] when any part of it could not be had.
    async fn read(&self) -> Result<Vec<ListedBackend>, SourceError>;
}

/// One reading of the list.
#[derive(Debug, Clone, Default)]
struct Reading {
    list: BackendList,
    at: Option<Instant>,
}

impl Reading {
    fn is_fresh(&self) -> bool {
        self.at.is_some_and(|at| at.elapsed() < STALE_AFTER)
    }
}

/// Reads and serves the list. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct BackendReader {
    reading: Arc<watch::Sender<Reading>>,
}

impl BackendReader {
    /// Answers to followers.
    #[must_use]
    pub fn rpc_router(&self) -> Router {
        let readings = self.reading.clone();
        Router::new().stream(move |_peer, _request: WatchBackends, sink| {
            let readings = readings.subscribe();
            serve(readings, sink)
        })
    }

    /// Reads the list with a pause between readings, for ever.
    pub async fn run(&self, source: &dyn BackendSource, pause: Duration) {
        loop {
            match source.read().await {
                Ok(backends) => {
                    let list = BackendList::new(backends);
                    self.reading.send_replace(Reading { list, at: Some(Instant::now()) });
                }
                Err(error) => warn!(%error, "the last list stays in use"),
            }
            tokio::time::sleep(pause).await;
        }
    }
}

/// Sends the whole list, then an item with each reading, until the list is stale or the follower gone.
async fn serve(mut readings: watch::Receiver<Reading>, sink: ItemSink<BackendsItem>) {
    let mut sent: Option<BackendList> = None;
    loop {
        let reading = readings.borrow_and_update().clone();
        if reading.is_fresh() {
            let item = match &sent {
                Some(sent) => reading.list.changes_since(sent),
                None => reading.list.whole(),
            };
            if sink.send(&item).await.is_err() {
                return;
            }
            sent = Some(reading.list);
        }
        if !matches!(timeout(STALE_AFTER, readings.changed()).await, Ok(Ok(()))) {
            return;
        }
    }
}
