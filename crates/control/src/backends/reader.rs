//! A core's side: has the list read again and again, and serves it to followers.
//!
//! One core reads it for all, since the platform bounds and prices readings: the first of the cores that live. The
//! others follow that one, and read the list themselves as soon as it falls silent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use hooklug_protocol::backends::{BackendsItem, ListedBackend, WatchBackends};
use hooklug_protocol::control::{Member, MemberHealth};
use hooklug_rpc::{ItemSink, Router};
use hooklug_types::NodeRole;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};
use tracing::{info, warn};

use super::BackendList;
use crate::{InstalledBundle, NodeContext};

/// Age of the last reading at which the list is no longer served (ours): followers try another core.
const STALE_AFTER: Duration = Duration::from_secs(3);

/// Silence of the core that reads for all after which another reads the list itself (ours).
const FIRST_SILENCE: Duration = Duration::from_millis(1_500);

/// Longest wait for that core to take the request (ours).
const OPEN_TIME: Duration = Duration::from_millis(500);

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

/// The bundle in force here, as it changes.
pub type BundleWatch = watch::Receiver<Option<Arc<InstalledBundle>>>;

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
    /// Answers to followers. Each frame names the bundle that is in force here, so one is sent with each new bundle too:
    /// followers then hear of it at once.
    #[must_use]
    pub fn rpc_router(&self, bundle: BundleWatch) -> Router {
        let readings = self.reading.clone();
        Router::new().stream(move |_peer, _request: WatchBackends, sink| {
            let readings = readings.subscribe();
            serve(readings, bundle.clone(), sink)
        })
    }

    /// Keeps the list fresh, for ever; `pause` lies between two readings.
    pub async fn run(&self, context: &NodeContext, source: &dyn BackendSource, pause: Duration) {
        loop {
            if let Some(first) = first_core(context) {
                self.follow(context, first).await;
            }
            self.read(source).await;
            tokio::time::sleep(pause).await;
        }
    }

    async fn read(&self, source: &dyn BackendSource) {
        match source.read().await {
            Ok(backends) => self.publish(BackendList::new(backends)),
            Err(error) => warn!(%error, "the last list stays in use"),
        }
    }

    /// Follows the core that reads for all, until it falls silent.
    async fn follow(&self, context: &NodeContext, first: SocketAddr) {
        let request = WatchBackends { from: context.identity.address.clone() };
        let deadline = Instant::now() + OPEN_TIME;
        let Ok(mut items) = context.client.open(first, &request, deadline).await else { return };
        let mut list = BackendList::default();
        while let Ok(Ok(Some(item))) = timeout(FIRST_SILENCE, items.next()).await {
            list.apply(item);
            self.publish(list.clone());
            if first_core(context) != Some(first) {
                return;
            }
        }
        info!(%first, "the core that reads the list is silent, reading it here");
    }

    fn publish(&self, list: BackendList) {
        self.reading.send_replace(Reading { list, at: Some(Instant::now()) });
    }
}

/// The core that reads the list for all: the one with the lowest address among those that live; `None` when that is
/// this one.
fn first_core(context: &NodeContext) -> Option<SocketAddr> {
    let view = context.node.view.borrow();
    let lives = |m: &&Member| m.address.role == NodeRole::Core && m.health == MemberHealth::Alive;
    let cores = view.members.values().filter(lives);
    let first = cores.map(|member| member.address.rpc).min()?;
    (first < context.identity.address.rpc).then_some(first)
}

/// Sends the whole list, then an item with each reading and each new bundle, until the list is stale or the follower
/// gone.
async fn serve(
    mut readings: watch::Receiver<Reading>,
    mut bundle: BundleWatch,
    sink: ItemSink<BackendsItem>,
) {
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
