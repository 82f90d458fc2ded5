//! What all parts of the engine share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use hooklug_control::{InstalledBundle, NodeHandle};
use hooklug_protocol::control::HostedEngine;
use hooklug_session::{ClientId, ReplyId, SessionConfig};
use hooklug_settings::EngineSettings;
use hooklug_store::StateAccess;
use hooklug_types::{BundleVersion, EngineIncarnation, EngineLoad};
use tokio::sync::watch;

use crate::admission::{AdmissionLimits, reserved_spans};
use crate::lease::LeaseView;
use crate::model::{ModelClient, ModelHealth};
use crate::release::ReleaseState;
use crate::shard_writer::ShardWriters;
use crate::slots::Slots;
use crate::table::SessionTable;

/// Longest wait for a store's answer on behalf of a caller (ours).
pub const STORE_TIME: Duration = Duration::from_secs(3);

/// Turns that may wait while no bundle names a number (ours; the bundle's own default).
const DEFAULT_QUEUE: u32 = 256;

/// What all parts of one engine share.
#[derive(Debug)]
pub struct Shared {
    /// Its settings.
    pub settings: EngineSettings,
    /// This run of it.
    pub engine: EngineIncarnation,
    /// Shared state.
    pub state: Arc<dyn StateAccess>,
    /// The cluster.
    pub node: NodeHandle,
    /// Its lease.
    pub lease: LeaseView,
    /// Its model server.
    pub model: Arc<ModelClient>,
    /// How the model server is.
    pub model_health: watch::Receiver<ModelHealth>,
    /// Writers of the shards.
    pub writers: ShardWriters,
    /// Its sessions.
    pub table: SessionTable,
    /// Its slots.
    pub slots: Slots,
    /// What the bundle says of its version.
    pub release: watch::Sender<ReleaseState>,
    /// Whether the platform has asked the process to stop.
    pub stopping: AtomicBool,
    /// Whether sessions are being given up, so that one that is taken up again must go too.
    pub handing_over: AtomicBool,
    last_id: AtomicU64,
}

/// Parts that a [`Shared`] is made of.
#[derive(Debug)]
pub struct SharedParts {
    /// The engine's settings.
    pub settings: EngineSettings,
    /// This run of it.
    pub engine: EngineIncarnation,
    /// Shared state.
    pub state: Arc<dyn StateAccess>,
    /// The cluster.
    pub node: NodeHandle,
    /// Its lease.
    pub lease: LeaseView,
    /// Its model server.
    pub model: Arc<ModelClient>,
    /// How the model server is.
    pub model_health: watch::Receiver<ModelHealth>,
}

impl Shared {
    /// Joins the parts.
    #[must_use]
    pub fn new(parts: SharedParts) -> Self {
        let bundle = parts.node.bundle.borrow().clone();
        let limits = admission_limits(&parts.settings, bundle.as_deref());
        Self {
            writers: ShardWriters::new(parts.state.clone()),
            settings: parts.settings,
            engine: parts.engine,
            state: parts.state,
            node: parts.node,
            lease: parts.lease,
            model: parts.model,
            model_health: parts.model_health,
            table: SessionTable::default(),
            slots: Slots::new(limits),
            release: watch::Sender::new(ReleaseState::NoBundle),
            stopping: AtomicBool::new(false),
            handing_over: AtomicBool::new(false),
            last_id: AtomicU64::new(0),
        }
    }

    /// The bundle in force here.
    #[must_use]
    pub fn bundle(&self) -> Option<Arc<InstalledBundle>> {
        self.node.bundle.borrow().clone()
    }

    /// Sizes of admission under the bundle in force.
    #[must_use]
    pub fn admission_limits(&self) -> AdmissionLimits {
        admission_limits(&self.settings, self.bundle().as_deref())
    }

    /// Values that session loops are run with.
    #[must_use]
    pub fn session_config(&self) -> SessionConfig {
        SessionConfig { unconnected_keep: Duration::from_millis(self.settings.unconnected_keep_ms) }
    }

    /// Whether the engine takes no new sessions.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.stopping.load(Ordering::Acquire) || self.release.borrow().drains()
    }

    /// Why it may not take a session now; `None` when it may.
    #[must_use]
    pub fn unready_reason(&self) -> Option<&'static str> {
        if !self.lease.is_held() {
            return Some("the lease is not held");
        }
        if !self.model_health.borrow().is_ready() {
            return Some("the model server is not ready");
        }
        match *self.release.borrow() {
            ReleaseState::NoBundle => Some("there is no bundle yet"),
            ReleaseState::Unlisted => Some("the bundle does not list this version"),
            _ => None,
        }
    }

    /// Its load, for replies.
    #[must_use]
    pub fn load(&self) -> EngineLoad {
        let (running, queued) = self.slots.load();
        EngineLoad {
            slots: self.settings.slots,
            running,
            queued,
            sessions: u32::try_from(self.table.len()).unwrap_or(u32::MAX),
            draining: self.is_draining(),
            bundle: self.bundle().map_or(BundleVersion(0), |b| b.record.version),
        }
    }

    /// What it tells of itself.
    #[must_use]
    pub fn hosted_engine(&self) -> HostedEngine {
        HostedEngine {
            engine: self.settings.id.clone(),
            service: self.settings.service.clone(),
            version: self.settings.version.clone(),
            ready: self.unready_reason().is_none(),
            draining: self.is_draining(),
            slots: self.settings.slots,
        }
    }

    /// A new client's id.
    #[must_use]
    pub fn new_client(&self) -> ClientId {
        ClientId(self.new_id())
    }

    /// The id of somebody who waits for an answer.
    #[must_use]
    pub fn new_reply(&self) -> ReplyId {
        ReplyId(self.new_id())
    }

    fn new_id(&self) -> u64 {
        self.last_id.fetch_add(1, Ordering::Relaxed)
    }
}

fn admission_limits(
    settings: &EngineSettings,
    bundle: Option<&InstalledBundle>,
) -> AdmissionLimits {
    let service = bundle.and_then(|b| b.bundle.services.get(&settings.service));
    let spans = bundle.map(|b| reserved_spans(&b.bundle, &settings.service, settings.slots));
    AdmissionLimits {
        slots: settings.slots,
        queue: service.map_or(DEFAULT_QUEUE, |s| s.queue_per_engine),
        spans: spans.unwrap_or_default(),
    }
}
