//! The interface between a role and the node agent: the cluster state that the role reads and the
//! reports that it sends.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hooklug_bundle::Bundle;
use hooklug_protocol::control::{ClusterView, SessionHostInfo, SlotUsage, VersionStatistics};
use hooklug_rpc::{LocalIdentity, RpcClient};
use hooklug_settings::Settings;
use hooklug_state::meta::{BundleRecord, HarmReport, SubmitBundle};
use hooklug_store::StateAccess;
use hooklug_types::{EngineLoad, OperatorName, RouteName, ServiceName, ServiceVersion};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::judge::{Counts, VersionOnRoute};

/// A bundle installed at this node; it is never replaced by an older one.
#[derive(Debug, Clone, PartialEq)]
pub struct InstalledBundle {
    /// The bundle's record in the meta group.
    pub record: BundleRecord,
    /// The bundle's content.
    pub bundle: Bundle,
}

/// Which parts of the cluster this node can reach.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reachability {
    /// A core replied recently.
    pub core: bool,
    /// A store replied recently.
    pub store: bool,
    /// The node has the newest bundle that a quorum of the stores knew when it was last queried.
    pub newest_bundle: bool,
}

/// What a role reports to the cores with the next heartbeat.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NodeReport {
    /// The engine that this node hosts, for session-host engines.
    pub engine: Option<SessionHostInfo>,
    /// Current load, for session-host engines.
    pub load: Option<EngineLoad>,
    /// Slot usage by window group, for session-host engines.
    pub slot_usage: Vec<SlotUsage>,
}

/// Reasons why a node is not ready, by component; the node is ready when there are none.
#[derive(Debug, Clone, Default)]
pub struct Readiness {
    reasons: Arc<Mutex<BTreeMap<&'static str, String>>>,
}

impl Readiness {
    /// Marks a component as not ready.
    pub fn set_not_ready(&self, component: &'static str, reason: impl Into<String>) {
        self.lock().insert(component, reason.into());
    }

    /// Marks a component as ready.
    pub fn set_ready(&self, component: &'static str) {
        self.lock().remove(component);
    }

    /// Returns the reasons why the node is not ready; empty when it is ready.
    #[must_use]
    pub fn reasons(&self) -> BTreeMap<&'static str, String> {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<&'static str, String>> {
        self.reasons.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Request statistics by version and route, collected since the last heartbeat that was delivered.
#[derive(Debug, Clone, Default)]
pub struct StatisticsRecorder {
    counts: Arc<Mutex<BTreeMap<VersionOnRoute, Counts>>>,
}

impl StatisticsRecorder {
    /// Records one request. `latency` is the total time of a call, or the time to the first token
    /// of a turn.
    pub fn record(
        &self,
        service: &ServiceName,
        version: &ServiceVersion,
        route: &RouteName,
        success: bool,
        latency: Duration,
    ) {
        let key = VersionOnRoute::new(service, version, route);
        self.lock().entry(key).or_default().record(success, latency);
    }

    /// Removes and returns all counts; return them with [`StatisticsRecorder::restore`] if the heartbeat
    /// fails.
    #[must_use]
    pub fn take(&self) -> Vec<VersionStatistics> {
        let taken = std::mem::take(&mut *self.lock());
        taken.iter().map(|(key, counts)| counts.statistics(key)).collect()
    }

    /// Adds counts back that could not be delivered.
    pub fn restore(&self, statistics: &[VersionStatistics]) {
        let mut counts = self.lock();
        for entry in statistics {
            counts.entry(VersionOnRoute::from(entry)).or_default().add(&Counts::from(entry));
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<VersionOnRoute, Counts>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A role's access to the cluster. Cheap to clone.
#[derive(Debug, Clone)]
pub struct NodeHandle {
    /// The latest cluster view.
    pub view: watch::Receiver<Arc<ClusterView>>,
    /// The installed bundle.
    pub bundle: watch::Receiver<Option<Arc<InstalledBundle>>>,
    /// RPC addresses of the stores, for the store client.
    pub stores: watch::Receiver<Vec<SocketAddr>>,
    /// Which parts of the cluster are reachable.
    pub reach: watch::Receiver<Reachability>,
    /// The node's own report; a change triggers a heartbeat.
    pub report: watch::Sender<NodeReport>,
    /// Request statistics by version and route.
    pub statistics: StatisticsRecorder,
    /// Harmful versions that this node detected itself; sent to the core leader.
    pub harm: tokio::sync::mpsc::Sender<HarmReport>,
    /// Readiness of this node, by component.
    pub readiness: Readiness,
}

/// The opposite ends of a [`NodeHandle`]'s channels, held by the node agent or by a test.
#[derive(Debug)]
pub struct NodeHandleChannels {
    /// Sets the cluster view.
    pub view: watch::Sender<Arc<ClusterView>>,
    /// Sets the installed bundle.
    pub bundle: watch::Sender<Option<Arc<InstalledBundle>>>,
    /// Sets the addresses of the stores.
    pub stores: watch::Sender<Vec<SocketAddr>>,
    /// Sets which parts of the cluster are reachable.
    pub reach: watch::Sender<Reachability>,
    /// Receives the node's own report.
    pub report: watch::Receiver<NodeReport>,
    /// Receives harmful versions that the node detected.
    pub harm: tokio::sync::mpsc::Receiver<HarmReport>,
}

impl NodeHandle {
    /// Builds the submission of a bundle, as a difference to the installed bundle if that one is
    /// its base.
    #[must_use]
    pub fn submission(&self, bundle: &Bundle, signed_by: Vec<OperatorName>) -> SubmitBundle {
        let installed = self.bundle.borrow().clone();
        let held = installed.as_ref().map(|installed| &installed.record);
        SubmitBundle::new(bundle, held, signed_by)
    }

    /// Creates a handle and the opposite ends of its channels.
    #[must_use]
    pub fn new() -> (Self, NodeHandleChannels) {
        let (view, view_rx) = watch::channel(Arc::new(ClusterView::default()));
        let (bundle, bundle_rx) = watch::channel(None);
        let (stores, stores_rx) = watch::channel(Vec::new());
        let (reach, reach_rx) = watch::channel(Reachability::default());
        let (report, report_rx) = watch::channel(NodeReport::default());
        let (harm, harm_rx) = tokio::sync::mpsc::channel(16);
        let handle = Self {
            view: view_rx,
            bundle: bundle_rx,
            stores: stores_rx,
            reach: reach_rx,
            report,
            statistics: StatisticsRecorder::default(),
            harm,
            readiness: Readiness::default(),
        };
        let channels =
            NodeHandleChannels { view, bundle, stores, reach, report: report_rx, harm: harm_rx };
        (handle, channels)
    }
}

/// Everything that a role needs to run.
#[derive(Debug, Clone)]
pub struct NodeContext {
    /// The node's settings.
    pub settings: Arc<Settings>,
    /// The identity that this node presents to its peers.
    pub identity: LocalIdentity,
    /// RPC client for requests to peers.
    pub client: RpcClient,
    /// Access to the replicated state in the stores.
    pub state: Arc<dyn StateAccess>,
    /// The cluster view, the installed bundle and the node's own reports.
    pub node: NodeHandle,
    /// Cancelled when the platform asks the process to stop. The node then becomes unready at once,
    /// and finishes or hands over its work within the grace period.
    pub stop: CancellationToken,
}
