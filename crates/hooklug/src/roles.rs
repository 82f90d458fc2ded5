//! Common interface of the roles of a process, and its implementations.

use async_trait::async_trait;
use hooklug_control::{Core, NodeContext};
use hooklug_engine::{Engine, EngineError};
use hooklug_gateway::Gateway;
use hooklug_rpc::Router;
use hooklug_store::Store;
use hooklug_types::NodeRole;
use tokio_util::sync::CancellationToken;
use tracing::warn;

/// Reason why a role exited without an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoleExit {
    /// The role was asked to stop, or has finished its work.
    Stopped,
    /// The role has to be restarted with a new incarnation.
    Restart,
}

/// The role-specific part of a process.
#[async_trait(?Send)]
pub trait RoleProcess {
    /// RPC handlers of the role.
    fn rpc_router(&self) -> Router {
        Router::new()
    }

    /// HTTP routes of the role, in addition to those that every process serves.
    fn http_router(&self) -> axum::Router {
        axum::Router::new()
    }

    /// Runs the role until it has finished its work; once `stop` is cancelled it shuts down.
    ///
    /// # Errors
    /// When the role fails.
    async fn run(self: Box<Self>, stop: CancellationToken) -> anyhow::Result<RoleExit>;
}

/// Builds the default process of a role.
///
/// # Errors
/// When the settings are invalid for the role, or its data folder cannot be used.
pub fn build_default(
    role: NodeRole,
    context: &NodeContext,
) -> anyhow::Result<Box<dyn RoleProcess>> {
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

    async fn run(self: Box<Self>, _stop: CancellationToken) -> anyhow::Result<RoleExit> {
        Gateway::run(*self).await;
        Ok(RoleExit::Stopped)
    }
}

#[async_trait(?Send)]
impl RoleProcess for Core {
    fn rpc_router(&self) -> Router {
        Core::rpc_router(self)
    }

    async fn run(self: Box<Self>, _stop: CancellationToken) -> anyhow::Result<RoleExit> {
        Core::run(*self).await;
        Ok(RoleExit::Stopped)
    }
}

#[async_trait(?Send)]
impl RoleProcess for Store {
    fn rpc_router(&self) -> Router {
        Store::rpc_router(self)
    }

    async fn run(self: Box<Self>, stop: CancellationToken) -> anyhow::Result<RoleExit> {
        Store::run(*self, stop).await?;
        Ok(RoleExit::Stopped)
    }
}

#[async_trait(?Send)]
impl RoleProcess for Engine {
    fn rpc_router(&self) -> Router {
        Engine::rpc_router(self)
    }

    async fn run(self: Box<Self>, _stop: CancellationToken) -> anyhow::Result<RoleExit> {
        match Engine::run(*self).await {
            Ok(()) => Ok(RoleExit::Stopped),
            Err(error @ EngineError::LeaseExpired(_)) => {
                warn!(%error, "the engine has lost the ownership of its sessions");
                Ok(RoleExit::Restart)
            }
            Err(error) => Err(error.into()),
        }
    }
}
