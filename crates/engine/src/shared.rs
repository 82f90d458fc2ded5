//! State that the components of the engine share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use hooklug_control::{InstalledBundle, NodeHandle};
use hooklug_protocol::control::SessionHostInfo;
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

/// Timeout of a store request that is made for a caller.
pub const STORE_TIMEOUT: Duration = Duration::from_secs(3);

/// Length of the turn queue while no bundle sets one; equals the default of the bundle format.
const DEFAULT_QUEUE: u32 = 256;

/// State that the components of one engine share.
#[derive(Debug)]
pub struct Shared {
    /// The engine's settings.
    pub settings: EngineSettings,
    /// The engine's id and incarnation.
    pub engine: EngineIncarnation,
    /// Access to the replicated state.
    pub state: Arc<dyn StateAccess>,
    /// Handle to the node agent.
    pub node: NodeHandle,
    /// The engine's lease.
    pub lease: LeaseView,
    /// Client of the model server.
    pub model: Arc<ModelClient>,
    /// Health of the model server.
    pub model_health: watch::Receiver<ModelHealth>,
    /// Writers that append to the shards.
    pub writers: ShardWriters,
    /// Sessions held by this engine.
    pub table: SessionTable,
    /// Admission of turns to the engine's slots.
    pub slots: Slots,
    /// Release state of the engine's version.
    pub release: watch::Sender<ReleaseState>,
    /// Whether the platform has requested a stop.
    pub stopping: AtomicBool,
    /// Whether sessions are being handed over; a session whose loop is started meanwhile is handed over
    /// too.
    pub handing_over: AtomicBool,
    last_id: AtomicU64,
}

/// Components that a [`Shared`] is built from.
#[derive(Debug)]
pub struct SharedParts {
    /// The engine's settings.
    pub settings: EngineSettings,
    /// The engine's id and incarnation.
    pub engine: EngineIncarnation,
    /// Access to the replicated state.
    pub state: Arc<dyn StateAccess>,
    /// Handle to the node agent.
    pub node: NodeHandle,
    /// The engine's lease.
    pub lease: LeaseView,
    /// Client of the model server.
    pub model: Arc<ModelClient>,
    /// Health of the model server.
    pub model_health: watch::Receiver<ModelHealth>,
}

impl Shared {
    /// Builds the shared state from its components.
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

    /// The installed bundle.
    #[must_use]
    pub fn bundle(&self) -> Option<Arc<InstalledBundle>> {
        self.node.bundle.borrow().clone()
    }

    /// Admission limits under the installed bundle.
    #[must_use]
    pub fn admission_limits(&self) -> AdmissionLimits {
        admission_limits(&self.settings, self.bundle().as_deref())
    }

    /// Configuration of session loops.
    #[must_use]
    pub fn session_config(&self) -> SessionConfig {
        SessionConfig { idle_timeout: Duration::from_millis(self.settings.unconnected_keep_ms) }
    }

    /// Whether the engine accepts no new sessions.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.stopping.load(Ordering::Acquire) || self.release.borrow().drains()
    }

    /// Why the engine cannot accept a session now; `None` if it can.
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

    /// The engine's load, as sent with replies.
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

    /// The engine's entry in the node report.
    #[must_use]
    pub fn session_host_info(&self) -> SessionHostInfo {
        SessionHostInfo {
            engine: self.settings.id.clone(),
            service: self.settings.service.clone(),
            version: self.settings.version.clone(),
            ready: self.unready_reason().is_none(),
            draining: self.is_draining(),
            slots: self.settings.slots,
        }
    }

    /// Allocates an id for a client.
    #[must_use]
    pub fn new_client(&self) -> ClientId {
        ClientId(self.new_id())
    }

    /// Allocates an id for a request that waits for a reply.
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
