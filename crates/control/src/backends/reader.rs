//! Core side: reads the platform's list at intervals and serves it to followers.
//!
//! One core reads the list for all, since the platform limits and charges for reads: the live core
//! with the lowest address. The others follow that core, and read the list themselves as soon as it
//! stops responding.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use hooklug_protocol::backends::{BackendListItem, ListedBackend, WatchBackends};
use hooklug_protocol::control::{Member, MemberHealth};
use hooklug_rpc::{ItemSink, Router};
use hooklug_types::NodeRole;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};
use tracing::{info, warn};

use super::BackendList;
use crate::{InstalledBundle, NodeContext};

/// Age of the last read at which the list is no longer served, so that followers try another core.
const STALE_AFTER: Duration = Duration::from_secs(3);

/// Time without an item from the core that reads for all after which another reads the list itself.
const READER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Timeout for opening a stream to that core.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// Error while reading the platform's list; the last list read stays in use for a while.
#[derive(Debug, thiserror::Error)]
#[error("cannot read the platform's backend list: {0}")]
pub struct SourceError(pub String);

/// Source of the platform's list of backends.
#[async_trait]
pub trait BackendSource: Send + Sync {
    /// Reads the complete list.
    ///
    /// # Errors
    /// [`SourceError`] if any part of the list is unavailable.
    async fn read(&self) -> Result<Vec<ListedBackend>, SourceError>;
}

/// Receiver of the installed bundle.
pub type BundleWatch = watch::Receiver<Option<Arc<InstalledBundle>>>;

/// The list and the time at which it was read.
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
    /// Returns the handler of followers' requests. Each frame names the installed bundle, so an
    /// item is also sent with each new bundle to announce it to followers at once.
    #[must_use]
    pub fn rpc_router(&self, bundle: BundleWatch) -> Router {
        let readings = self.reading.clone();
        Router::new().route_stream(move |_peer, _request: WatchBackends, sink| {
            let readings = readings.subscribe();
            serve(readings, bundle.clone(), sink)
        })
    }

    /// Keeps the list up to date and never returns; `pause` is the delay between two reads.
    pub async fn run(&self, context: &NodeContext, source: &dyn BackendSource, pause: Duration) {
        loop {
            if let Some(reader) = reading_core(context) {
                self.follow(context, reader).await;
            }
            self.read(source).await;
            tokio::time::sleep(pause).await;
        }
    }

    async fn read(&self, source: &dyn BackendSource) {
        match source.read().await {
            Ok(backends) => self.publish(BackendList::new(backends)),
            Err(error) => warn!(%error, "the last backend list stays in use"),
        }
    }

    /// Follows the core that reads for all, until it stops responding or another core takes its
    /// role.
    async fn follow(&self, context: &NodeContext, reader: SocketAddr) {
        let request = WatchBackends { from: context.identity.address.clone() };
        let deadline = Instant::now() + OPEN_TIMEOUT;
        let Ok(mut items) = context.client.open(reader, &request, deadline).await else { return };
        let mut list = BackendList::default();
        while let Ok(Ok(Some(item))) = timeout(READER_TIMEOUT, items.next()).await {
            list.apply(item);
            self.publish(list.clone());
            if reading_core(context) != Some(reader) {
                return;
            }
        }
        info!(%reader, "stream from the core that reads the backend list ended; reading the list on this core");
    }

    fn publish(&self, list: BackendList) {
        self.reading.send_replace(Reading { list, at: Some(Instant::now()) });
    }
}

/// Returns the core that reads the list for all, the live one with the lowest address; `None` if
/// that is this core.
fn reading_core(context: &NodeContext) -> Option<SocketAddr> {
    let view = context.node.view.borrow();
    let is_alive =
        |m: &&Member| m.address.role == NodeRole::Core && m.health == MemberHealth::Alive;
    let cores = view.members.values().filter(is_alive);
    let reader = cores.map(|member| member.address.rpc).min()?;
    (reader < context.identity.address.rpc).then_some(reader)
}

/// Sends the full list, then an item for each read and each new bundle, until the list is stale or
/// the follower disconnects.
async fn serve(
    mut readings: watch::Receiver<Reading>,
    mut bundle: BundleWatch,
    sink: ItemSink<BackendListItem>,
) {
    let mut sent: Option<BackendList> = None;
    loop {
        let reading = readings.borrow_and_update().clone();
        if reading.is_fresh() {
            let item = match &sent {
                Some(sent) => reading.list.changes_since(sent),
                None => reading.list.full(),
            };
            if sink.send(&item).await.is_err() {
                return;
            }
            sent = Some(reading.list);
        }
        let changed = async {
            tokio::select! {
                changed = readings.changed() => changed,
                changed = bundle.changed() => changed,
            }
        };
        if !matches!(timeout(STALE_AFTER, changed).await, Ok(Ok(()))) {
            return;
        }
    }
}
