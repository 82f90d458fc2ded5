//! The roles of a process behind one interface.

use async_trait::async_trait;
use hooklug_control::{Core, NodeContext};
use hooklug_engine::{Engine, EngineError};
use hooklug_gateway::Gateway;
use hooklug_rpc::Router;
use hooklug_store::Store;
use hooklug_types::NodeRole;
use tokio_util::sync::CancellationToken;
use tracing::warn;

/// How a role ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// It was told to stop, or its work is over.
    Stopped,
    /// It can only go on as another run, with a new incarnation.
    Anew,
}

/// What a process does.
#[async_trait(?Send)]
pub trait RoleProcess {
    /// Answers to other processes.
    fn rpc_router(&self) -> Router {
        Router::new()
    }

    /// Answers to callers, beside those that every process gives.
    fn http_router(&self) -> axum::Router {
        axum::Router::new()
    }

    /// Works until its work is over; once `stop` is cancelled it finishes and ends.
    ///
    /// # Errors
    /// When the process cannot go on.
    async fn run(self: Box<Self>, stop: CancellationToken) -> anyhow::Result<Ended>;
}

/// The usual process of a role.
///
/// # Errors
/// When the settings do not fit the role, or its data folder cannot be used.
pub fn usual(role: NodeRole, context: &NodeContext) -> anyhow::Result<Box<dyn RoleProcess>> {
    let context = context.clone();
    Ok(match role {
        NodeRole::Gateway => Box::new(Gateway::new(context)),
        NodeRole::Engine => Box::new(Engine::new(context)?),
        NodeRole::Core => Box::new(Core::new(context)),
        NodeRole::Store => {
            Box::new(Store::open(context.settings, context.identity, context.client)?)
        }
    })
}

#[async_trait(?Send)]
impl RoleProcess for Gateway {
    fn http_router(&self) -> axum::Router {
        Gateway::http_router(self)
    }

    async fn run(self: Box<Self>, _stop: CancellationToken) -> anyhow::Result<Ended> {
        Gateway::run(*self).await;
        Ok(Ended::Stopped)
    }
}

#[async_trait(?Send)]
impl RoleProcess for Core {
    fn rpc_router(&self) -> Router {
        Core::rpc_router(self)
    }

    async fn run(self: Box<Self>, _stop: CancellationToken) -> anyhow::Result<Ended> {
        Core::run(*self).await;
        Ok(Ended::Stopped)
    }
}

#[async_trait(?Send)]
impl RoleProcess for Store {
    fn rpc_router(&self) -> Router {
        Store::rpc_router(self)
    }

    async fn run(self: Box<Self>, stop: CancellationToken) -> anyhow::Result<Ended> {
        Store::run(*self, stop).await?;
        Ok(Ended::Stopped)
    }
}

#[async_trait(?Send)]
impl RoleProcess for Engine {
    fn rpc_router(&self) -> Router {
        Engine::rpc_router(self)
    }

    async fn run(self: Box<Self>, _stop: CancellationToken) -> anyhow::Result<Ended> {
        match Engine::run(*self).await {
            Ok(()) => Ok(Ended::Stopped),
            Err(error @ EngineError::LeaseExpired(_)) => {
                warn!(%error, "the engine's sessions are not its own any more");
                Ok(Ended::Anew)
            }
            Err(error) => Err(error.into()),
        }
    }
}
