//! A gateway's side: follows the list of one core after the other.

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

/// Name of this reason for not being ready.
const COMPONENT: &str = "backends";

/// Silence of a core after which another is followed (ours: a core sends an item with each reading, each second
/// or oftener).
const SILENCE: Duration = Duration::from_millis(1_800);

/// Longest wait for a core to take the request (ours).
const OPEN_TIME: Duration = Duration::from_millis(800);

/// Pause before the next core is tried (ours).
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The list as this node last heard it; `None` before the first time.
pub type BackendWatch = watch::Receiver<Option<Arc<BackendList>>>;

/// Follows the list.
#[derive(Debug)]
pub struct BackendFollower {
    context: NodeContext,
    list: watch::Sender<Option<Arc<BackendList>>>,
}

impl BackendFollower {
    /// A follower that has heard nothing; the node is not ready until it has.
    #[must_use]
    pub fn new(context: NodeContext) -> Self {
        context.node.readiness.unready(COMPONENT, "the list of back ends is not known yet");
        Self { context, list: watch::Sender::new(None) }
    }

    /// The list, as it changes.
    #[must_use]
    pub fn watch(&self) -> BackendWatch {
        self.list.subscribe()
    }

    /// Follows cores, one after the other, for ever.
    pub async fn run(self) {
        loop {
            for core in self.cores() {
                self.follow(core).await;
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Cores to follow: those of the view, own zone first, the rest in random order; then the seeds.
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

    /// Follows one core until it ends the stream or falls silent.
    async fn follow(&self, core: SocketAddr) {
        let request = WatchBackends { from: self.context.identity.address.clone() };
        let deadline = Instant::now() + OPEN_TIME;
        let Ok(mut items) = self.context.client.open(core, &request, deadline).await else {
            return;
        };
        let mut list = BackendList::default();
        let mut is_first = true;
        while let Ok(Ok(Some(item))) = timeout(SILENCE, items.next()).await {
            if list.apply(item) || is_first {
                is_first = false;
                self.list.send_replace(Some(Arc::new(list.clone())));
                self.context.node.readiness.ready(COMPONENT);
            }
        }
        info!(%core, "no longer following this core's list of back ends");
    }
}
