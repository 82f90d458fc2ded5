//! The four roles behind one interface.

use hooklug_control::{Core, NodeContext};
use hooklug_engine::{Engine, EngineError};
use hooklug_gateway::Gateway;
use hooklug_rpc::Router;
use hooklug_store::Store;
use hooklug_types::NodeRole;
use tokio_util::sync::CancellationToken;
use tracing::warn;

/// How a role ended.
pub(super) enum Ended {
    /// It was told to stop, or its work is over.
    Stopped,
    /// It can only go on as another run, with a new incarnation.
    Anew,
}

/// What a process does.
pub(super) enum RoleProcess {
    Gateway(Box<Gateway>),
    Engine(Box<Engine>),
    Core(Box<Core>),
    Store(Box<Store>),
}

impl RoleProcess {
    pub(super) fn new(role: NodeRole, context: &NodeContext) -> anyhow::Result<Self> {
        let context = context.clone();
        Ok(match role {
            NodeRole::Gateway => Self::Gateway(Box::new(Gateway::new(context))),
            NodeRole::Engine => Self::Engine(Box::new(Engine::new(context)?)),
            NodeRole::Core => Self::Core(Box::new(Core::new(context))),
            NodeRole::Store => {
                let store = Store::open(context.settings, context.identity, context.client)?;
                Self::Store(Box::new(store))
            }
        })
    }

    pub(super) fn rpc_router(&self) -> Router {
        match self {
            Self::Gateway(_) => Router::new(),
            Self::Engine(engine) => engine.rpc_router(),
            Self::Core(core) => core.rpc_router(),
            Self::Store(store) => store.rpc_router(),
        }
    }

    pub(super) fn http_router(&self) -> axum::Router {
        match self {
            Self::Gateway(gateway) => gateway.http_router(),
            _ => axum::Router::new(),
        }
    }

    pub(super) async fn run(self, stop: CancellationToken) -> anyhow::Result<Ended> {
        match self {
            Self::Gateway(gateway) => gateway.run().await,
            Self::Core(core) => core.run().await,
            Self::Store(store) => store.run(stop).await?,
            Self::Engine(engine) => match engine.run().await {
                Ok(()) => {}
                Err(error @ EngineError::LeaseExpired(_)) => {
                    warn!(%error, "the engine's sessions are not its own any more");
                    return Ok(Ended::Anew);
                }
                Err(error) => return Err(error.into()),
            },
        }
        Ok(Ended::Stopped)
    }
}
