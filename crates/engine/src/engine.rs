//! The engine: builds its components and runs and stops them together.

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

/// Why an engine cannot start or had to stop.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// The settings have no `engine` table.
    #[error("engine: settings are missing")]
    NoSettings,
    /// The engine must have at least one slot.
    #[error("engine.slots: must be at least 1")]
    NoSlots,
    /// The lease has expired permanently and other engines may own the sessions. The process must
    /// restart as a new incarnation.
    #[error("the lease of {0} has expired; restart the engine as a new incarnation")]
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
    /// Creates an engine from a node's context; nothing runs before [`Engine::run`].
    ///
    /// # Errors
    /// When the engine settings are missing or configure no slots.
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

    /// The RPC handlers that gateways call.
    #[must_use]
    pub fn rpc_router(&self) -> Router {
        handlers::router(&self.shared)
    }

    /// The engine's id and incarnation.
    #[must_use]
    pub fn incarnation(&self) -> &EngineIncarnation {
        &self.shared.engine
    }

    /// Runs until the engine has drained, after a stop or because its version was replaced.
    ///
    /// # Errors
    /// [`EngineError::LeaseExpired`] when the lease has expired permanently. All sessions have been
    /// dropped by then; restart the process, or the role with a new identity.
    pub async fn run(self) -> Result<(), EngineError> {
        let Self { shared, keeper, probe, stop, grace } = self;
        let cancel = CancellationToken::new();
        // The guard stops the tasks even when this future is dropped.
        let _cancel_on_drop = cancel.clone().drop_guard();
        let mut tasks = JoinSet::new();
        let mut lease = keeper.view().watch();
        let table_owner = shared.clone();
        let lost = move || table_owner.table.broadcast(&Message::LeaseLost);
        tasks.spawn(keeper.run(cancel.clone(), lost));
        tasks.spawn(probe.run(cancel.clone()));
        tasks.spawn(reporter::run(shared.clone(), cancel.clone()));
        let (slots_owner, slots_cancel) = (shared.clone(), cancel.clone());
        tasks.spawn(async move { slots_owner.slots.run(slots_cancel).await });
        let drain = Drain::new(shared.clone());
        let expired = async move {
            // The keeper drops the sender only when it is stopped, together with this future.
            let _ = lease.wait_for(|l| *l == LeaseState::Expired).await.map(|state| *state);
        };
        tokio::select! {
            () = drain.run(stop, grace) => Ok(()),
            () = expired => Err(EngineError::LeaseExpired(shared.engine.clone())),
        }
    }
}
