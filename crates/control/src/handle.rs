//! What a role sees of the cluster, and what it tells the cluster of itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hooklug_bundle::Bundle;
use hooklug_protocol::control::{ClusterView, HostedEngine, SlotUse, VersionStatistics};
use hooklug_rpc::{LocalIdentity, RpcClient};
use hooklug_settings::Settings;
use hooklug_state::meta::{BundleRecord, HarmReport, SubmitBundle};
use hooklug_store::StateAccess;
use hooklug_types::{EngineLoad, OperatorName, RouteName, ServiceName, ServiceVersion};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::judge::{Counts, VersionOnRoute};

/// A bundle in force at this node. Never replaced by an older one.
#[derive(Debug, Clone, PartialEq)]
pub struct InstalledBundle {
    /// Its record in the meta group.
    pub record: BundleRecord,
    /// Its content.
    pub bundle: Bundle,
}

/// What of the cluster this node reaches.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reach {
    /// A core answered lately.
    pub core: bool,
    /// A store answered lately.
    pub store: bool,
    /// The node holds the newest bundle that a quorum knew when last asked.
    pub newest_bundle: bool,
}

/// What a role tells the cluster of itself, with the next heartbeat.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NodeReport {
    /// For session-host engines.
    pub engine: Option<HostedEngine>,
    /// For session-host engines.
    pub load: Option<EngineLoad>,
    /// For session-host engines: how their slots are used, by group.
    pub slot_uses: Vec<SlotUse>,
}

/// Why a node is not ready, by component. Empty means ready.
#[derive(Debug, Clone, Default)]
pub struct Readiness {
    reasons: Arc<Mutex<BTreeMap<&'static str, String>>>,
}

impl Readiness {
    /// Marks a component as not ready.
    pub fn unready(&self, component: &'static str, reason: impl Into<String>) {
        self.lock().insert(component, reason.into());
    }

    /// Marks a component as ready.
    pub fn ready(&self, component: &'static str) {
        self.lock().remove(component);
    }

    /// Why the node is not ready; empty when it is.
    #[must_use]
    pub fn reasons(&self) -> BTreeMap<&'static str, String> {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<&'static str, String>> {
        self.reasons.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What this node saw of watched versions since the last heartbeat that was answered.
#[derive(Debug, Clone, Default)]
pub struct Statistics {
    counts: Arc<Mutex<BTreeMap<VersionOnRoute, Counts>>>,
}

impl Statistics {
    /// Counts one request. `latency` is the whole time for calls, the time to the first token for turns.
    pub fn record(
        &self,
        service: &ServiceName,
        version: &ServiceVersion,
        route: &RouteName,
        success: bool,
        latency: Duration,
    ) {
        let key = VersionOnRoute::new(service, version, route);
        self.lock().entry(key).or_default().note(success, latency);
    }

    /// Takes all counts; give them back with [`Statistics::restore`] when the heartbeat was not answered.
    #[must_use]
    pub fn take(&self) -> Vec<VersionStatistics> {
        let taken = std::mem::take(&mut *self.lock());
        taken.iter().map(|(key, counts)| counts.statistics(key)).collect()
    }

    /// Adds counts back.
    pub fn restore(&self, statistics: &[VersionStatistics]) {
        let mut counts = self.lock();
        for seen in statistics {
            counts.entry(VersionOnRoute::from(seen)).or_default().add(&Counts::from(seen));
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<VersionOnRoute, Counts>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A role's handle on the cluster. Cheap to clone.
#[derive(Debug, Clone)]
pub struct NodeHandle {
    /// The cluster as last heard.
    pub view: watch::Receiver<Arc<ClusterView>>,
    /// The bundle in force here.
    pub bundle: watch::Receiver<Option<Arc<InstalledBundle>>>,
    /// Rpc addresses of stores, for the store client.
    pub stores: watch::Receiver<Vec<SocketAddr>>,
    /// What of the cluster is within reach.
    pub reach: watch::Receiver<Reach>,
    /// What this node tells of itself; a change is told at once.
    pub report: watch::Sender<NodeReport>,
    /// What this node saw of versions.
    pub statistics: Statistics,
    /// Harm that this node found by its own evidence; told to the core leader.
    pub harm: tokio::sync::mpsc::Sender<HarmReport>,
    /// Why this node is not ready.
    pub readiness: Readiness,
}

/// The other ends of a [`NodeHandle`]: held by the node agent, or by a test.
#[derive(Debug)]
pub struct NodeFeeds {
    /// Sets the view.
    pub view: watch::Sender<Arc<ClusterView>>,
    /// Sets the bundle.
    pub bundle: watch::Sender<Option<Arc<InstalledBundle>>>,
    /// Sets the stores.
    pub stores: watch::Sender<Vec<SocketAddr>>,
    /// Sets the reach.
    pub reach: watch::Sender<Reach>,
    /// Gets the node's own report.
    pub report: watch::Receiver<NodeReport>,
    /// Gets harm that the node found.
    pub harm: tokio::sync::mpsc::Receiver<HarmReport>,
}

impl NodeHandle {
    /// A bundle as it is submitted from here: against the one in force here when it was built on that one.
    #[must_use]
    pub fn submission(&self, bundle: &Bundle, signed_by: Vec<OperatorName>) -> SubmitBundle {
        let installed = self.bundle.borrow().clone();
        let held = installed.as_ref().map(|installed| &installed.record);
        SubmitBundle::new(bundle, held, signed_by)
    }

    /// A handle and its feeds.
    #[must_use]
    pub fn new() -> (Self, NodeFeeds) {
        let (view, view_rx) = watch::channel(Arc::new(ClusterView::default()));
        let (bundle, bundle_rx) = watch::channel(None);
        let (stores, stores_rx) = watch::channel(Vec::new());
        let (reach, reach_rx) = watch::channel(Reach::default());
        let (report, report_rx) = watch::channel(NodeReport::default());
        let (harm, harm_rx) = tokio::sync::mpsc::channel(16);
        let handle = Self {
            view: view_rx,
            bundle: bundle_rx,
            stores: stores_rx,
            reach: reach_rx,
            report,
            statistics: Statistics::default(),
            harm,
            readiness: Readiness::default(),
        };
        let feeds = NodeFeeds { view, bundle, stores, reach, report: report_rx, harm: harm_rx };
        (handle, feeds)
    }
}

/// All that a role is built from.
#[derive(Debug, Clone)]
pub struct NodeContext {
    /// The node's settings.
    pub settings: Arc<Settings>,
    /// Who this node is to its peers.
    pub identity: LocalIdentity,
    /// Calls to peers.
    pub client: RpcClient,
    /// Shared state.
    pub state: Arc<dyn StateAccess>,
    /// The cluster.
    pub node: NodeHandle,
    /// Cancelled when the platform asks the process to stop: unready at once, then finish or hand over
    /// within the grace period.
    pub stop: CancellationToken,
}
