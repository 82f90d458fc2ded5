//! The node agent, which runs in every process: discovers peers, follows the cluster view, sends
//! heartbeats and installs bundles.

mod discovery;
mod harm;
mod heartbeat;
mod installer;
mod peers;
mod reachability;
mod sections;
mod watch;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hooklug_protocol::control::{ClusterView, Discover, FetchSection};
use hooklug_protocol::member_map::SharedMember;
use hooklug_rpc::{LocalIdentity, Router, RpcClient};
use hooklug_settings::Settings;
use hooklug_state::meta::BundleRecord;
use hooklug_store::StateAccess;
use hooklug_types::NodeRole;
use tokio::sync::{Notify, watch as channel};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tracing::info;

use crate::handle::{
    InstalledBundle, NodeHandleChannels, NodeReport, Reachability, Readiness, StatisticsRecorder,
};
pub use peers::Peers;
use reachability::ReachabilityTracker;
use sections::SectionCache;

/// Timeout of a request to a peer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// How a node learned of a bundle.
#[derive(Debug, Clone, Copy)]
enum RecordSource {
    /// A core's reply to a heartbeat.
    Heartbeat,
    /// A linearizable read of the meta group.
    Quorum,
    /// The cluster view.
    View,
}

/// State shared by the agent's tasks.
#[derive(Debug)]
struct Shared {
    identity: LocalIdentity,
    client: RpcClient,
    state: Arc<dyn StateAccess>,
    seeds: Vec<SocketAddr>,
    statistics: StatisticsRecorder,
    readiness: Readiness,
    peers: Mutex<Peers>,
    sections: Mutex<SectionCache>,
    reachability: ReachabilityTracker,
    /// The newest bundle record known, installed or not.
    newest_record: channel::Sender<Option<BundleRecord>>,
    /// Whether a quorum has reported the newest bundle since the process started.
    quorum_replied: channel::Sender<bool>,
    /// Whether a quorum was queried for the newest bundle and that bundle is installed.
    newest_bundle: channel::Sender<bool>,
    /// Address of the core leader, if known.
    leader: channel::Sender<Option<SocketAddr>>,
    /// Notified when the node's own report or bundle has changed.
    heartbeat_due: Notify,
    view: channel::Sender<Arc<ClusterView>>,
    bundle: channel::Sender<Option<Arc<InstalledBundle>>>,
    stores: channel::Sender<Vec<SocketAddr>>,
    reach_sender: channel::Sender<Reachability>,
}

impl Shared {
    fn peers(&self) -> MutexGuard<'_, Peers> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn sections(&self) -> MutexGuard<'_, SectionCache> {
        self.sections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a bundle exists; the installer fetches it if it is newer than the installed
    /// one.
    fn learn_record(&self, record: &BundleRecord, source: RecordSource) {
        self.newest_record.send_if_modified(|known| {
            let newer = known.as_ref().is_none_or(|k| k.version < record.version);
            if newer {
                info!(version = %record.version, ?source, "learned of a newer bundle");
                *known = Some(record.clone());
            }
            newer
        });
    }

    /// Changes the view; readers are notified only of an actual change. The view is changed in
    /// place unless a reader holds it; otherwise the new copy shares all unchanged parts with the
    /// reader's.
    fn change_view(&self, change: impl FnOnce(&mut ClusterView) -> bool) -> bool {
        self.view.send_if_modified(|view| change(Arc::make_mut(view)))
    }

    /// Updates the state derived from a changed view; `members` are those added or changed.
    fn view_changed(&self, members: &[SharedMember]) {
        let view = self.view.borrow().clone();
        if view.meta.cluster != 0 {
            self.identity.set_cluster(view.meta.cluster);
        }
        if let Some(record) = &view.meta.bundle {
            self.learn_record(record, RecordSource::View);
        }
        let mut peers = self.peers();
        peers.update_members(members.iter().map(|member| &**member));
        peers.set_listed_stores(&view.meta.stores);
        drop(peers);
        self.publish_stores();
        let leader = view.meta.leader.as_ref().filter(|l| !l.expired).map(|l| l.address);
        if leader.is_some() {
            self.set_leader(leader);
        }
    }

    fn set_leader(&self, leader: Option<SocketAddr>) {
        self.leader.send_if_modified(|known| {
            let changed = *known != leader;
            *known = leader;
            changed
        });
    }

    fn publish_stores(&self) {
        let stores = self.peers().addresses(NodeRole::Store);
        self.stores.send_if_modified(|known| {
            let changed = *known != stores;
            *known = stores;
            changed
        });
    }

    fn deadline(&self) -> Instant {
        Instant::now() + CALL_TIMEOUT
    }
}

/// The agent that connects a process to the cluster.
#[derive(Debug)]
pub struct NodeAgent {
    shared: Arc<Shared>,
    report: channel::Receiver<NodeReport>,
    harm: tokio::sync::mpsc::Receiver<hooklug_state::meta::HarmReport>,
}

impl NodeAgent {
    /// Creates an agent that holds the opposite ends of a [`crate::NodeHandle`].
    #[must_use]
    pub fn new(
        settings: &Settings,
        identity: LocalIdentity,
        client: RpcClient,
        state: Arc<dyn StateAccess>,
        channels: NodeHandleChannels,
        statistics: StatisticsRecorder,
        readiness: Readiness,
    ) -> Self {
        readiness.set_not_ready(reachability::COMPONENT, "no core or store has replied yet");
        readiness.set_not_ready(installer::COMPONENT, "the newest bundle is not known yet");
        let shared = Shared {
            peers: Mutex::new(Peers::new(identity.address.clone())),
            identity,
            client,
            state,
            seeds: settings.seeds.clone(),
            statistics,
            readiness,
            sections: Mutex::default(),
            reachability: ReachabilityTracker::default(),
            newest_record: channel::Sender::new(None),
            quorum_replied: channel::Sender::new(false),
            newest_bundle: channel::Sender::new(false),
            leader: channel::Sender::new(None),
            heartbeat_due: Notify::new(),
            view: channels.view,
            bundle: channels.bundle,
            stores: channels.stores,
            reach_sender: channels.reach,
        };
        Self { shared: Arc::new(shared), report: channels.report, harm: channels.harm }
    }

    /// Returns the handlers of peers' requests: discovery, and fetches of bundle sections that this
    /// node holds.
    #[must_use]
    pub fn rpc_router(&self) -> Router {
        let (discover_shared, fetch_shared) = (self.shared.clone(), self.shared.clone());
        Router::new()
            .route_inline(move |_peer, request: Discover| {
                let mut peers = discover_shared.peers();
                peers.learn(request.from);
                let reply = peers.discovery_reply(&mut rand::rng());
                drop(peers);
                discover_shared.publish_stores();
                reply
            })
            .route_inline(move |_peer, request: FetchSection| {
                fetch_shared.sections().get(&request.digest).map(|section| section.to_vec())
            })
    }

    /// Runs the agent until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let shared = self.shared;
        let tasks = async {
            tokio::join!(
                discovery::run(shared.clone()),
                watch::run(shared.clone()),
                heartbeat::run(shared.clone(), self.report),
                installer::run(shared.clone()),
                reachability::run(shared.clone()),
                harm::run(shared.clone(), self.harm),
            );
        };
        tokio::select! {
            () = stop.cancelled() => {}
            () = tasks => {}
        }
    }
}
