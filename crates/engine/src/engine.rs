//! The engine: its parts, started and stopped together.

use std::sync::Arc;
use std::time::Duration;

use hooklug_control::NodeContext;
use hooklug_rpc::Router;
use hooklug_session::Message;
use hooklug_types::EngineIncarnation;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::drain::Drain;
use crate::lease::{LeaseKeeper, LeaseState};
use crate::model::{ModelClient, ModelProbe};
use crate::shared::{Shared, SharedParts};
use crate::{handlers, reporter};

/// Why an engine can't run, or not any longer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// The settings have no `engine` table.
    #[error("engine: settings are missing")]
    NoSettings,
    /// The engine must have at least one slot.
    #[error("engine.slots: must be at least 1")]
    NoSlots,
    /// The lease has expired for ever: another engine may own the sessions. The process has to start
    /// anew, as a new incarnation.
    #[error("the lease of {0} has expired; a new incarnation has to be started")]
    LeaseExpired(EngineIncarnation),
}

/// A session-host engine.
#[derive(Debug)]
pub struct Engine {
    shared: Arc<Shared>,
    keeper: LeaseKeeper,
    probe: ModelProbe,
    stop: CancellationToken,
    grace: Duration,
}

impl Engine {
    /// An engine from a node's context; nothing runs before [`Engine::run`].
    ///
    /// # Errors
    /// When the settings are not those of an engine.
    pub fn new(ctx: NodeContext) -> Result<Self, EngineError> {
        let settings = ctx.settings.engine.clone().ok_or(EngineError::NoSettings)?;
        if settings.slots == 0 {
            return Err(EngineError::NoSlots);
        }
        let engine = EngineIncarnation {
            engine: settings.id.clone(),
            incarnation: ctx.identity.address.incarnation,
        };
        let keeper = LeaseKeeper::new(ctx.state.clone(), engine.clone());
        let model = Arc::new(ModelClient::new(settings.model_server, settings.service.clone()));
        let probe = ModelProbe::new(model.clone());
        let shared = Arc::new(Shared::new(SharedParts {
            settings,
            engine,
            state: ctx.state,
            node: ctx.node,
            lease: keeper.view(),
            model,
            model_health: probe.watch(),
        }));
        let grace = Duration::from_millis(ctx.settings.grace_ms);
        Ok(Self { shared, keeper, probe, stop: ctx.stop, grace })
    }

    /// The handlers that gateways call.
    #[must_use]
    pub fn rpc_router(&self) -> Router {
        handlers::router(&self.shared)
    }

    /// This run of the engine.
    #[must_use]
    pub fn incarnation(&self) -> &EngineIncarnation {
        &self.shared.engine
    }

    /// Runs until the engine is stopped and drained, or its version is over and its last session gone.
    ///
    /// # Errors
    /// [`EngineError::LeaseExpired`] when the engine lost its lease for ever. All sessions have been
    /// dropped then; start the process (or the role, with a new identity) anew.
    pub async fn run(self) -> Result<(), EngineError> {
        let Self { shared, keeper, probe, stop, grace } = self;
        let ended = CancellationToken::new();
        // Whatever way this future ends, its tasks end with it.
        let _ends_tasks = ended.clone().drop_guard();
        let mut tasks = JoinSet::new();
        let mut lease = keeper.view().watch();
        let table_owner = shared.clone();
        let lost = move || table_owner.table.tell_all(&Message::LeaseLost);
        tasks.spawn(keeper.run(ended.clone(), lost));
        tasks.spawn(probe.run(ended.clone()));
        tasks.spawn(reporter::run(shared.clone(), ended.clone()));
        let (slots_owner, slots_stop) = (shared.clone(), ended.clone());
        tasks.spawn(async move { slots_owner.slots.run(slots_stop).await });
        let drain = Drain::new(shared.clone());
        let expired = async move {
            // The keeper drops its end only once it is stopped, together with this future.
            let _ = lease.wait_for(|l| *l == LeaseState::Expired).await.map(|state| *state);
        };
        tokio::select! {
            () = drain.run(stop, grace) => Ok(()),
            () = expired => Err(EngineError::LeaseExpired(shared.engine.clone())),
        }
    }
}
