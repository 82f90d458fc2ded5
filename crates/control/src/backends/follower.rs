//! Gateway side: follows the platform's list from one core at a time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hooklug_protocol::backends::WatchBackends;
use hooklug_types::NodeRole;
use rand::seq::SliceRandom;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};
use tracing::info;

use super::BackendList;
use crate::NodeContext;

/// Name of this component among the reasons for not being ready.
const COMPONENT: &str = "backends";

/// Time without an item after which another core is followed; a core sends an item with each read,
/// at least once per second.
const STREAM_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Timeout for opening a stream to a core.
const OPEN_TIMEOUT: Duration = Duration::from_millis(800);

/// Delay before the next core is tried.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Receiver of the latest list; `None` until the first one arrives.
pub type BackendWatch = watch::Receiver<Option<Arc<BackendList>>>;

/// Follows the platform's list of backends.
#[derive(Debug)]
pub struct BackendFollower {
    context: NodeContext,
    list: watch::Sender<Option<Arc<BackendList>>>,
}

impl BackendFollower {
    /// Creates a follower. The node is not ready until the first list arrives.
    #[must_use]
    pub fn new(context: NodeContext) -> Self {
        context.node.readiness.set_not_ready(COMPONENT, "the list of backends is not known yet");
        Self { context, list: watch::Sender::new(None) }
    }

    /// Returns a receiver of the list.
    #[must_use]
    pub fn watch(&self) -> BackendWatch {
        self.list.subscribe()
    }

    /// Follows cores, one after the other; never returns.
    pub async fn run(self) {
        loop {
            for core in self.cores() {
                self.follow(core).await;
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Returns the cores to follow: those of the view, own zone first and otherwise in random
    /// order, then the seeds.
    fn cores(&self) -> Vec<SocketAddr> {
        let view = self.context.node.view.borrow().clone();
        let own_zone = &self.context.identity.address.zone;
        let cores = view.members.values().filter(|m| m.address.role == NodeRole::Core);
        let mut cores: Vec<_> =
            cores.map(|m| (m.address.zone != *own_zone, m.address.rpc)).collect();
        cores.shuffle(&mut rand::rng());
        cores.sort_by_key(|(is_far, _)| *is_far);
        let mut addresses: Vec<SocketAddr> = cores.into_iter().map(|(_, core)| core).collect();
        for seed in &self.context.settings.seeds {
            if !addresses.contains(seed) {
                addresses.push(*seed);
            }
        }
        addresses
    }

    /// Follows one core until it ends the stream or stops responding.
    async fn follow(&self, core: SocketAddr) {
        let request = WatchBackends { from: self.context.identity.address.clone() };
        let deadline = Instant::now() + OPEN_TIMEOUT;
        let Ok(mut items) = self.context.client.open(core, &request, deadline).await else {
            return;
        };
        let mut list = BackendList::default();
        let mut is_first = true;
        while let Ok(Ok(Some(item))) = timeout(STREAM_TIMEOUT, items.next()).await {
            if list.apply(item) || is_first {
                is_first = false;
                self.list.send_replace(Some(Arc::new(list.clone())));
                self.context.node.readiness.set_ready(COMPONENT);
            }
        }
        info!(%core, "backend list stream ended; trying another core");
    }
}
